"""Traits of runs that are cleared of crashes."""

import time
from collections.abc import Callable, Iterable, Set

from attrs import define, field, frozen

from boragespring.fleet import ServerProcess
from boragespring.quarantine.crash_index import ServiceTrait
from boragespring.quarantine.crashes import Traits

__all__ = ["Clearance", "Clearances"]

_NO_PROCESSES = frozenset[ServerProcess]()


@frozen
class Clearance:
    """Statement that a trait of runs did not cause some crashes.

    Parameters
    ----------
    key : ServiceTrait
        The trait.
    processes : frozenset of ServerProcess
        Crashed processes. After their crashes another server wrote an answer to a
        run with the trait.
    """

    key: ServiceTrait
    processes: frozenset[ServerProcess]


@define
class _ClearedTraits:
    """Traits that are cleared of one crash, and since when any is."""

    since_s: float
    keys: dict[str, ServiceTrait] = field(factory=dict)


@define
class Clearances:
    """Known clearances, by trait and by crash.

    Parameters
    ----------
    traits_max : int
        Maximum number of traits for which clearances are kept.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    traits_max: int
    clock: Callable[[], float] = time.monotonic
    _processes: dict[ServiceTrait, set[ServerProcess]] = field(factory=dict)
    _by_process: dict[ServerProcess, _ClearedTraits] = field(factory=dict)

    @property
    def known(self) -> list[Clearance]:
        """All known clearances."""
        return [
            Clearance(key, frozenset(processes))
            for key, processes in self._processes.items()
        ]

    def add(self, key: ServiceTrait, processes: Iterable[ServerProcess]) -> bool:
        """Clear a trait of some crashes; return whether that is news."""
        news = set(processes) - self.processes_of(key)
        is_full = len(self._processes) >= self.traits_max
        if not news or (is_full and key not in self._processes):
            # Replacing another one would make that one news again elsewhere.
            return False
        self._processes.setdefault(key, set()).update(news)
        for process in news:
            cleared = self._by_process.setdefault(process, _ClearedTraits(self.clock()))
            cleared.keys[key.trait] = key
        return True

    def processes_of(self, key: ServiceTrait) -> Set[ServerProcess]:
        """Return the crashes of which a trait is cleared."""
        return self._processes.get(key, _NO_PROCESSES)

    def left_of(self, run: Traits, process: ServerProcess) -> Traits:
        """Return the traits of a run that are not cleared of a crash."""
        cleared = self._by_process.get(process)
        if cleared is None:
            return run
        return frozenset(trait for trait in run if trait not in cleared.keys)

    def forget(self, process: ServerProcess) -> None:
        """Forget the clearances of one crash."""
        cleared = self._by_process.pop(process, None)
        if cleared is not None:
            self._forget_keys(process, cleared.keys.values())

    def forget_traits(self, process: ServerProcess, traits: Traits) -> None:
        """Forget that some traits are cleared of a crash."""
        cleared = self._by_process.get(process)
        if cleared is not None:
            found = traits & cleared.keys.keys()
            self._forget_keys(process, [cleared.keys.pop(trait) for trait in found])

    def _forget_keys(
        self, process: ServerProcess, keys: Iterable[ServiceTrait]
    ) -> None:
        for key in keys:
            self._processes[key].discard(process)
            if not self._processes[key]:
                del self._processes[key]

    def forget_unknown(self, known: Set[ServerProcess], before_s: float) -> None:
        """Forget the clearances of crashes that have stayed unknown for too long.

        Parameters
        ----------
        known : set of ServerProcess
            Processes of the known crashes.
        before_s : float
            Monotonic time in seconds. Clearances that came later may still be
            followed by their crashes.
        """
        outdated = [
            process
            for process, cleared in self._by_process.items()
            if cleared.since_s < before_s and process not in known
        ]
        for process in outdated:
            self.forget(process)
