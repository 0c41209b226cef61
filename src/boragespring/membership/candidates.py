"""Select the entries that are allowed to hold a duty."""

from collections.abc import Iterable

import xxhash

from boragespring.store.instances import Instance, InstanceState

__all__ = ["CANDIDATES_COUNT", "duty_candidates"]

#: Number of candidates per duty; other entries do not try to acquire it, which
#: keeps the load on the store low.
CANDIDATES_COUNT = 3


def duty_candidates(
    duty_name: str, entries: Iterable[Instance], count: int = CANDIDATES_COUNT
) -> frozenset[str]:
    """Return the names of the entries that are candidates for a duty.

    Live entries are ranked by a hash. The first of each availability zone come
    before all others, so that candidates remain when a zone is lost.

    Parameters
    ----------
    duty_name : str
        Name of the duty.
    entries : iterable of Instance
        All entries, live or not.
    count : int
        Maximum number of candidates.

    Returns
    -------
    frozenset of str
        Names of the candidates.
    """
    live = [entry for entry in entries if entry.state is InstanceState.LIVE]
    ranked = sorted(live, key=lambda entry: _hash(duty_name, entry.name))
    first_per_zone: dict[str, Instance] = {}
    for entry in ranked:
        first_per_zone.setdefault(entry.availability_zone, entry)
    preferred = [*first_per_zone.values(), *ranked]
    names = dict.fromkeys(entry.name for entry in preferred)
    return frozenset(list(names)[:count])


def _hash(duty_name: str, entry_name: str) -> int:
    value: int = xxhash.xxh64_intdigest(f"{duty_name}/{entry_name}".encode())
    return value
