"""Body of a request, collected while it arrives.

The library's own buffer keeps an object for each chunk, and has no common limit.
"""

import asyncio

from aiohttp.streams import StreamReader

from boragespring.errors import BoragespringError

__all__ = [
    "Upload",
    "UploadError",
    "UploadEvictedError",
    "UploadMalformedError",
    "UploadTooLargeError",
]


class UploadError(BoragespringError):
    """The body of a request cannot be had."""


class UploadTooLargeError(UploadError):
    """The body is larger than allowed."""


class UploadEvictedError(UploadError):
    """The body has been dropped, as callers held too much memory."""


class UploadMalformedError(UploadError):
    """The bytes that arrived are no body."""


class Upload:
    """Body of one request.

    Parameters
    ----------
    payload : StreamReader
        Buffer into which the parser writes the body.
    max_bytes : int
        Maximum size of the body in bytes.

    Attributes
    ----------
    kept_bytes : int
        Size of what is kept of the body.
    received_bytes : int
        Size of what has arrived of it.
    """

    def __init__(self, payload: StreamReader, max_bytes: int) -> None:
        self._payload = payload
        self._max_bytes = max_bytes
        self._body = bytearray()
        self._is_dropped = False
        self._error: UploadError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.kept_bytes = 0
        self.received_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether all bytes of the request have arrived."""
        return self._payload.is_eof()

    @property
    def is_awaited(self) -> bool:
        """Whether the handler of the request waits for the body."""
        return self._waiter is not None

    def collect(self) -> bool:
        """Take what the parser has written; return whether there was anything."""
        error = self._payload.exception()
        if error is not None:
            self.fail(UploadMalformedError(str(error)))
            return False
        data = b""
        if self._payload.total_bytes > self.received_bytes:
            data = self._payload.read_nowait()
        self.received_bytes += len(data)
        if data and not self._is_dropped:
            self._keep(data)
        if self.is_complete:
            self._wake()
        return bool(data)

    def fail(self, error: UploadError) -> None:
        """Drop the body, and let the handler know why."""
        self._error = self._error or error
        self.drop()
        self._wake()

    def drop(self) -> None:
        """Keep nothing of the body, nor of what still arrives."""
        self._is_dropped = True
        self._body = bytearray()
        self.kept_bytes = 0

    async def read(self) -> bytes:
        """Return the whole body; it can be read once.

        Raises
        ------
        UploadError
            If it cannot be had.
        """
        if self._error is None and not self.is_complete:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._error is not None:
            raise self._error
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def _keep(self, data: bytes) -> None:
        self.kept_bytes += len(data)
        if self.kept_bytes > self._max_bytes:
            message = f"more than {self._max_bytes} bytes"
            self.fail(UploadTooLargeError(message))
            return
        self._body += data

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
