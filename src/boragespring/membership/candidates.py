"""Which entries may hold a duty."""

from collections.abc import Iterable

import xxhash

from boragespring.store.instances import Instance, InstanceState

__all__ = ["CANDIDATES_COUNT", "duty_candidates"]

#: Entries that campaign for a duty; the others leave the store alone.
CANDIDATES_COUNT = 3


def duty_candidates(
    duty_name: str, entries: Iterable[Instance], count: int = CANDIDATES_COUNT
) -> frozenset[str]:
    """Return the names of the entries that may hold a duty.

    They are the live ones with the lowest hashes, in different availability
    zones first, so that the loss of one zone leaves candidates.
    """
    live = [entry for entry in entries if entry.state is InstanceState.LIVE]
    ranked = sorted(live, key=lambda entry: _hash(duty_name, entry.name))
    firsts: dict[str, Instance] = {}
    for entry in ranked:
        firsts.setdefault(entry.availability_zone, entry)
    spread = [*firsts.values(), *ranked]
    names = dict.fromkeys(entry.name for entry in spread)
    return frozenset(list(names)[:count])


def _hash(duty_name: str, entry_name: str) -> int:
    value: int = xxhash.xxh64_intdigest(f"{duty_name}/{entry_name}".encode())
    return value
