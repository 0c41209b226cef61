"""Decode the load reports of model servers."""

from collections.abc import Mapping
from typing import Any

from boragespring.external_values import INTEGER_MAX, check_number
from boragespring.fleet.model import ServerReport

__all__ = ["decode_report"]

_LEAVING_STATE = "draining"


def decode_report(body: Mapping[str, Any], reported_at_s: float) -> ServerReport:
    """Decode a load report; absent numbers are 0.

    Parameters
    ----------
    body : mapping
        JSON object that the server sent.
    reported_at_s : float
        Monotonic time in seconds at which it arrived.

    Raises
    ------
    UnusableValueError
        If a number cannot be used.
    """
    leaves_ms = body.get("leaves_ms")
    return ServerReport(
        running=_count(body, "running"),
        waiting=_count(body, "waiting"),
        # Does not include cached prompts, since they can be evicted.
        memory_used_tokens=_count(body, "kv_cache_used"),
        memory_total_tokens=_count(body, "kv_cache_total"),
        reported_at_s=reported_at_s,
        is_leaving=body.get("state") == _LEAVING_STATE or leaves_ms is not None,
        leaves_in_s=None
        if leaves_ms is None
        else check_number(leaves_ms, low=-INTEGER_MAX) / 1000,
    )


def _count(body: Mapping[str, Any], name: str) -> int:
    return int(check_number(body.get(name) or 0))
