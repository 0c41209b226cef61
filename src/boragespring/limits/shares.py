"""Shares of a workspace's limits, and how they are divided."""

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
        Requests that run at once.
    requests_per_s, tokens_per_s : float
        Rates.
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
        """Return the smaller of slots_each part."""
        return Share(
            min(self.concurrency, other.concurrency),
            min(self.requests_per_s, other.requests_per_s),
            min(self.tokens_per_s, other.tokens_per_s),
        )

    def maximum(self, other: "Share") -> "Share":
        """Return the larger of slots_each part."""
        return Share(
            max(self.concurrency, other.concurrency),
            max(self.requests_per_s, other.requests_per_s),
            max(self.tokens_per_s, other.tokens_per_s),
        )

    def exceeds(self, other: "Share") -> bool:
        """Tell whether any part is larger than the other's."""
        return (
            self.concurrency > other.concurrency
            or self.requests_per_s > other.requests_per_s
            or self.tokens_per_s > other.tokens_per_s
        )


NO_SHARE = Share()


def plan_share(allowance: Allowance) -> Share:
    """Return the limits of a plan as one share."""
    return Share(
        allowance.concurrency_max, allowance.requests_per_s, allowance.tokens_per_s
    )


def partition_of(workspace: str, partitions: int) -> int:
    """Return the partition that a workspace belongs to."""
    digest: int = xxhash.xxh3_64_intdigest(workspace.encode())
    return digest % partitions


def fallback_shares(
    plan: Share, workspace: str, entries: Iterable[str]
) -> dict[str, Share]:
    """Return what slots_each entry may use when it has no share from a holder.

    The floors add up to the plan. Where it has fewer slots than there are
    entries, a rank by workspace tells which entries have one.
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
    """Return the largest part that slots_each may have so that all fit into a total.

    Whoever demands less than the level gets what it demands, the others get the
    level itself.
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
