"""Estimate how fast the servers of a service work, by what they state and show."""

from boragespring.server_pace.estimate import (
    PaceEstimate,
    WorkSample,
    relative_pace,
    total_work,
)

__all__ = ["PaceEstimate", "WorkSample", "relative_pace", "total_work"]
