"""Interface through which an agent drives its backend server."""

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
    """Base of the errors of backend servers."""


class CallNotRunError(EngineError):
    """The backend server surely did not run the request."""


class CallOutcomeUnknownError(EngineError):
    """The request was sent and its answer was lost."""


class GenerationFailedError(EngineError):
    """The backend server ended a generation before its end."""


class FinishReason(StrEnum):
    """Why a generation ended; the values of the OpenAI interface."""

    STOP = "stop"
    LENGTH = "length"


@frozen
class GenerationRequest:
    """One generation as the agent gives it to its engine.

    Parameters
    ----------
    generation_id : str
        Identity of the generation, told to the engine as the request id.
    model : str
        Model that generates.
    prompt : str
        Prompt text; chat messages are already rendered.
    max_tokens : int
        Largest number of tokens to produce.
    priority : int
        Priority; a smaller number is served earlier.
    parameters : dict
        Other sampling parameters that pass through to the engine.
    """

    generation_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    parameters: dict[str, object] = Factory(dict)


@frozen
class TokenBatch:
    """Tokens that arrived together, in order of production.

    Parameters
    ----------
    texts : tuple of str
        Text of each token.
    finish_reason : FinishReason or None
        Set on the last batch of a complete generation.
    """

    texts: tuple[str, ...]
    finish_reason: FinishReason | None = None


@frozen
class LoadReport:
    """Load of a backend server in common units.

    Parameters
    ----------
    running, waiting : int
        Requests that run and that wait inside the server.
    used_memory_tokens, memory_tokens : int
        Used and whole memory of the server in tokens; 0 where not reported.
    preemptions : int
        Preemptions since the start of the server.
    cache_hit_ratio : float
        Share of prompt tokens found in the prefix cache.
    received_at_s : float
        Monotonic time at which the report arrived.
    """

    running: int
    waiting: int
    used_memory_tokens: int
    memory_tokens: int
    preemptions: int
    cache_hit_ratio: float
    received_at_s: float


class EngineClient(Protocol):
    """Calls that an agent makes to a model engine."""

    def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenBatch, None]:
        """Run a generation and yield its tokens.

        Closing the iterator cancels the generation at the engine. Raises
        `CallNotRunError` when the engine surely did not take the request and
        `GenerationFailedError` when the stream ends before its end.
        """
        ...

    async def fetch_load_report(self) -> LoadReport:
        """Read the server's load report; raise `EngineError` when it cannot."""
        ...

    async def close(self) -> None:
        """Close the connections to the server."""
        ...


@frozen
class ServiceCall:
    """One HTTP call to a plain service."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@frozen
class ServiceReply:
    """Complete answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceClient(Protocol):
    """Calls that an agent makes to a plain service."""

    async def call(self, call: ServiceCall) -> ServiceReply:
        """Send one call.

        Raises `CallNotRunError` when the service surely did not get it and
        `CallOutcomeUnknownError` when the answer was lost.
        """
        ...

    async def fetch_load_report(self) -> LoadReport:
        """Read the service's load report."""
        ...

    async def close(self) -> None:
        """Close the connections to the service."""
        ...
