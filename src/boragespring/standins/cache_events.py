"""Publisher of prefix cache events, late and with gaps, in vLLM's form."""

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
    """Send numbered batches of stored and removed blocks on a PUB socket.

    Parameters
    ----------
    host : str
        Address to bind.
    port : int
        Port to bind; 0 takes a free one.
    lag_s : float
        Delay of each batch.
    loss_share : float
        Share of batches that are dropped after they got their number.
    seed : int
        Seed of the choice of lost batches.
    """

    def __init__(
        self, host: str, port: int, lag_s: float, loss_share: float, seed: int
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
        self._loss_share = loss_share
        self._chance = random.Random(seed)
        self._sequence_numbers = count()

    def publish(self, stored: list[int], removed: list[int]) -> None:
        """Send a numbered batch after the lag, unless it is lost."""
        events: list[list[object]] = []
        if stored:
            tokens: list[int] = []
            block = ["BlockStored", list(stored), None, tokens, CACHE_BLOCK_TOKENS]
            events.append([*block, None])
        if removed:
            events.append(["BlockRemoved", list(removed)])
        payload = msgpack.packb([time.time(), events])
        number = next(self._sequence_numbers).to_bytes(SEQUENCE_BYTES, "big")
        if self._chance.random() < self._loss_share:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_s, self._send, [TOPIC, number, payload])

    def _send(self, parts: list[bytes]) -> None:
        if self._socket.closed:
            return
        with suppress(zmq.Again):
            self._socket.send_multipart(parts, zmq.NOBLOCK)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
        self._context.term()
