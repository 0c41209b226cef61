"""Crashes of backend servers and the prompts that were starting there."""

from attrs import frozen

from boragespring.fleet import ServerProcess

__all__ = ["Crash", "Prompt"]

#: Identifiers of the parts of a prompt that other requests may share.
Prompt = frozenset[str]


@frozen
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
    prompts : frozenset of Prompt
        Prompts of the runs that had begun their replies and had not proved to be
        sound. One of them may have caused the crash.
    silent_prompts : frozenset of Prompt
        Prompts of the runs without a reply. Most of them were waiting in the queue
        of the server.
    """

    process: ServerProcess
    service: str
    at_s: float
    prompts: frozenset[Prompt]
    silent_prompts: frozenset[Prompt] = frozenset()

    @property
    def suspected_prompts(self) -> frozenset[Prompt]:
        """Prompts one of which may have caused the crash."""
        return self.prompts or self.silent_prompts
