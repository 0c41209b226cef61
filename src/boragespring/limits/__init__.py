"""Limits of the plans over all entries, by leased shares."""

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
