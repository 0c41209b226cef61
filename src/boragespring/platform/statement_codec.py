"""Decode what backend servers state about themselves in the heads of their replies."""

import time

import aiohttp

from boragespring.external_values import INTEGER_MAX, check_number
from boragespring.fleet.loads import StatedLoad
from boragespring.forwarding import ServerStatement
from boragespring.platform import names

__all__ = ["decode_statement"]

_UNAVAILABLE = 503
#: Number of characters of an unreadable value that are logged.
_LOGGED_VALUE_MAX_CHARACTERS = 40
_IS_LEAVING = "1"
#: Rate from which on a server counts as one that names none.
UNLIMITED_RATE_PER_S = 10_000.0
#: Numbers of requests, and slowdowns in percent, beyond which a load is not plausible.
REQUESTS_MAX = 100_000
SLOWDOWN_MAX_PERCENT = 10_000
#: Time in milliseconds beyond which a cold time is not plausible.
COLD_MAX_MS = 86_400_000.0


def decode_statement(
    response: aiohttp.ClientResponse, sent_at_s: float
) -> ServerStatement:
    """Return what a server states in a reply to a request sent at a time in seconds."""
    headers = response.headers
    is_pause = response.status == _UNAVAILABLE
    retry_after = headers.get(names.RETRY_AFTER, "").strip() if is_pause else ""
    retry_after_s = _parse_number(retry_after)
    rate_limit = headers.get(names.SERVER_LIMIT, "").strip()
    rate_limit_per_s = _parse_number(rate_limit)
    is_unlimited = (rate_limit_per_s or 0.0) >= UNLIMITED_RATE_PER_S
    load_text = headers.get(names.SERVER_LOAD, "").strip()
    load = _parse_load(load_text)
    cold_remaining = headers.get(names.COLD_REMAINING_MS, "").strip()
    cold_remaining_ms = _parse_number(cold_remaining, COLD_MAX_MS)
    return ServerStatement(
        is_leaving=headers.get(names.SERVER_LEAVING, "").strip() == _IS_LEAVING,
        retry_after_s=retry_after_s,
        unreadable_retry_after=_unreadable(retry_after, retry_after_s),
        rate_limit_per_s=None if is_unlimited else rate_limit_per_s,
        unreadable_rate_limit=_unreadable(rate_limit, rate_limit_per_s),
        cold_for_s=(cold_remaining_ms or 0.0) / 1000,
        unreadable_cold_time=_unreadable(cold_remaining, cold_remaining_ms),
        load=load,
        unreadable_load=_unreadable(load_text, load),
        sent_at_s=sent_at_s,
    )


def _parse_load(text: str) -> StatedLoad | None:
    """Return a stated load, or None for anything but plausible numbers."""
    try:
        running, waiting, slots, *rest = (int(part) for part in text.split(","))
    except ValueError:
        return None
    if not 0 <= running <= REQUESTS_MAX or not 0 <= waiting <= REQUESTS_MAX:
        return None
    if not 0 < slots <= REQUESTS_MAX or len(rest) > 1:
        return None
    percent = rest[0] if rest else None
    if percent is not None and not 0 < percent <= SLOWDOWN_MAX_PERCENT:
        return None
    slowdown = None if percent is None else percent / 100
    return StatedLoad(running, waiting, slots, slowdown, time.monotonic())


def _unreadable(text: str, value: object) -> str:
    """Return the beginning of a text that could not be read, for the log."""
    return text[:_LOGGED_VALUE_MAX_CHARACTERS] if value is None else ""


def _parse_number(text: str, high: float = INTEGER_MAX) -> float | None:
    """Return a number, or None for anything but one from 0 to a maximum."""
    try:
        return check_number(float(text), high=high)
    except ValueError:
        return None
