"""Publisher of prefix cache events in vLLM's format, with delay and loss."""

import asyncio
import random
import time
from contextlib import suppress
from itertools import count

import msgpack
import zmq

from boragespring.standins.engine_core import CACHE_BLOCK_TOKENS

__all__ = ["CacheEventPublisher"]

TOPIC = b"kv-events"
SEQUENCE_BYTES = 8


class CacheEventPublisher:
    """Publish numbered batches of stored and removed blocks on a ZeroMQ socket.

    Parameters
    ----------
    host : str
        IP address to bind.
    port : int
        TCP port to bind; 0 selects a free one.
    lag_s : float
        Delay of each batch in seconds.
    loss_probability : float
        Probability that a batch is dropped. A dropped batch uses up a sequence
        number, so that subscribers see a gap.
    seed : int
        Seed of the random choice of dropped batches.

    Attributes
    ----------
    endpoint : str
        ZeroMQ address that subscribers connect to.
    """

    def __init__(
        self, host: str, port: int, lag_s: float, loss_probability: float, seed: int
    ) -> None:
        self._context = zmq.Context()
        self._socket = self._context.socket(zmq.PUB)
        self._socket.setsockopt(zmq.LINGER, 0)
        if port:
            self._socket.bind(f"tcp://{host}:{port}")
        else:
            port = self._socket.bind_to_random_port(f"tcp://{host}")
        self.endpoint = f"tcp://{host}:{port}"
        self._lag_s = lag_s
        self._loss_probability = loss_probability
        self._rng = random.Random(seed)
        self._sequence_numbers = count()

    def publish(self, stored: list[int], removed: list[int]) -> None:
        """Schedule a batch to be sent after the lag, unless it is dropped.

        Parameters
        ----------
        stored, removed : list of int
            Hashes of the blocks that entered and left the cache.
        """
        events: list[list[object]] = []
        if stored:
            tokens: list[int] = []
            stored_event = [
                "BlockStored",
                list(stored),
                None,
                tokens,
                CACHE_BLOCK_TOKENS,
            ]
            events.append([*stored_event, None])
        if removed:
            events.append(["BlockRemoved", list(removed)])
        payload = msgpack.packb([time.time(), events])
        sequence_number = next(self._sequence_numbers).to_bytes(SEQUENCE_BYTES, "big")
        if self._rng.random() < self._loss_probability:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_s, self._send, [TOPIC, sequence_number, payload])

    def _send(self, parts: list[bytes]) -> None:
        if self._socket.closed:
            return
        with suppress(zmq.Again):
            self._socket.send_multipart(parts, zmq.NOBLOCK)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
        self._context.term()
