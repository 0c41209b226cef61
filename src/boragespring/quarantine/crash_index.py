"""Find the crashes at which runs with a trait were open."""

import itertools
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from attrs import field, frozen

from boragespring.fleet import ServerProcess
from boragespring.quarantine.crashes import Crash, Traits
from boragespring.quarantine.request_identity import is_request_trait, outline_of

__all__ = ["ANY_SERVICE", "CrashIndex", "ServiceTrait"]

#: Service of the traits that are the same at all services.
ANY_SERVICE = ""


class ServiceTrait(NamedTuple):
    """Trait of runs, with the service at which it is the same.

    A request is the same at all services, as its route may move from one to another
    or be split among several. A part of a prompt may crash one model and not another.

    Parameters
    ----------
    service : str
        Service of the servers, `ANY_SERVICE` for a request.
    trait : str
        Identifier of the trait.
    """

    service: str
    trait: str

    @classmethod
    def of(cls, service: str, trait: str) -> "ServiceTrait":
        """Return the key for a trait of a run on a server of a service."""
        return cls(ANY_SERVICE if is_request_trait(trait) else service, trait)


@frozen(eq=False)
class CrashIndex:
    """Known crashes by trait, as each request and each answer looks up its own.

    Parameters
    ----------
    crashes : dict of ServiceTrait to dict of ServerProcess to float
        Crashes at which runs with the trait were open, and their times in seconds.
    implicating : dict of ServiceTrait to list of Crash
        Crashes that runs with the trait may have caused.
    suspects : dict of Crash to frozenset of Traits
        Runs that may have caused each crash.
    outlines : Counter of str
        Outlines of the requests that were open, with the number of their traits at
        crashes.
    """

    crashes: dict[ServiceTrait, dict[ServerProcess, float]] = field(factory=dict)
    implicating: dict[ServiceTrait, list[Crash]] = field(factory=dict)
    suspects: dict[Crash, frozenset[Traits]] = field(factory=dict)
    outlines: "Counter[str]" = field(factory=Counter)

    def add(self, crash: Crash) -> None:
        """Add a crash that is not in the index."""
        keys = _keys_of(crash)
        # Most traits occur at one crash, and share these objects.
        alone, only = {crash.process: crash.at_s}, [crash]
        for key in keys.values():
            crashes = self.crashes.get(key)
            self.crashes[key] = alone if crashes is None else {**crashes, **alone}
            self._count_outline(key, 1)
        self.suspects[crash] = crash.suspects
        for trait in _traits_of_runs(crash.suspects):
            found = self.implicating.get(keys[trait])
            self.implicating[keys[trait]] = only if found is None else [*found, crash]

    def remove(self, crash: Crash) -> None:
        """Remove a crash that is in the index."""
        keys = _keys_of(crash)
        for key in keys.values():
            crashes = dict(self.crashes.pop(key))
            del crashes[crash.process]
            if crashes:
                self.crashes[key] = crashes
            self._count_outline(key, -1)
        for trait in _traits_of_runs(self.suspects.pop(crash)):
            found = self.implicating.pop(keys[trait])
            # A comparison of crashes takes longer than one of their identities.
            left = [each for each in found if each is not crash]
            if left:
                self.implicating[keys[trait]] = left

    def is_repeated(self, key: ServiceTrait) -> bool:
        """Return whether runs with a trait may have caused more than one crash."""
        return len(self.implicating.get(key, ())) > 1

    def _count_outline(self, key: ServiceTrait, change: int) -> None:
        if not is_request_trait(key.trait):
            return
        outline = outline_of(key.trait)
        self.outlines[outline] += change
        if not self.outlines[outline]:
            del self.outlines[outline]


def _keys_of(crash: Crash) -> dict[str, ServiceTrait]:
    """Return the keys of all traits of the runs that were open at a crash."""
    runs = itertools.chain(crash.starting, crash.silent, crash.writing)
    return {
        trait: ServiceTrait.of(crash.service, trait) for trait in _traits_of_runs(runs)
    }


def _traits_of_runs(runs: Iterable[Traits]) -> set[str]:
    return set(itertools.chain.from_iterable(runs))
