"""Find the traits of runs that explain most crashes."""

import itertools
from collections.abc import Iterable

from attrs import field, frozen

from boragespring.quarantine.crash_index import ANY_SERVICE, ServiceTrait
from boragespring.quarantine.crashes import Crash, Traits
from boragespring.quarantine.evidence import CrashEvidence, Implicated
from boragespring.quarantine.request_identity import is_request_trait, specificity_of

__all__ = ["Culprit", "CulpritSettings", "find_culprits"]


@frozen
class CulpritSettings:
    """Number of crashes from which a trait is held to cause them.

    Parameters
    ----------
    crashes_min : int
        Number of crashes that are explained by no other trait. Servers also crash for
        other reasons, while any run may be open on them.
    """

    crashes_min: int = 3


@frozen
class Culprit:
    """Traits of runs that are held to crash their servers.

    Parameters
    ----------
    service : str
        Service of the servers, `ANY_SERVICE` for a request.
    traits : Traits
        One trait or, as long as they occurred together only, several. A run that
        has them all is held to crash its server.
    crashes : tuple of Crash
        Crashes that they explain, by time.
    """

    service: str
    traits: Traits
    crashes: tuple[Crash, ...] = field(eq=False)

    @property
    def last_at_s(self) -> float:
        """Monotonic time in seconds of the last of the crashes."""
        return self.crashes[-1].at_s

    @property
    def is_request(self) -> bool:
        """Whether only runs of one request are held to crash servers."""
        return self.service == ANY_SERVICE

    def matches(self, service: str, traits: Traits) -> bool:
        """Return whether a run is held to crash the servers of a service."""
        return self.service in (ANY_SERVICE, service) and self.traits <= traits


def find_culprits(
    evidence: CrashEvidence, settings: CulpritSettings
) -> tuple[Culprit, ...]:
    """Return the culprits of all services, those with most crashes first.

    The trait that occurs in most crashes is taken first, and the crashes that it
    explains implicate no other trait. So a trait that sound runs have as well is not
    held to cause the crashes of the one that stands beside it.

    Parameters
    ----------
    evidence : CrashEvidence
        Known crashes.
    settings : CulpritSettings
        Number of crashes that is needed.
    """
    implicated = evidence.implicating_runs(settings.crashes_min)
    keys_by_crash: dict[Crash, list[ServiceTrait]] = {}
    for key, found in implicated.items():
        for crash in found:
            keys_by_crash.setdefault(crash, []).append(key)
    culprits = []
    while implicated:
        culprit = _most_likely_culprit(implicated, evidence)
        culprits.append(culprit)
        for crash in culprit.crashes:
            _remove_crash(implicated, crash, keys_by_crash[crash], settings)
    return tuple(culprits)


def _remove_crash(
    implicated: Implicated,
    crash: Crash,
    keys: Iterable[ServiceTrait],
    settings: CulpritSettings,
) -> None:
    """Remove a crash that a culprit explains from all that it implicates."""
    for key in keys:
        found = implicated.get(key)
        if found is None:
            continue
        del found[crash]
        if len(found) < settings.crashes_min:
            del implicated[key]


def _merge_requests(traits: Traits, evidence: CrashEvidence) -> Traits:
    """Keep one of the traits that identify a request more and less narrowly.

    That is the broadest one, as repeats may differ in the rest, but for those that
    answers have cleared of more crashes.
    """
    requests = frozenset(filter(is_request_trait, traits))
    if not requests:
        return traits

    def soundness(trait: str) -> tuple[int, int]:
        cleared = evidence.cleared_count(ServiceTrait(ANY_SERVICE, trait))
        return cleared, specificity_of(trait)

    return traits - requests | {min(requests, key=soundness)}


def _most_likely_culprit(implicated: Implicated, evidence: CrashEvidence) -> Culprit:
    """Return the culprit that explains most crashes.

    If several explain equally many, a trait of runs that servers have answered, that
    had been writing for a while, or that several runs of one server had, is more likely
    to be one of sound requests.
    """
    most = max(map(len, implicated.values()))

    def soundness(key: ServiceTrait) -> tuple[int, int, int, str]:
        found, run = implicated[key], frozenset([key.trait])
        writing = sum(run in crash.writing for crash in found)
        runs = sum(map(len, found.values()))
        return evidence.cleared_count(key), writing, runs, key.trait

    leaders = [key for key, found in implicated.items() if len(found) == most]
    leader = min(leaders, key=soundness)
    explained = implicated[leader]
    # Traits that occurred together in all of these runs are held together.
    runs = itertools.chain.from_iterable(explained.values())
    traits = _merge_requests(frozenset.intersection(*runs), evidence)
    is_request = any(map(is_request_trait, traits))
    return Culprit(
        ANY_SERVICE if is_request else leader.service,
        traits,
        tuple(sorted(explained, key=lambda crash: crash.at_s)),
    )
