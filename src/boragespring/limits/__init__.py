"""Cluster-wide enforcement of plan limits through leased shares.

Workspaces are divided into partitions. For each partition one entry, the
holder, divides the plan of every workspace into shares and leases them to the
entries. Each entry admits requests locally within its leased shares. Without a
lease it uses its fallback share, a fixed part of the plan.
"""

from boragespring.limits.errors import LimitExceededError, LimitKind
from boragespring.limits.holder import LimitHolder, LimitSettings
from boragespring.limits.limiter import Limiter, Permit, RequestLimiter, Unlimited
from boragespring.limits.shares import Share

__all__ = [
    "RequestLimiter",
    "LimitExceededError",
    "LimitHolder",
    "LimitKind",
    "LimitSettings",
    "Limiter",
    "Permit",
    "Share",
    "Unlimited",
]
