"""Crashes of servers that are known, and the traits of runs that they implicate.

The state of two gateways can be merged in any order, any number of times: runs are
added to a crash, and a trait that was cleared of a crash stays cleared of it.
"""

import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from boragespring.fleet import ServerProcess
from boragespring.quarantine.clearances import Clearance, Clearances
from boragespring.quarantine.crash_index import CrashIndex, ServiceTrait
from boragespring.quarantine.crashes import Crash, Traits, request_traits
from boragespring.quarantine.request_identity import RequestIdentity

__all__ = ["CrashEvidence", "EvidenceSettings", "Implicated"]

#: Runs that implicate a trait of a service, by service and trait, and by the crash that
#: they explain.
Implicated = dict[ServiceTrait, dict[Crash, list[Traits]]]


@frozen
class EvidenceSettings:
    """Bounds on what is kept.

    Parameters
    ----------
    crashes_max : int
        Maximum number of crashes.
    runs_max : int
        Maximum number of runs of one crash, by kind.
    traits_max : int
        Maximum number of the traits of these runs, runs with few traits first. Only the
        requests are kept of the others, as callers choose how many parts prompts have.
    forgotten_max : int
        Maximum number of crashes that are remembered as forgotten, so that late
        messages do not bring them back.
    cleared_max : int
        Maximum number of traits for which clearances are kept.
    ttl_s : float
        Time in seconds for which a crash counts.
    early_clearance_ttl_s : float
        Time in seconds for which a clearance of a crash that is not known is kept, as
        messages may come out of order.
    """

    crashes_max: int = 256
    runs_max: int = 64
    traits_max: int = 256
    forgotten_max: int = 4096
    cleared_max: int = 8192
    ttl_s: float = 3600.0
    early_clearance_ttl_s: float = 60.0


