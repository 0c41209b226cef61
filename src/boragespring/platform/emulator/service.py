"""Emulated backend server of a plain service, with faulty replies.

It writes its replies to the socket itself, since an HTTP server library would not
send malformed ones.
"""

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque
from enum import Enum, auto

from attrs import define, field, frozen

from boragespring.platform import names
from boragespring.platform.emulator.catalog import PLAIN_SERVICE
from boragespring.platform.emulator.crash_point import CrashingRequests, CrashPoint
from boragespring.platform.emulator.server_work import ServerWork, end_by_crash
from boragespring.platform.emulator.unsound_replies import make_unsound

__all__ = ["EmulatedService", "ReceivedRequest", "ServiceFault"]

_LOOPBACK = "127.0.0.1"
SIGNATURE_VALUE = "signed"


class ServiceFault(Enum):
    """Fault of a single reply."""

    NONE = auto()
    #: Rejects the request and states that it did not run.
    SHED = auto()
    #: Runs the request and replies with status 500.
    ERROR = auto()
    #: Runs the request and resets the connection.
    RESET = auto()
    #: Runs the request and never replies.
    HANG = auto()
    #: Closes the connection in the middle of the body.
    TRUNCATED = auto()
    #: Sends no ``Content-Length`` and resets the connection after the body.
    UNFRAMED_RESET = auto()
    #: Sends no ``Content-Length`` and closes the connection after the body.
    UNFRAMED = auto()
    #: Sends an unsolicited second reply after the first.
    EXTRA = auto()
    #: Sends the reply to another request.
    OTHER_REPLY = auto()
    #: Runs the request and sends the refusal of another request.
    OTHER_REFUSAL = auto()
    #: Declares a content encoding that the body does not have.
    ENCODED = auto()
    #: Sends a successful reply without a signature.
    UNSIGNED = auto()
    #: Sends bytes that are not an HTTP response.
    GARBAGE = auto()
    #: Replies that it is not the expected server.
    OTHER_SERVER = auto()
    #: Sends a reply whose head is no HTTP, in varying ways.
    UNSOUND = auto()


#: Faults with which a server ends a reply itself before it is complete.
BREAKING_FAULTS = frozenset(
    (
        ServiceFault.RESET,
        ServiceFault.TRUNCATED,
        ServiceFault.UNFRAMED_RESET,
        ServiceFault.GARBAGE,
    )
)


