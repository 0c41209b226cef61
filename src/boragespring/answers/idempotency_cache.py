"""Cache of buffered answers for retries with the same idempotency key."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from attrs import define, frozen

from boragespring.answers.errors import AnswerError

__all__ = ["IdempotencyCache", "IdempotencyCacheSettings", "RequestMismatchError"]

T = TypeVar("T")


class RequestMismatchError(AnswerError):
    """The idempotency key was already used for a different request."""

    code = "key_reused"


@frozen
class IdempotencyCacheSettings:
    """Retention time and size of the cache.

    Parameters
    ----------
    retention_s : float
        Time in seconds for which a complete answer is kept.
    answers_max : int
        Number of answers at which the oldest complete one is evicted.
    """

    retention_s: float = 60.0
    answers_max: int = 256


@define(eq=False)
class _Entry(Generic[T]):
    digest: bytes
    task: asyncio.Task[T]


class IdempotencyCache(Generic[T]):
    """Run each keyed request once at this entry and share its answer with retries.

    A retry with the same key joins the run in progress or gets the cached
    answer. A run continues when its caller disconnects. A failed run is removed,
    so that a retry runs the request again.

    Parameters
    ----------
    settings : IdempotencyCacheSettings
        Retention time and size of the cache.
    """

    def __init__(self, settings: IdempotencyCacheSettings) -> None:
        self._settings = settings
        self._entries: dict[tuple[str, str], _Entry[T]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    async def run(
        self,
        workspace: str,
        key: str,
        digest: bytes,
        start: Callable[[], Coroutine[Any, Any, T]],
    ) -> T:
        """Return the answer for a key; run the request if the key is new.

        Parameters
        ----------
        workspace : str
            Workspace of the caller; keys of different workspaces are distinct.
        key : str
            Idempotency key.
        digest : bytes
            Digest of the request, to detect reuse of the key.
        start : callable
            Returns the coroutine that runs the request.

        Raises
        ------
        RequestMismatchError
            If the key was used for a request with another digest.
        """
        cache_key = (workspace, key)
        entry = self._entries.get(cache_key)
        if entry is None:
            self._evict_oldest()
            entry = _Entry(digest, asyncio.create_task(start()))
            self._entries[cache_key] = entry
            entry.task.add_done_callback(lambda task: self._on_done(cache_key, task))
        elif entry.digest != digest:
            raise RequestMismatchError(
                "the idempotency key was used for a different request"
            )
        return await asyncio.shield(entry.task)

    async def close(self) -> None:
        """Cancel all runs in progress."""
        tasks = [entry.task for entry in self._entries.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, cache_key: tuple[str, str], task: asyncio.Task[T]) -> None:
        if task.cancelled() or task.exception() is not None:
            self._remove(cache_key, task)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings.retention_s, self._remove, cache_key, task)

    def _remove(self, cache_key: tuple[str, str], task: asyncio.Task[T]) -> None:
        entry = self._entries.get(cache_key)
        if entry is not None and entry.task is task:
            del self._entries[cache_key]

    def _evict_oldest(self) -> None:
        if len(self._entries) < self._settings.answers_max:
            return
        complete = (
            cache_key for cache_key, entry in self._entries.items() if entry.task.done()
        )
        oldest = next(complete, None)
        if oldest is not None:
            del self._entries[oldest]
