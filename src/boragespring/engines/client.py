"""Interfaces through which an agent calls its backend server."""

from collections.abc import AsyncGenerator
from enum import StrEnum
from typing import Protocol

from attrs import Factory, frozen

from boragespring.errors import BoragespringError

__all__ = [
    "CallNotRunError",
    "CallOutcomeUnknownError",
    "EngineClient",
    "EngineError",
    "FinishReason",
    "GenerationFailedError",
    "GenerationRequest",
    "LoadReport",
    "ServiceCall",
    "ServiceClient",
    "ServiceReply",
    "TokenBatch",
]


class EngineError(BoragespringError):
    """Base class of the errors of backend servers."""


class CallNotRunError(EngineError):
    """The request is known not to have run at the backend server."""


class CallOutcomeUnknownError(EngineError):
    """The request was sent, but its reply was lost, so it may or may not have run."""


class GenerationFailedError(EngineError):
    """The generation ended before it was complete."""


class FinishReason(StrEnum):
    """Reason why a generation ended, with the values of the OpenAI API."""

    STOP = "stop"
    LENGTH = "length"


@frozen
class GenerationRequest:
    """Request for one generation, independent of the engine's vendor.

    Parameters
    ----------
    generation_id : str
        Identifier of the generation, sent to the engine as the request ID.
    model : str
        Name of the model.
    prompt : str
        Prompt text, with chat messages already rendered into it.
    max_tokens : int
        Maximum number of tokens to generate.
    priority : int, default=0
        Scheduling priority; smaller numbers are served first.
    parameters : dict
        Other sampling parameters, passed on to the engine unchanged.
    """

    generation_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    parameters: dict[str, object] = Factory(dict)


@frozen
class TokenBatch:
    """Tokens that arrived together, in the order of generation.

    Parameters
    ----------
    texts : tuple of str
        Text of each token.
    finish_reason : FinishReason or None, default=None
        Reason why the generation ended; set only on its last batch.
    """

    texts: tuple[str, ...]
    finish_reason: FinishReason | None = None


@frozen
class LoadReport:
    """Load of a backend server, in the same units for all vendors.

    Parameters
    ----------
    running, waiting : int
        Number of requests that run and that wait inside the server.
    used_memory_tokens, memory_tokens : int
        Used and total memory of the server in tokens; 0 if not reported.
    preemptions : int
        Number of preemptions since the server started.
    cache_hit_ratio : float
        Fraction of prompt tokens that were found in the prefix cache.
    received_at_s : float
        Monotonic time in seconds at which the report arrived.
    """

    running: int
    waiting: int
    used_memory_tokens: int
    memory_tokens: int
    preemptions: int
    cache_hit_ratio: float
    received_at_s: float


class EngineClient(Protocol):
    """Client of one model engine."""

    def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenBatch, None]:
        """Run a generation and yield its tokens.

        Closing the iterator cancels the generation at the engine.

        Raises
        ------
        CallNotRunError
            If the generation is known not to have run.
        GenerationFailedError
            If the stream ends before the generation is complete.
        """
        ...

    async def fetch_load_report(self) -> LoadReport:
        """Fetch the load report of the engine.

        Raises
        ------
        EngineError
            If the report cannot be fetched or is unusable.
        """
        ...

    async def close(self) -> None:
        """Close the connections to the engine."""
        ...


@frozen
class ServiceCall:
    """One HTTP request to a plain service."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@frozen
class ServiceReply:
    """Buffered HTTP response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceClient(Protocol):
    """Client of one plain service."""

    async def call(self, call: ServiceCall) -> ServiceReply:
        """Send one request and return the complete reply.

        Raises
        ------
        CallNotRunError
            If the request is known not to have reached the service.
        CallOutcomeUnknownError
            If the reply was lost.
        """
        ...

    async def fetch_load_report(self) -> LoadReport:
        """Fetch the load report of the service.

        Raises
        ------
        EngineError
            If the report cannot be fetched or is unusable.
        """
        ...

    async def close(self) -> None:
        """Close the connections to the service."""
        ...
