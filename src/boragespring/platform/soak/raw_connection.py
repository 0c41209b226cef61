"""HTTP/1.1 connection that is used until the server closes it.

A client library would leave it after ``Connection: close``.
"""

import asyncio
import time
from collections.abc import Mapping, Sequence

from attrs import define, frozen

from boragespring.platform import names
from boragespring.platform.soak.callers import CallRecord

__all__ = ["RawConnection", "RequestPiece", "encode_head"]

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 2**16
LINE_END = b"\r\n"
HEAD_END = LINE_END * 2


@frozen
class RequestPiece:
    """Part of a request.

    Parameters
    ----------
    data : bytes
        Bytes to send.
    delay_s : float
        Time in seconds to wait before.
    """

    data: bytes
    delay_s: float = 0.0


@define(eq=False)
class RawConnection:
    """Connection with one request at a time.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        Streams of the connection.
    request_count : int
        Number of requests that were begun on it.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    request_count: int = 0

    @classmethod
    async def open(cls, host: str, port: int) -> "RawConnection":
        """Open a connection.

        Raises
        ------
        OSError
            If nobody accepts it in time.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return cls(*await asyncio.open_connection(host, port))

    @property
    def is_open(self) -> bool:
        """Whether the server has not been seen to close the connection."""
        return not (self.writer.is_closing() or self.reader.at_eof())

    async def exchange(
        self, pieces: Sequence[RequestPiece], record: CallRecord
    ) -> None:
        """Send a request and record its response as it arrives.

        Raises
        ------
        OSError, EOFError
            If the connection ends before the response is complete.
        """
        self.request_count += 1
        sending = asyncio.create_task(self._send(pieces, record))
        try:
            await self._receive(record)
            record.is_complete = True
            await sending
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def _send(self, pieces: Sequence[RequestPiece], record: CallRecord) -> None:
        for piece in pieces:
            await asyncio.sleep(piece.delay_s)
            self.writer.write(piece.data)
            await self.writer.drain()
        record.sent_whole_at_s = time.monotonic()

    async def _receive(self, record: CallRecord) -> None:
        head = (await self.reader.readuntil(HEAD_END)).decode("latin-1")
        status_line, *lines = head.rstrip().split("\r\n")
        fields = (line.partition(":") for line in lines)
        record.headers = {name.title(): value.strip() for name, _, value in fields}
        record.status = int(status_line.split(" ")[1])
        record.reply_request_id = record.headers.get(names.REQUEST_ID, "")
        if "chunked" in record.headers.get("Transfer-Encoding", ""):
            await self._receive_chunks(record)
        else:
            await self._receive_bytes(record, int(record.headers["Content-Length"]))

    async def _receive_chunks(self, record: CallRecord) -> None:
        while size_bytes := int(await self.reader.readuntil(LINE_END), 16):
            await self._receive_bytes(record, size_bytes)
            await self.reader.readexactly(len(LINE_END))
        await self.reader.readuntil(LINE_END)

    async def _receive_bytes(self, record: CallRecord, size_bytes: int) -> None:
        while size_bytes > 0:
            data = await self.reader.read(min(size_bytes, READ_BYTES))
            if not data:
                raise EOFError
            record.body += data
            size_bytes -= len(data)


def encode_head(method: str, path: str, headers: Mapping[str, str]) -> bytes:
    """Return the head of a request."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{fields}\r\n".encode()
