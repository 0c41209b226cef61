"""Keep the rates of requests that backend servers name.

`limiter` holds the permits of this gateway, `holder` grants those of some servers to
all gateways.
"""

from boragespring.server_rates.holder import RateHolder, Reservation
from boragespring.server_rates.limiter import (
    PermitQuestion,
    PermitSource,
    RateLimiterSettings,
    ServerRateLimiter,
)

__all__ = [
    "PermitQuestion",
    "PermitSource",
    "RateHolder",
    "RateLimiterSettings",
    "Reservation",
    "ServerRateLimiter",
]
