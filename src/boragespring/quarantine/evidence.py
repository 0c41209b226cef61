"""Crashes of servers that are known, and the parts of prompts that they implicate.

The state of two gateways can be merged in any order, any number of times: prompts are
added to a crash, and a part that was cleared of a crash stays cleared of it.
"""

import itertools
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from boragespring.fleet import ServerProcess
from boragespring.quarantine.crashes import Crash, Prompt

__all__ = ["Clearance", "CrashEvidence", "EvidenceSettings"]


@frozen
class Clearance:
    """Statement that a part of prompts did not cause some crashes.

    Parameters
    ----------
    service : str
        Service of the crashed servers.
    part : str
        Identifier of the part.
    processes : frozenset of ServerProcess
        Crashed processes. After their crashes another server wrote an answer to a
        prompt with the part.
    """

    service: str
    part: str
    processes: frozenset[ServerProcess]


@frozen
class EvidenceSettings:
    """Bounds on what is kept.

    Parameters
    ----------
    crashes_max : int
        Maximum number of crashes.
    prompts_max : int
        Maximum number of prompts of one crash.
    forgotten_max : int
        Maximum number of crashes that are remembered as forgotten, so that late
        messages do not bring them back.
    cleared_max : int
        Maximum number of parts for which clearances are kept.
    ttl_s : float
        Time in seconds for which a crash counts.
    """

    crashes_max: int = 64
    prompts_max: int = 24
    forgotten_max: int = 4096
    cleared_max: int = 8192
    ttl_s: float = 3600.0


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
    #: Crashes that implicate each part of a service, and their times in seconds.
    _implicated: dict[tuple[str, str], dict[ServerProcess, float]] | None = None
    _cleared: dict[tuple[str, str], frozenset[ServerProcess]] = field(factory=dict)

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """All known crashes."""
        return tuple(self._crashes.values())

    @property
    def clearances(self) -> list[Clearance]:
        """All known clearances."""
        return [
            Clearance(service, part, processes)
            for (service, part), processes in self._cleared.items()
        ]

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash or merge it with what is known; return whether that is news."""
        if crash.process in self._forgotten or not crash.suspected_prompts:
            return False
        known = self._crashes.get(crash.process)
        merged = crash if known is None else self._merge(known, crash)
        if merged == known:
            return False
        self._crashes[crash.process] = merged
        self._implicated = None
        self._drop_excess()
        self.version += 1
        return crash.process in self._crashes

    def add_clearance(self, clearance: Clearance) -> bool:
        """Add a clearance; return whether it is news."""
        key = clearance.service, clearance.part
        known = self._cleared.get(key, frozenset())
        news = clearance.processes - known - self._forgotten.keys()
        if not news:
            return False
        if len(self._cleared) >= self.settings.cleared_max:
            self._drop_outdated_clearances()
        if key not in self._cleared and len(self._cleared) >= self.settings.cleared_max:
            # Replacing another one would make that one news again elsewhere.
            return False
        self._cleared[key] = (known - self._forgotten.keys()) | news
        self.version += 1
        return True

    def clear(
        self, service: str, prompt: Prompt, began_at_s: float
    ) -> Iterable[Clearance]:
        """Clear the parts of a prompt to which a server has written an answer.

        Parameters
        ----------
        service : str
            Service of the server.
        prompt : Prompt
            Parts of the prompt.
        began_at_s : float
            Monotonic time in seconds at which the answer began. Later crashes may
            still be caused by the prompt.

        Returns
        -------
        iterable of Clearance
            What was not known before.
        """
        if not self._crashes:
            return []
        found = [
            Clearance(service, part, self._implicated_before(service, part, began_at_s))
            for part in prompt
        ]
        return [clearance for clearance in found if self.add_clearance(clearance)]

    def implicated_parts(self, crash: Crash, prompt: Prompt) -> Prompt:
        """Return the parts of one prompt of a crash that were not cleared of it."""
        return frozenset(
            part
            for part in prompt
            if crash.process not in self._cleared.get((crash.service, part), ())
        )

    def cleared_count(self, service: str, part: str) -> int:
        """Return the number of crashes of which a part was cleared."""
        return len(self._cleared.get((service, part), ()))

    def expire(self) -> None:
        """Forget crashes that are too old; called periodically."""
        cutoff_s = self.clock() - self.settings.ttl_s
        for crash in self.crashes:
            if crash.at_s < cutoff_s:
                self._forget(crash.process)

    def _implicated_before(
        self, service: str, part: str, before_s: float
    ) -> frozenset[ServerProcess]:
        if self._implicated is None:
            self._implicated = self._index_implicated()
        implicating = self._implicated.get((service, part), {})
        return frozenset(
            process for process, at_s in implicating.items() if at_s < before_s
        )

    def _index_implicated(self) -> dict[tuple[str, str], dict[ServerProcess, float]]:
        """Return an index, as each answer to a prompt looks up its parts."""
        index: dict[tuple[str, str], dict[ServerProcess, float]] = {}
        for crash in self._crashes.values():
            prompts = (*crash.prompts, *crash.silent_prompts)
            for part in itertools.chain.from_iterable(prompts):
                implicating = index.setdefault((crash.service, part), {})
                implicating[crash.process] = crash.at_s
        return index

    def _drop_outdated_clearances(self) -> None:
        """Drop the clearances of which all crashes are forgotten."""
        self._cleared = {
            key: processes
            for key, processes in self._cleared.items()
            if processes - self._forgotten.keys()
        }

    def _merge(self, known: Crash, crash: Crash) -> Crash:
        # The time of the first report is kept. Times that were converted from ages
        # differ a little, and must not pass as news.
        return evolve(
            known,
            prompts=self._bounded(known.prompts, crash.prompts),
            silent_prompts=self._bounded(known.silent_prompts, crash.silent_prompts),
        )

    def _bounded(
        self, known: frozenset[Prompt], added: frozenset[Prompt]
    ) -> frozenset[Prompt]:
        room = max(0, self.settings.prompts_max - len(known))
        return known | frozenset(list(added - known)[:room])

    def _drop_excess(self) -> None:
        """Forget the crash that says least, if there are too many.

        That is one whose parts occur in the fewest crashes, so that crashes with
        prompts that were made up do not displace those that implicate one part.
        """
        if len(self._crashes) <= self.settings.crashes_max:
            return
        parts = {
            process: frozenset[str]().union(*crash.suspected_prompts)
            for process, crash in self._crashes.items()
        }
        counts = Counter(part for found in parts.values() for part in found)

        def weight(process: ServerProcess) -> tuple[int, float]:
            support = max(counts[part] for part in parts[process])
            return support, self._crashes[process].at_s

        self._forget(min(self._crashes, key=weight))

    def _forget(self, process: ServerProcess) -> None:
        del self._crashes[process]
        self._implicated = None
        self._forgotten[process] = None
        if len(self._forgotten) > self.settings.forgotten_max:
            self._forgotten.popitem(last=False)
        self.version += 1
