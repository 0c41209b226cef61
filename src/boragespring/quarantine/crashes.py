"""Crashes of backend servers and the runs that were open there."""

from attrs import frozen

from boragespring.fleet import ServerProcess
from boragespring.quarantine.request_identity import is_request_trait

__all__ = ["Crash", "Traits", "request_traits"]

#: Identifiers of what a run has in common with other runs: the parts of its prompt that
#: other prompts may share, and its request.
Traits = frozenset[str]


@frozen(cache_hash=True)
class Crash:
    """Crash of a server process.

    Parameters
    ----------
    process : ServerProcess
        Process that crashed.
    service : str
        Service of the server.
    at_s : float
        Monotonic time in seconds at which this gateway places the crash.
    starting : frozenset of Traits
        Runs that had begun their replies and whose prompts had not proved to be sound.
    silent : frozenset of Traits
        Runs without a reply. Most of those at a model engine were waiting in its queue.
    writing : frozenset of Traits
        Requests whose runs had been writing for longer. Their prompts are sound.
    """

    process: ServerProcess
    service: str
    at_s: float
    starting: frozenset[Traits]
    silent: frozenset[Traits] = frozenset()
    writing: frozenset[Traits] = frozenset()

    @property
    def suspects(self) -> frozenset[Traits]:
        """Runs one of which may have caused the crash, by the traits that may have.

        A part of a prompt acts as an answer begins, a request at any time of its run.
        """
        if not self.starting:
            return self.silent | self.writing
        waiting = frozenset(map(request_traits, self.silent)) - {frozenset()}
        return self.starting | waiting | self.writing


def request_traits(traits: Traits) -> Traits:
    """Return the traits that identify a request."""
    return frozenset(filter(is_request_trait, traits))
