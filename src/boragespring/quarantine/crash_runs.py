"""Bound the runs that are kept of one crash.

Runs with few traits are kept whatever else is known. Callers choose how many parts the
prompts of the others have, so that these are kept for as long as there is room.
"""

from collections.abc import Callable, Iterable, Iterator

from boragespring.quarantine.crashes import Traits, request_traits

__all__ = ["count_long_parts", "merge_runs", "thin_runs"]


def merge_runs(
    known: frozenset[Traits],
    added: frozenset[Traits],
    runs_max: int,
    short_traits_max: int | None,
) -> frozenset[Traits]:
    """Return known runs and further ones, those with few traits first.

    Parameters
    ----------
    known, added : frozenset of Traits
        Runs of one kind at one crash.
    runs_max : int
        Maximum number of runs.
    short_traits_max : int or None
        Number of traits beyond which only the requests are kept of further runs; None
        to keep them whole.
    """
    kept = set(known)
    traits = sum(map(len, known))
    for run in sorted(added - known, key=len):
        if len(kept) >= runs_max:
            break
        if short_traits_max is not None and traits + len(run) > short_traits_max:
            run = request_traits(run)
        # A gateway that has dropped parts of a run sends the rest.
        if run and not any(run <= each for each in kept):
            kept.add(run)
            traits += len(run)
    return frozenset(kept)


def count_long_parts(runs: Iterable[Traits], short_traits_max: int) -> int:
    """Return how many parts of prompts the long runs among some have."""
    return sum(
        len(run - request_traits(run)) for run in _long_runs(runs, short_traits_max)
    )


def thin_runs(
    runs: frozenset[Traits],
    short_traits_max: int,
    is_kept: Callable[[str], bool],
) -> frozenset[Traits]:
    """Drop parts of the long runs among some.

    Parameters
    ----------
    runs : frozenset of Traits
        Runs of one kind at one crash.
    short_traits_max : int
        Number of traits up to which runs are short, those with few traits first.
    is_kept : callable
        Returns whether to keep a part.
    """
    long = frozenset(_long_runs(runs, short_traits_max))
    thinned = (
        request_traits(run) | frozenset(filter(is_kept, run - request_traits(run)))
        for run in long
    )
    return frozenset((*(runs - long), *filter(None, thinned)))


def _long_runs(runs: Iterable[Traits], short_traits_max: int) -> Iterator[Traits]:
    traits = 0
    for run in sorted(runs, key=lambda run: (len(run), sorted(run)[:1])):
        traits += len(run)
        if traits > short_traits_max:
            yield run