@define
class CrashEvidence:
    """Known crashes and clearances, bounded in number.

    Parameters
    ----------
    settings : EvidenceSettings
        Bounds.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    version : int
        Number that grows with each change.
    """

    settings: EvidenceSettings = EvidenceSettings()
    clock: Callable[[], float] = time.monotonic
    version: int = 0
    _crashes: dict[ServerProcess, Crash] = field(factory=dict)
    _forgotten: "OrderedDict[ServerProcess, None]" = field(factory=OrderedDict)
    _index: CrashIndex = field(factory=CrashIndex)
    _clearances: Clearances = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Bound the clearances by the settings."""
        self._clearances = Clearances(self.settings.cleared_max, self.clock)

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """All known crashes."""
        return tuple(self._crashes.values())

    @property
    def clearances(self) -> list[Clearance]:
        """All known clearances."""
        return self._clearances.known

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash or merge it with what is known; return whether that is news."""
        if crash.process in self._forgotten or not crash.suspects:
            return False
        known = self._crashes.get(crash.process)
        merged = self._merge(known or _without_runs(crash), crash)
        if merged == known:
            return False
        if known is not None:
            self._index.remove(known)
        self._crashes[crash.process] = merged
        self._index.add(merged)
        self._drop_excess()
        self.version += 1
        return crash.process in self._crashes

    def add_clearance(self, clearance: Clearance) -> bool:
        """Add a clearance; return whether it is news."""
        processes = clearance.processes - self._forgotten.keys()
        is_news = self._clearances.add(clearance.key, processes)
        self.version += is_news
        return is_news

    def clear(
        self, service: str, traits: Traits, began_at_s: float
    ) -> Iterable[Clearance]:
        """Clear the traits of a run for which a server has written an answer.

        Parameters
        ----------
        service : str
            Service of the server.
        traits : Traits
            Traits of the run.
        began_at_s : float
            Monotonic time in seconds at which the answer began. Later crashes may
            still be caused by such a run.

        Returns
        -------
        iterable of Clearance
            What was not known before.
        """
        if not self._crashes:
            return []
        keys = [ServiceTrait.of(service, trait) for trait in traits]
        found = [
            Clearance(key, self._implicated_before(key, began_at_s)) for key in keys
        ]
        return [clearance for clearance in found if self.add_clearance(clearance)]

    def known_traits(self, prompt: Traits, identity: RequestIdentity) -> Traits:
        """Return the traits of a request that may be implicated in a crash.

        The body of a request is read only if a request that may be the same is.

        Parameters
        ----------
        prompt : Traits
            Parts of its prompt that other requests may share.
        identity : RequestIdentity
            What makes other requests the same.
        """
        if not self.knows_outline(identity.outline):
            return prompt
        return prompt | identity.traits

    def knows_outline(self, outline: str) -> bool:
        """Return whether a request that may be the same is implicated in a crash."""
        return outline in self._index.outlines

    def is_implicated(self, service: str, traits: Traits) -> bool:
        """Return whether a run with some of the traits was open at a crash."""
        keys = (ServiceTrait.of(service, trait) for trait in traits)
        return any(key in self._index.crashes for key in keys)

    def implicating_runs(self, crashes_min: int) -> Implicated:
        """Return the runs that implicate each trait, by the crashes that they explain.

        Traits that were cleared of a crash are left out of its runs, and so are traits
        that occur in too few crashes.

        Parameters
        ----------
        crashes_min : int
            Minimum number of crashes.
        """
        implicated = self._implicated_traits(crashes_min)
        for crash, runs in self._index.suspects.items():
            keys = self._index.keys[crash]
            for run in runs:
                left = self._clearances.left_of(run, crash.process)
                for trait in left:
                    found = implicated.get(keys[trait])
                    if found is not None:
                        found[crash].append(left)
        return implicated

    def _implicated_traits(self, crashes_min: int) -> Implicated:
        """Return the traits that occur in enough crashes, without their runs."""
        implicated: Implicated = {}
        for key, crashes in self._index.implicating.items():
            if len(crashes) < crashes_min:
                continue
            cleared = self._clearances.processes_of(key)
            left = (
                [crash for crash in crashes if crash.process not in cleared]
                if cleared
                else crashes
            )
            if len(left) >= crashes_min:
                implicated[key] = {crash: [] for crash in left}
        return implicated

    def cleared_count(self, key: ServiceTrait) -> int:
        """Return the number of crashes of which a trait was cleared."""
        return len(self._clearances.processes_of(key))

    def expire(self) -> None:
        """Forget crashes and clearances that are too old; called periodically."""
        now_s = self.clock()
        cutoff_s = now_s - self.settings.ttl_s
        for crash in self.crashes:
            if crash.at_s < cutoff_s:
                self._forget(crash.process)
        self._clearances.forget_unknown(
            self._crashes.keys(), now_s - self.settings.early_clearance_ttl_s
        )

    def _implicated_before(
        self, key: ServiceTrait, before_s: float
    ) -> frozenset[ServerProcess]:
        implicating = self._index.crashes.get(key, {})
        return frozenset(
            process for process, at_s in implicating.items() if at_s < before_s
        )

    def _merge(self, known: Crash, crash: Crash) -> Crash:
        # The time of the first report is kept. Times that were converted from ages
        # differ a little, and must not pass as news.
        return evolve(
            known,
            starting=self._bounded(known.starting, crash.starting),
            silent=self._bounded(known.silent, crash.silent),
            writing=self._bounded(known.writing, crash.writing),
        )

    def _bounded(
        self, known: frozenset[Traits], added: frozenset[Traits]
    ) -> frozenset[Traits]:
        kept = set(known)
        traits = sum(map(len, known))
        for run in sorted(added - known, key=len):
            if traits + len(run) > self.settings.traits_max:
                run = request_traits(run)
            if len(kept) >= self.settings.runs_max:
                break
            if run:
                kept.add(run)
                traits += len(run)
        return frozenset(kept)

    def _drop_excess(self) -> None:
        """Forget the crash that says least, if there are too many.

        That is one whose traits occur in the fewest crashes, so that crashes with
        runs that were made up do not displace those that implicate one trait.
        """
        if len(self._crashes) <= self.settings.crashes_max:
            return
        traits = {
            process: frozenset[str]().union(*crash.suspects)
            for process, crash in self._crashes.items()
        }
        counts = Counter(trait for found in traits.values() for trait in found)

        def weight(process: ServerProcess) -> tuple[int, float]:
            support = max(counts[trait] for trait in traits[process])
            return support, self._crashes[process].at_s

        self._forget(min(self._crashes, key=weight))

    def _forget(self, process: ServerProcess) -> None:
        self._index.remove(self._crashes.pop(process))
        self._clearances.forget(process)
        self._forgotten[process] = None
        if len(self._forgotten) > self.settings.forgotten_max:
            self._forgotten.popitem(last=False)
        self.version += 1


def _without_runs(crash: Crash) -> Crash:
    nothing = frozenset[Traits]()
    return evolve(crash, starting=nothing, silent=nothing, writing=nothing)