@frozen
class ReceivedRequest:
    """Request as received by a server; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@frozen
class PauseRequest:
    """Reply in which a server asked a gateway for a pause.

    Parameters
    ----------
    at_s : float
        Monotonic time in seconds of the reply.
    request_id : str
        Request that was turned away.
    pause_s : float
        Time in seconds for which the server wants nothing from that gateway.
    """

    at_s: float
    request_id: str
    pause_s: float


@define(eq=False)
class EmulatedService:
    """Server whose replies have the body ``answer of SERVER_ID``.

    Parameters
    ----------
    server_id : str
        Identity of the backend server.
    service : str
        Service that it belongs to.
    execution_s : float
        Execution time of a request in seconds.
    faults : deque of ServiceFault
        Faults of the next replies.
    default_fault : ServiceFault
        Fault of every reply while `faults` is empty.
    received : list of ReceivedRequest
        All requests received so far.
    received_at_s : list of float
        Monotonic times in seconds at which they arrived.
    states_leaving : bool
        Whether the server states in all its replies that it leaves.
    retry_after : str
        Value of ``Retry-After`` in rejections; empty to send none.
    pauses : list of PauseRequest
        Replies in which it asked for a pause.
    rate_limit : str
        Value of ``Server-Limit`` in all replies; empty to send none.
    load : str
        Value of the load in all replies; empty for that of an idle server.
    cold_remaining_ms : str
        Value of the time for which it stays cold in all replies; empty to send none.
    error_body : bytes
        Body of the replies with the fault `ERROR`.
    runs : list of str
        Request IDs of all executions, including cancelled ones.
    unsound_number : int
        Number that chooses what is unsound in the next reply with `UNSOUND`.
    works : list of ServerWork
        What the server did with each request.
    cancelled : list of str
        Request IDs of the executions that the gateway cancelled by closing the
        connection.
    crashing : CrashingRequests or None
        Requests that crash the server that runs them.
    has_crashed : bool
        Whether the server has ended without notice.
    port : int
        Port that it listens on; 0 before the start.
    """

    server_id: str
    service: str = PLAIN_SERVICE
    execution_s: float = 0.0
    faults: deque[ServiceFault] = field(factory=deque)
    default_fault: ServiceFault = ServiceFault.NONE
    received: list[ReceivedRequest] = field(factory=list)
    received_at_s: list[float] = field(factory=list)
    states_leaving: bool = False
    retry_after: str = ""
    pauses: list[PauseRequest] = field(factory=list)
    rate_limit: str = ""
    load: str = ""
    cold_remaining_ms: str = ""
    error_body: bytes = b""
    unsound_number: int = 0
    runs: list[str] = field(factory=list)
    works: list[ServerWork] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    crashing: CrashingRequests | None = None
    has_crashed: bool = False
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    @property
    def body(self) -> bytes:
        """Body of the successful replies."""
        return f"answer of {self.server_id}".encode()

    async def start(self) -> None:
        """Start listening; `port` holds the port in use."""
        self._server = await asyncio.start_server(self._serve, _LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def crash(self) -> None:
        """Stop listening and close all connections, as the end of a process does."""
        self.has_crashed = True
        end_by_crash(self.works)
        await self.stop()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            request = await _read_request(reader)
            self.received.append(request)
            self.received_at_s.append(time.monotonic())
            await self._handle(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The gateway or a fault has closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        fault = self.faults.popleft() if self.faults else self.default_fault
        request_id = request.headers.get(names.REQUEST_ID.lower(), "")
        crash_point = None
        if self.crashing is not None:
            line = f"{request.method} {request.target}"
            crash_point = self.crashing.receive(line, request.body, request_id)
        work = ServerWork(request_id, self.server_id)
        self.works.append(work)
        if fault is ServiceFault.SHED:
            work.reject()
            not_run = {names.NOT_RUN: "1", **self._state_headers()}
            if self.retry_after:
                not_run[names.RETRY_AFTER] = self.retry_after
                with contextlib.suppress(ValueError):
                    pause_s = float(self.retry_after)
                    self.pauses.append(
                        PauseRequest(time.monotonic(), request_id, pause_s)
                    )
            writer.write(_encode_reply(503, request_id, b"", not_run))
            return
        if fault is ServiceFault.OTHER_SERVER:
            work.reject()
            headers = self._state_headers()
            writer.write(_encode_reply(421, request_id, b"", headers))
            return
        self.runs.append(request_id)
        if crash_point is not None:
            await self._crash_at(crash_point, request_id, writer)
            return
        work.resume()
        try:
            if await self._execute(reader, request_id):
                await self._write_reply(fault, request_id, writer)
                if fault in BREAKING_FAULTS:
                    work.break_off()
        finally:
            work.end()

    async def _crash_at(
        self, point: CrashPoint, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        if point.has_head:
            signed = {names.SIGNATURE: SIGNATURE_VALUE}
            encode = _encode_unframed_reply if point.is_unframed else _encode_reply
            writer.write(encode(200, request_id, self.body, signed)[:-4])
            await writer.drain()
        await asyncio.sleep(point.delay_s)
        if self.has_crashed:
            return
        await self.crash()
        if self.crashing is not None:
            self.crashing.on_crash(self)

    def _state_headers(self) -> dict[str, str]:
        leaving = {names.SERVER_LEAVING: "1"} if self.states_leaving else {}
        limit = {names.SERVER_LIMIT: self.rate_limit} if self.rate_limit else {}
        load = {names.SERVER_LOAD: self.load} if self.load else {}
        cold_ms = self.cold_remaining_ms
        cold = {names.COLD_REMAINING_MS: cold_ms} if cold_ms else {}
        return {**leaving, **limit, **load, **cold}

    async def _execute(self, reader: asyncio.StreamReader, request_id: str) -> bool:
        """Wait for the execution time; return False if the gateway disconnects."""
        disconnect = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait((disconnect,), timeout=self.execution_s)
        if done:
            self.cancelled.append(request_id)
            return False
        disconnect.cancel()
        return True

    async def _write_reply(
        self, fault: ServiceFault, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        signed = {names.SIGNATURE: SIGNATURE_VALUE, **self._state_headers()}
        complete_reply = _encode_reply(200, request_id, self.body, signed)
        match fault:
            case ServiceFault.ERROR:
                writer.write(_encode_reply(500, request_id, self.error_body, signed))
            case ServiceFault.RESET:
                _reset_connection(writer)
            case ServiceFault.HANG:
                await asyncio.sleep(3600)
            case ServiceFault.TRUNCATED:
                writer.write(complete_reply[:-4])
            case ServiceFault.UNFRAMED | ServiceFault.UNFRAMED_RESET:
                await self._write_unframed(fault, request_id, writer)
            case ServiceFault.EXTRA:
                writer.write(
                    complete_reply + _encode_reply(200, "other", b"other", signed)
                )
            case ServiceFault.OTHER_REPLY:
                writer.write(_encode_reply(200, "other", b"other", signed))
            case ServiceFault.OTHER_REFUSAL:
                not_run = {names.NOT_RUN: "1", **self._state_headers()}
                writer.write(_encode_reply(503, "other", b"", not_run))
            case ServiceFault.ENCODED:
                headers = {**signed, "Content-Encoding": "gzip"}
                writer.write(_encode_reply(200, request_id, self.body, headers))
            case ServiceFault.UNSIGNED:
                writer.write(_encode_reply(200, request_id, self.body, {}))
            case ServiceFault.UNSOUND:
                self.unsound_number += 1
                writer.write(make_unsound(complete_reply, self.unsound_number))
            case ServiceFault.GARBAGE:
                writer.write(b"\x00\x01 no reply\r\n\r\n")
            case _:
                writer.write(complete_reply)
        await writer.drain()

    async def _write_unframed(
        self, fault: ServiceFault, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        headers = {names.SIGNATURE: SIGNATURE_VALUE, **self._state_headers()}
        writer.write(_encode_unframed_reply(200, request_id, self.body, headers))
        await writer.drain()
        await asyncio.sleep(0.02)
        if fault is ServiceFault.UNFRAMED_RESET:
            _reset_connection(writer)


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a TCP reset."""
    raw_socket = writer.get_extra_info("socket")
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _encode_reply(
    status: int, request_id: str, body: bytes, headers: dict[str, str]
) -> bytes:
    framed = {**headers, "Content-Length": str(len(body))}
    return _encode_unframed_reply(status, request_id, body, framed)


def _encode_unframed_reply(
    status: int, request_id: str, body: bytes, headers: dict[str, str]
) -> bytes:
    """Encode a reply with neither a length nor chunks, but for those in the headers."""
    fields = {
        names.SERVER_LOAD: "0,0,6",
        **headers,
        names.REQUEST_ID: request_id,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} Reason\r\n{head}\r\n".encode() + body


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    request_line, *field_lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (field_line.partition(":") for field_line in field_lines)
    }
    length = int(headers.get("content-length", "0"))
    return ReceivedRequest(method, target, headers, await reader.readexactly(length))
