"""Claims: run a request with an idempotency key at most once across all entries."""

from boragespring.claims.calls import ClaimedCalls
from boragespring.claims.combiner import (
    CombinerSettings,
    CombiningStore,
    NoCombinerError,
    WriteCombiner,
    choose_combiner,
)
from boragespring.claims.errors import (
    ClaimError,
    ClaimRecordError,
    ClaimStoreError,
    KeyReusedError,
)
from boragespring.claims.group import GroupSettings, GroupStore, GroupWriter
from boragespring.claims.query_handler import ClaimQueryHandler
from boragespring.claims.record import ClaimRecord, ClaimState
from boragespring.claims.run_once import RunOnceMemory, SpentReason
from boragespring.claims.store import ClaimStore, StoredClaim

__all__ = [
    "ClaimError",
    "ClaimQueryHandler",
    "ClaimRecord",
    "ClaimRecordError",
    "ClaimState",
    "ClaimStore",
    "ClaimStoreError",
    "ClaimedCalls",
    "CombinerSettings",
    "CombiningStore",
    "GroupSettings",
    "GroupStore",
    "GroupWriter",
    "KeyReusedError",
    "NoCombinerError",
    "RunOnceMemory",
    "SpentReason",
    "StoredClaim",
    "WriteCombiner",
    "choose_combiner",
]
