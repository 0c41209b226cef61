"""Bounds on the replies of HTTP servers that may never end them."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from boragespring.http.reply_head import UnsoundReplyError
from boragespring.http.reply_scan import ReplyScan

__all__ = [
    "NOT_CONNECTED_ERRORS",
    "REPLY_PIECE_BYTES",
    "BodyTooLargeError",
    "NotConnectedError",
    "create_connector",
    "read_body",
]

#: Amount of a reply that is read from the socket, and waits for its reader, at once.
REPLY_PIECE_BYTES = 16 * 2**10
#: Amount that is read at once where chunks are smaller than this on average.
SMALL_PIECE_BYTES = 2 * 2**10
SMALL_CHUNK_BYTES = 64


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The body of a reply is larger than allowed; its rest was not read."""


class NotConnectedError(aiohttp.ClientConnectionError):
    """No connection could be opened, for another reason than one of the network."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a reply, and close the connection if it is too large.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Reply whose head has been received.
    max_bytes : int
        Maximum size of the body in bytes.

    Raises
    ------
    BodyTooLargeError
        If the body is larger.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLargeError(f"body of more than {max_bytes} bytes")
    return bytes(body)


#: Errors that are raised before a connection is open, so that nothing has been sent.
NOT_CONNECTED_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    NotConnectedError,
)


class _CheckedResponseHandler(ResponseHandler):
    """Protocol of a connection on which only checked replies are parsed."""

    _scan: ReplyScan | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit how much is read from the socket at once."""
        super().connection_made(transport)
        self._read_at_once(REPLY_PIECE_BYTES)

    def set_response_params(self, *, skip_payload: bool = False, **params: Any) -> None:
        """Prepare for the reply to the next request."""
        self._scan = ReplyScan(has_body=not skip_payload)
        self._read_at_once(REPLY_PIECE_BYTES)
        super().set_response_params(skip_payload=skip_payload, **params)

    def data_received(self, data: bytes) -> None:
        """Parse received data if it belongs to a reply that is awaited."""
        if not data:
            # The library lets its parser go on.
            super().data_received(data)
            return
        if self.exception() is not None:
            return
        try:
            checked = self._check(data)
        except UnsoundReplyError as error:
            self._refuse(error)
            return
        if checked:
            super().data_received(checked)

    def _check(self, data: bytes) -> bytes:
        """Return the part of the data that may be parsed."""
        if self._scan is None or self._scan.is_complete:
            raise UnsoundReplyError("bytes that belong to no request")
        chunks_before = self._scan.chunks
        checked = self._scan.feed(data)
        self._pace(len(data), self._scan.chunks - chunks_before)
        if self._scan.has_excess:
            # Nothing further on this connection belongs to a request.
            self.force_close()
        return checked

    def _pace(self, data_bytes: int, chunks: int) -> None:
        """Read less at once of small chunks, which take long to parse.

        Many replies of small chunks would otherwise keep the event loop from all
        others for a whole turn.
        """
        if data_bytes < SMALL_PIECE_BYTES:
            return
        is_small = chunks * SMALL_CHUNK_BYTES > data_bytes
        self._read_at_once(SMALL_PIECE_BYTES if is_small else REPLY_PIECE_BYTES)

    def _read_at_once(self, size_bytes: int) -> None:
        if self.transport is not None:
            # Attribute of asyncio's transports on selectors.
            self.transport.max_size = size_bytes  # type: ignore[attr-defined]

    def _refuse(self, error: UnsoundReplyError) -> None:
        if self.transport is not None:
            self.transport.close()
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)


class _Connector(aiohttp.TCPConnector):
    """Connector that raises errors of a connection only, whatever the address is."""

    async def connect(self, *args: Any, **kwargs: Any) -> Connection:
        """Open a connection, or take one that is idle."""
        try:
            return await super().connect(*args, **kwargs)
        except (aiohttp.ClientConnectorError, TimeoutError):
            raise
        except Exception as error:
            raise NotConnectedError(f"{type(error).__name__} {error}") from error


def create_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose connections bound the heads of replies.

    All that goes wrong before a connection is open raises
    `aiohttp.ClientConnectorError`, `NotConnectedError` or TimeoutError.

    Parameters
    ----------
    **options
        Parameters of `aiohttp.TCPConnector`.
    """
    connector = _Connector(**options)
    # aiohttp has no public way to choose the protocol of its connections.
    factory: Any = functools.partial(_CheckedResponseHandler, loop=connector._loop)
    connector._factory = factory
    return connector
