"""Keep the rates of requests that backend servers name.

`limiter` holds the permits of this gateway, `issuer` grants those of some servers to
all gateways.
"""

from boragespring.server_rates.issuer import PermitIssuer, Reservation
from boragespring.server_rates.limiter import (
    PermitQuery,
    PermitSource,
    RateLimiterSettings,
    ServerRateLimiter,
)

__all__ = [
    "PermitQuery",
    "PermitSource",
    "PermitIssuer",
    "RateLimiterSettings",
    "Reservation",
    "ServerRateLimiter",
]
