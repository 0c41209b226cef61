"""Shares of a workspace's limits and the functions that divide them."""

from collections.abc import Iterable

import xxhash
from attrs import frozen

from boragespring.lists import Allowance

__all__ = [
    "NO_SHARE",
    "Share",
    "fallback_shares",
    "partition_of",
    "plan_share",
    "water_level",
]


@frozen
class Share:
    """Part of a workspace's limits that one entry may use.

    Parameters
    ----------
    concurrency : int
        Maximum number of concurrent requests.
    requests_per_s, tokens_per_s : float
        Maximum rates of requests and of produced tokens, per second.
    """

    concurrency: int = 0
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0

    def __add__(self, other: "Share") -> "Share":
        return Share(
            self.concurrency + other.concurrency,
            self.requests_per_s + other.requests_per_s,
            self.tokens_per_s + other.tokens_per_s,
        )

    def __sub__(self, other: "Share") -> "Share":
        return Share(
            self.concurrency - other.concurrency,
            self.requests_per_s - other.requests_per_s,
            self.tokens_per_s - other.tokens_per_s,
        )

    def minimum(self, other: "Share") -> "Share":
        """Return the element-wise minimum."""
        return Share(
            min(self.concurrency, other.concurrency),
            min(self.requests_per_s, other.requests_per_s),
            min(self.tokens_per_s, other.tokens_per_s),
        )

    def maximum(self, other: "Share") -> "Share":
        """Return the element-wise maximum."""
        return Share(
            max(self.concurrency, other.concurrency),
            max(self.requests_per_s, other.requests_per_s),
            max(self.tokens_per_s, other.tokens_per_s),
        )

    def exceeds(self, other: "Share") -> bool:
        """Return whether any element is larger than that of the other share."""
        return (
            self.concurrency > other.concurrency
            or self.requests_per_s > other.requests_per_s
            or self.tokens_per_s > other.tokens_per_s
        )


NO_SHARE = Share()


def plan_share(allowance: Allowance) -> Share:
    """Return the limits of a plan as a share."""
    return Share(
        allowance.concurrency_max, allowance.requests_per_s, allowance.tokens_per_s
    )


def partition_of(workspace: str, partitions: int) -> int:
    """Return the partition to which a workspace belongs."""
    digest: int = xxhash.xxh3_64_intdigest(workspace.encode())
    return digest % partitions


def fallback_shares(
    plan: Share, workspace: str, entries: Iterable[str]
) -> dict[str, Share]:
    """Return the share that each entry may use without a lease.

    The fallback shares add up to the plan. If the slots cannot be divided
    evenly, a ranking that depends on the workspace selects the entries that
    receive one slot more.
    """
    names = sorted(entries, key=lambda name: _rank(workspace, name))
    if not names:
        return {}
    slots_each, remainder = divmod(plan.concurrency, len(names))
    requests_per_s = plan.requests_per_s / len(names)
    tokens_per_s = plan.tokens_per_s / len(names)
    return {
        name: Share(slots_each + (index < remainder), requests_per_s, tokens_per_s)
        for index, name in enumerate(names)
    }


def water_level(demands: Iterable[float], total: float) -> float:
    """Return the level of a max-min fair division (water-filling).

    A demand below the level is met in full; every other demand receives the
    level itself. The level is infinite if the total covers all demands.
    """
    remaining, ordered = total, sorted(demands)
    for index, demand in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if demand >= level:
            return level
        remaining -= demand
    return float("inf")


def _rank(workspace: str, name: str) -> int:
    rank: int = xxhash.xxh3_64_intdigest(f"{workspace}\0{name}".encode())
    return rank
