"""Crashes of backend servers and the prompts that were starting there."""

from attrs import frozen

from boragespring.fleet import BackendServer

__all__ = ["Crash", "Prompt", "ServerProcess"]

#: Identifiers of the parts of a prompt that other requests may share.
Prompt = frozenset[str]


@frozen
class ServerProcess:
    """One process of a backend server.

    Parameters
    ----------
    server_id : str
        Identifier of the server, under which it may be started again.
    started_at_ms : int
        Start time by the server's clock; compared for equality only.
    """

    server_id: str
    started_at_ms: int

    @classmethod
    def of(cls, server: BackendServer) -> "ServerProcess":
        """Return the present process of a server."""
        return cls(server.server_id, server.registration.started_at_ms)


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
