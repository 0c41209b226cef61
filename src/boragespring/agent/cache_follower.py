"""Tracking of the engine's prefix cache and its announcement to the entries."""

import asyncio
import time
from collections.abc import Callable
from weakref import WeakKeyDictionary

import msgpack
import zmq
import zmq.asyncio
from absl import logging

from boragespring.links import Dispatcher, Link
from boragespring.routing import CacheDigest, CacheIndex

__all__ = ["CacheAnnouncer", "CacheFollower"]

SEQUENCE_NUMBER_BYTES = 8
#: Assumed tokens per block until a ``BlockStored`` event reports the block size.
BLOCK_TOKENS_DEFAULT = 16
#: Time in seconds between two digests, which keeps their cost within the budget
#: for control traffic.
DIGEST_INTERVAL_S = 5.0


class CacheFollower:
    """Update the cache index with the cache events that an engine publishes.

    Parameters
    ----------
    url : str
        ZeroMQ address of the engine's PUB socket.
    index : CacheIndex
        Estimate of the cache content.
    """

    def __init__(self, url: str, index: CacheIndex) -> None:
        self._url = url
        self._index = index
        self._next_sequence_number: int | None = None
        self._block_tokens = BLOCK_TOKENS_DEFAULT
        self._context: zmq.asyncio.Context | None = None
        self._task: asyncio.Task[None] | None = None
        self.gaps = 0
        self.malformed = 0

    def start(self) -> None:
        """Start the background task that receives events."""
        self._context = zmq.asyncio.Context()
        self._task = asyncio.create_task(self._run(self._context))

    async def close(self) -> None:
        """Stop the background task and close the socket."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._context is not None:
            self._context.destroy(linger=0)

    async def _run(self, context: zmq.asyncio.Context) -> None:
        with context.socket(zmq.SUB) as events:
            events.connect(self._url)
            events.subscribe(b"")
            while True:
                self.handle_batch(await events.recv_multipart())

    def handle_batch(self, parts: list[bytes]) -> None:
        """Apply one batch of events to the index.

        A malformed batch is counted and recorded as a gap in the index.

        Parameters
        ----------
        parts : list of bytes
            Message frames: topic, sequence number and msgpack payload.
        """
        try:
            _, sequence_number, payload = parts
            batch = msgpack.unpackb(payload)
            self._check_sequence_number(
                int.from_bytes(sequence_number[:SEQUENCE_NUMBER_BYTES], "big")
            )
            for event in batch[1]:
                self._handle_event(event)
        except (ValueError, TypeError, LookupError, msgpack.UnpackException) as error:
            self.malformed += 1
            self._index.record_gap()
            logging.log_first_n(
                logging.WARNING, "event=cache_event_malformed error=%s", 3, error
            )

    def _check_sequence_number(self, sequence_number: int) -> None:
        if (
            self._next_sequence_number is not None
            and sequence_number != self._next_sequence_number
        ):
            self.gaps += 1
            self._index.record_gap()
        self._next_sequence_number = sequence_number + 1

    def _handle_event(self, event: list[object]) -> None:
        kind, *fields = event
        if kind == "BlockStored" and isinstance(fields[3], int):
            self._block_tokens = fields[3]
        elif kind == "BlockRemoved" and isinstance(fields[0], list):
            self._index.record_eviction(len(fields[0]) * self._block_tokens)
        elif kind == "AllBlocksCleared":
            self._index.record_clear()


class CacheAnnouncer:
    """Send the digest of the cache to each entry whenever it has changed.

    Parameters
    ----------
    index : CacheIndex
        Estimate of the cache content.
    dispatcher : Dispatcher
        Calls the announcer with each link at every heartbeat.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        index: CacheIndex,
        dispatcher: Dispatcher,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._index = index
        self._clock = clock
        self._digest = CacheDigest()
        self._digest_built_at_s = float("-inf")
        self._sent_digests: WeakKeyDictionary[Link, CacheDigest] = WeakKeyDictionary()
        dispatcher.on_tick(self._send_digest)

    def _send_digest(self, link: Link) -> None:
        now_s = self._clock()
        if now_s - self._digest_built_at_s >= DIGEST_INTERVAL_S:
            self._digest = self._index.digest()
            self._digest_built_at_s = now_s
        if self._sent_digests.get(link, CacheDigest()) != self._digest:
            self._sent_digests[link] = self._digest
            link.send(self._digest)
