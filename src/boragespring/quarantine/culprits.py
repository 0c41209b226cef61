"""Find the parts of prompts that explain most crashes."""

import itertools
from collections.abc import Iterable

from attrs import field, frozen

from boragespring.quarantine.crashes import Crash, Prompt
from boragespring.quarantine.evidence import CrashEvidence

__all__ = ["Culprit", "CulpritSettings", "find_culprits"]


@frozen
class CulpritSettings:
    """Number of crashes from which a part is held to cause them.

    Parameters
    ----------
    crashes_min : int
        Number of crashes that are explained by no other part. Servers also crash for
        other reasons, while any prompt may be starting on them.
    """

    crashes_min: int = 3


@frozen
class Culprit:
    """Parts of prompts that are held to crash the servers of a service.

    Parameters
    ----------
    service : str
        Service of the servers.
    parts : Prompt
        One part or, as long as they occurred together only, several. A prompt that
        has them all is held to crash its server.
    crashes : tuple of Crash
        Crashes that they explain, by time.
    """

    service: str
    parts: Prompt
    crashes: tuple[Crash, ...] = field(eq=False)

    @property
    def last_at_s(self) -> float:
        """Monotonic time in seconds of the last of the crashes."""
        return self.crashes[-1].at_s

    def matches(self, service: str, prompt: Prompt) -> bool:
        """Return whether a prompt is held to crash the servers of a service."""
        return service == self.service and self.parts <= prompt


def find_culprits(
    evidence: CrashEvidence, settings: CulpritSettings
) -> tuple[Culprit, ...]:
    """Return the culprits of all services.

    The part that occurs in most crashes is taken first, and the crashes that it
    explains implicate no other part. So a part that sound prompts have as well is not
    held to cause the crashes of the one that stands beside it.

    Parameters
    ----------
    evidence : CrashEvidence
        Known crashes.
    settings : CulpritSettings
        Number of crashes that is needed.
    """
    services = sorted({crash.service for crash in evidence.crashes})
    return tuple(
        culprit
        for service in services
        for culprit in _find_in_service(service, evidence, settings)
    )


def _find_in_service(
    service: str, evidence: CrashEvidence, settings: CulpritSettings
) -> Iterable[Culprit]:
    unexplained = [crash for crash in evidence.crashes if crash.service == service]
    while True:
        implicated = _implicating_prompts(unexplained, evidence)
        count = max((len(found) for found in implicated.values()), default=0)
        if count < settings.crashes_min:
            return
        leader = _most_likely(
            [part for part, found in implicated.items() if len(found) == count],
            implicated,
            service,
            evidence,
        )
        crashes = sorted(implicated[leader], key=lambda crash: crash.at_s)
        # Parts that occurred together in all of these prompts are held together.
        prompts = itertools.chain.from_iterable(implicated[leader].values())
        yield Culprit(service, frozenset.intersection(*prompts), tuple(crashes))
        unexplained = [crash for crash in unexplained if crash not in crashes]


def _implicating_prompts(
    crashes: Iterable[Crash], evidence: CrashEvidence
) -> dict[str, dict[Crash, list[Prompt]]]:
    """Return the prompts that implicate each part, by the crashes that they explain.

    Parts that were cleared of a crash are left out of its prompts.
    """
    implicated: dict[str, dict[Crash, list[Prompt]]] = {}
    for crash in crashes:
        for prompt in crash.suspected_prompts:
            left = evidence.implicated_parts(crash, prompt)
            for part in left:
                implicated.setdefault(part, {}).setdefault(crash, []).append(left)
    return implicated


def _most_likely(
    parts: Iterable[str],
    implicated: dict[str, dict[Crash, list[Prompt]]],
    service: str,
    evidence: CrashEvidence,
) -> str:
    """Return the most likely cause among parts that explain equally many crashes.

    A part that servers have answered, or that several runs of one server had, is more
    likely to be one that is common among sound requests.
    """

    def likelihood(part: str) -> tuple[int, int, str]:
        prompts = sum(map(len, implicated[part].values()))
        return evidence.cleared_count(service, part), prompts, part

    return min(parts, key=likelihood)
