"""Forward callers' requests to backend servers and return the replies."""

from boragespring.forwarding.buffered import BufferedForwarder, BufferedSettings
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.crash_detection import (
    CrashDetector,
    CrashDetectorSettings,
)
from boragespring.forwarding.errors import (
    CopyRefusedError,
    ForwardingError,
    RateLimitedError,
    ReplyBrokenError,
    ReplyLostError,
    RunNotFoundError,
    ServerUnreachableError,
)
from boragespring.forwarding.forwarder import Forwarder
from boragespring.forwarding.jobs import (
    Job,
    RequestValidator,
    RequestValidatorSettings,
    traits_of,
)
from boragespring.forwarding.messages import (
    Attempt,
    BackendCalls,
    CallerReply,
    CallerRequest,
    PromptPart,
    PromptShape,
    Reachability,
    Refusal,
    RefusalReason,
    ReplyHead,
    ResumePoint,
    RunCopy,
    ServerReply,
)
from boragespring.forwarding.move_cost import MoveSettings
from boragespring.forwarding.move_scheduler import MoveScheduler
from boragespring.forwarding.placement import PlacementSettings
from boragespring.forwarding.progress import RequestProgress, RequestStage
from boragespring.forwarding.prompts import part_ids
from boragespring.forwarding.request_tracker import OpenRequests, RequestTracker
from boragespring.forwarding.retry_budget import RetryBudget, RetryBudgetSettings
from boragespring.forwarding.server_statements import ServerStatement, ServerStatements
from boragespring.forwarding.streaming import StreamForwarder, StreamSettings
from boragespring.forwarding.unanswered import UnansweredRequests

__all__ = [
    "Attempt",
    "BackendCalls",
    "CallerReply",
    "CallerRequest",
    "CopyRefusedError",
    "CrashDetector",
    "CrashDetectorSettings",
    "Forwarder",
    "ForwardingContext",
    "ForwardingError",
    "Job",
    "RequestValidator",
    "RequestValidatorSettings",
    "PlacementSettings",
    "PromptPart",
    "PromptShape",
    "Reachability",
    "Refusal",
    "RefusalReason",
    "MoveSettings",
    "MoveScheduler",
    "RateLimitedError",
    "ReplyBrokenError",
    "ReplyHead",
    "ReplyLostError",
    "OpenRequests",
    "RequestProgress",
    "RequestStage",
    "RequestTracker",
    "ResumePoint",
    "RetryBudget",
    "RetryBudgetSettings",
    "RunCopy",
    "RunNotFoundError",
    "ServerReply",
    "ServerStatement",
    "ServerStatements",
    "ServerUnreachableError",
    "StreamForwarder",
    "StreamSettings",
    "BufferedForwarder",
    "BufferedSettings",
    "UnansweredRequests",
    "part_ids",
    "traits_of",
]
