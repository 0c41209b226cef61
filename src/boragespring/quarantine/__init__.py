"""Find the requests and parts of prompts that crash servers, and refuse them.

`crashes` says what a crash is, `request_identity` which requests are the same,
`evidence` keeps and merges what is known of crashes, with an index by trait in
`crash_index`; `clearances` holds what did not cause them. `culprits` finds the traits
of runs that explain them, and `quarantine` decides on requests. `recent_answers`
remembers what was sound a moment ago, `archive` keeps the crashes in the store.
"""

from boragespring.quarantine.archive import (
    CRASHES_KEY,
    CrashArchive,
    CrashArchiveSettings,
)
from boragespring.quarantine.clearances import Clearance
from boragespring.quarantine.crash_index import ServiceTrait
from boragespring.quarantine.crashes import Crash, Traits
from boragespring.quarantine.culprits import Culprit, CulpritSettings, find_culprits
from boragespring.quarantine.evidence import CrashEvidence, EvidenceSettings
from boragespring.quarantine.quarantine import (
    QuarantineDecision,
    QuarantineSettings,
    RequestQuarantine,
)
from boragespring.quarantine.request_identity import RequestIdentity

__all__ = [
    "CRASHES_KEY",
    "Clearance",
    "Crash",
    "CrashArchive",
    "CrashArchiveSettings",
    "CrashEvidence",
    "Culprit",
    "CulpritSettings",
    "EvidenceSettings",
    "Traits",
    "RequestIdentity",
    "RequestQuarantine",
    "QuarantineDecision",
    "QuarantineSettings",
    "ServiceTrait",
    "find_culprits",
]
