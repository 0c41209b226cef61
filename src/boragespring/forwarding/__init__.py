"""Forwarding: from a caller's request to one backend server and back."""

from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    CopyRefusedError,
    ForwardingError,
    ReplyBrokenError,
    ReplyLostError,
    RunNotFoundError,
    ServerUnreachableError,
)
from boragespring.forwarding.forwarder import Forwarder
from boragespring.forwarding.jobs import Job, JobGate, JobGateSettings
from boragespring.forwarding.messages import (
    Attempt,
    BackendCalls,
    CallerReply,
    CallerRequest,
    PromptPart,
    PromptShape,
    Refusal,
    RefusalReason,
    ReplyHead,
    ResumePoint,
    RunCopy,
    ServerReply,
)
from boragespring.forwarding.moves import RelocationSettings
from boragespring.forwarding.placement import PlacementSettings
from boragespring.forwarding.relocation import Relocations
from boragespring.forwarding.retry_budget import RetryBudget, RetryBudgetSettings
from boragespring.forwarding.streamed import StreamForwarder, StreamSettings
from boragespring.forwarding.whole import WholeForwarder, WholeSettings

__all__ = [
    "Attempt",
    "BackendCalls",
    "CallerReply",
    "CallerRequest",
    "CopyRefusedError",
    "Forwarder",
    "ForwardingContext",
    "ForwardingError",
    "Job",
    "JobGate",
    "JobGateSettings",
    "PlacementSettings",
    "PromptPart",
    "PromptShape",
    "Refusal",
    "RefusalReason",
    "RelocationSettings",
    "Relocations",
    "ReplyBrokenError",
    "ReplyHead",
    "ReplyLostError",
    "ResumePoint",
    "RetryBudget",
    "RetryBudgetSettings",
    "RunCopy",
    "RunNotFoundError",
    "ServerReply",
    "ServerUnreachableError",
    "StreamForwarder",
    "StreamSettings",
    "WholeForwarder",
    "WholeSettings",
]
