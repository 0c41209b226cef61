"""Crashes of servers that are known, and the traits of runs that they implicate.

The state of two gateways can be merged in any order, any number of times: runs are
added to a crash, and a trait that was cleared of a crash stays cleared of it.
"""

import itertools
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from attrs import define, evolve, field, frozen

from boragespring.fleet import ServerProcess
from boragespring.quarantine.clearances import Clearance, Clearances
from boragespring.quarantine.crash_index import ANY_SERVICE, CrashIndex, ServiceTrait
from boragespring.quarantine.crash_runs import (
    count_long_parts,
    merge_runs,
    thin_runs,
)
from boragespring.quarantine.crashes import Crash, Traits
from boragespring.quarantine.request_identity import RequestIdentity, is_request_trait

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
        Number of traits of these runs, those with few traits first, up to which they
        are kept whatever else is known.
    parts_max : int
        Maximum number of parts of prompts in the other runs of all crashes, as callers
        choose how many parts prompts have.
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
    parts_max: int = 16_384
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
    _long_parts: dict[ServerProcess, int] = field(factory=dict)
    #: Crashes of which parts were dropped, which are no news when they come again.
    _thinned: set[ServerProcess] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Bound the clearances by the settings."""
        self._clearances = Clearances(self.settings.cleared_max, self.clock)

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """All known crashes."""
        return tuple(self._crashes.values())

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is known."""
        return bool(self._crashes)

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
        self._replace(merged)
        self._drop_excess_parts(crash.process)
        self._drop_excess_crashes()
        self.version += 1
        return crash.process in self._crashes

    def add_clearance(self, clearance: Clearance) -> bool:
        """Add a clearance; return whether it is news."""
        processes = clearance.processes - self._forgotten.keys()
        is_news = self._clearances.add(clearance.key, processes)
        # A single crash is put down to nothing.
        self.version += is_news and self._index.is_repeated(clearance.key)
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
        keys = (ServiceTrait.of(service, trait) for trait in traits)
        found = [
            Clearance(key, self._implicated_before(key, began_at_s))
            for key in keys
            if not self._is_cleared(key)
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
        """Return the runs that implicate traits, by the crashes that they explain.

        Traits that were cleared of a crash are left out of its runs, and so are traits
        that occur in too few crashes. One trait stands for all that occur in the same
        runs: the one that answers have cleared of the fewest crashes.

        Parameters
        ----------
        crashes_min : int
            Minimum number of crashes.
        """
        names = frozenset(
            key.trait
            for key, crashes in self._index.implicating.items()
            if len(crashes) >= crashes_min and self._left_count(key) >= crashes_min
        )
        if not names:
            return {}
        runs = [
            (crash, left)
            for crash, suspects in self._index.suspects.items()
            for run in suspects
            if (left := self._clearances.left_of(run & names, crash.process))
        ]
        return self._group(runs, crashes_min)

    def _left_count(self, key: ServiceTrait) -> int:
        """Return the number of crashes at which a trait stood and is not cleared."""
        cleared = self._clearances.processes_of(key)
        return len(self._index.crashes[key].keys() - cleared)

    def _group(
        self, runs: Sequence[tuple[Crash, Traits]], crashes_min: int
    ) -> Implicated:
        """Return runs by one of the traits that occur in the same ones."""
        positions: dict[str, dict[str, list[int]]] = {}
        for position, (crash, run) in enumerate(runs):
            for trait in run:
                service = ANY_SERVICE if is_request_trait(trait) else crash.service
                at_service = positions.setdefault(service, {})
                at_service.setdefault(trait, []).append(position)
        groups: dict[tuple[int, ...], list[ServiceTrait]] = {}
        for service, found in positions.items():
            for trait, occurrences in found.items():
                key = ServiceTrait(service, trait)
                groups.setdefault(tuple(occurrences), []).append(key)
        implicated: Implicated = {}
        for signature, keys in groups.items():
            by_crash: dict[Crash, list[Traits]] = {}
            for position in signature:
                crash, run = runs[position]
                by_crash.setdefault(crash, []).append(run)
            if len(by_crash) >= crashes_min:
                key = min(keys, key=lambda key: (self.cleared_count(key), key.trait))
                implicated[key] = by_crash
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

    def _is_cleared(self, key: ServiceTrait) -> bool:
        """Return whether no crash is left that a trait may have caused."""
        crashes = self._index.crashes.get(key)
        return not crashes or crashes.keys() <= self._clearances.processes_of(key)

    def _implicated_before(
        self, key: ServiceTrait, before_s: float
    ) -> frozenset[ServerProcess]:
        implicating = self._index.crashes.get(key, {})
        return frozenset(
            process for process, at_s in implicating.items() if at_s < before_s
        )

    def _merge(self, known: Crash, crash: Crash) -> Crash:
        is_thinned = known.process in self._thinned
        merge = partial(
            merge_runs,
            runs_max=self.settings.runs_max,
            short_traits_max=self.settings.traits_max if is_thinned else None,
        )
        # The time of the first report is kept. Times that were converted from ages
        # differ a little, and must not pass as news.
        return evolve(
            known,
            starting=merge(known.starting, crash.starting),
            silent=merge(known.silent, crash.silent),
            writing=merge(known.writing, crash.writing),
        )

    def _replace(self, crash: Crash) -> None:
        """Keep a crash in place of what was known of it."""
        known = self._crashes.get(crash.process)
        if known is not None:
            self._index.remove(known)
        self._crashes[crash.process] = crash
        self._index.add(crash)
        short_max = self.settings.traits_max
        self._long_parts[crash.process] = sum(
            count_long_parts(runs, short_max) for runs in _runs_by_kind(crash)
        )

    def _drop_excess_parts(self, newest: ServerProcess) -> None:
        """Drop parts of long prompts if there are too many, those of old crashes first.

        A part that stood at one crash alone explains nothing, nor does one that is
        cleared. The newest crash has the parts that the next one may repeat.
        """
        if sum(self._long_parts.values()) <= self.settings.parts_max:
            return
        by_age = sorted(self._crashes.values(), key=lambda crash: crash.at_s)
        for crash in by_age:
            if crash.process != newest:
                self._thin(crash, partial(self._is_telling, crash))
            if sum(self._long_parts.values()) <= self.settings.parts_max:
                return
        self._drop_parts_of(self._crashes[newest])
        while sum(self._long_parts.values()) > self.settings.parts_max:
            self._forget_least_telling()

    def _drop_parts_of(self, crash: Crash) -> None:
        """Drop parts of a crash which alone has too many."""
        others = sum(self._long_parts.values()) - self._long_parts[crash.process]
        runs = itertools.chain.from_iterable(_runs_by_kind(crash))
        parts = frozenset[str]().union(*runs)
        # The same ones are kept of each crash and by each gateway.
        ordered = sorted(
            parts, key=lambda part: (not self._is_telling(crash, part), part)
        )
        kept = frozenset(ordered[: max(0, self.settings.parts_max - others)])
        self._thin(crash, kept.__contains__)

    def _is_telling(self, crash: Crash, part: str) -> bool:
        key = ServiceTrait.of(crash.service, part)
        is_cleared = crash.process in self._clearances.processes_of(key)
        return self._index.is_repeated(key) and not is_cleared

    def _thin(self, crash: Crash, is_kept: Callable[[str], bool]) -> None:
        short_max = self.settings.traits_max
        starting, silent, writing = (
            thin_runs(runs, short_max, is_kept) for runs in _runs_by_kind(crash)
        )
        self._thinned.add(crash.process)
        thinned = evolve(crash, starting=starting, silent=silent, writing=writing)
        if thinned == crash:
            return
        self._replace(thinned)
        dropped = _traits_of(crash) - _traits_of(thinned)
        self._clearances.forget_traits(crash.process, dropped)

    def _drop_excess_crashes(self) -> None:
        """Forget crashes if there are too many."""
        if len(self._crashes) > self.settings.crashes_max:
            self._forget_least_telling()

    def _forget_least_telling(self) -> None:
        """Forget the crash that says least.

        That is one whose traits occur in the fewest crashes, so that crashes with
        runs that were made up do not displace those that implicate one trait.
        """
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
        del self._long_parts[process]
        self._thinned.discard(process)
        self._forgotten[process] = None
        if len(self._forgotten) > self.settings.forgotten_max:
            self._forgotten.popitem(last=False)
        self.version += 1


def _runs_by_kind(crash: Crash) -> tuple[frozenset[Traits], ...]:
    return crash.starting, crash.silent, crash.writing


def _traits_of(crash: Crash) -> Traits:
    runs = itertools.chain.from_iterable(_runs_by_kind(crash))
    return frozenset(itertools.chain.from_iterable(runs))


def _without_runs(crash: Crash) -> Crash:
    nothing = frozenset[Traits]()
    return evolve(crash, starting=nothing, silent=nothing, writing=nothing)
