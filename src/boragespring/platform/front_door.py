"""Accept callers' requests over HTTP and hand them to the forwarder."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDictProxy

from boragespring.catalog import CallerLimits
from boragespring.decisions import DecisionLog
from boragespring.forwarding import (
    CallerReply,
    CallerRequest,
    PromptPart,
    PromptShape,
    Refusal,
    RefusalReason,
)
from boragespring.http.caller_connection import (
    CallerConnection,
    ConnectionServer,
    head_bytes,
)
from boragespring.platform import names
from boragespring.platform.caller_reply import HttpCallerReply
from boragespring.settings import AddressSettings

__all__ = ["FrontDoor", "ServesRequests"]

#: Time that a caller that names none is taken to wait.
REMAINING_DEFAULT_S = 60.0


class ServesRequests(Protocol):
    """What answers requests."""

    async def serve(self, request: CallerRequest, caller: CallerReply) -> None:
        """Give a request its final answer."""
        ...


class FrontDoor:
    """HTTP server for callers.

    Parameters
    ----------
    address : AddressSettings
        Where to listen.
    forwarder : ServesRequests
        What answers requests.
    limits : callable
        Returns the bounds in force.
    log : DecisionLog
        Where refused connections are told.
    """

    def __init__(
        self,
        address: AddressSettings,
        forwarder: ServesRequests,
        limits: Callable[[], CallerLimits],
        log: DecisionLog,
    ) -> None:
        self._log = log
        self._address = address
        self._forwarder = forwarder
        self._limits = limits
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._idle = asyncio.Event()
        self.in_progress = 0
        self.is_leaving = False

    async def start(self) -> None:
        """Open the port."""
        server = ConnectionServer(
            self._handle, self._limits, self._log, self._build_request
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._address.host, self._address.port, reuse_address=True
        )
        await site.start()
        self._site = site

    @property
    def port(self) -> int:
        """Port in use."""
        assert self._runner is not None
        return int(self._runner.addresses[0][1])

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.in_progress:
            self._idle.clear()
            await self._idle.wait()

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _build_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        if isinstance(protocol, CallerConnection):
            protocol.on_head_read()
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._limits().body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_progress += 1
        caller = HttpCallerReply(request, self.is_leaving)
        try:
            decoded = await _decode_request(request, self._limits())
            if isinstance(decoded, Refusal):
                await caller.refuse(decoded)
            else:
                await self._forwarder.serve(decoded, caller)
        except ConnectionError:
            caller.abort()
        finally:
            self.in_progress -= 1
            self._idle.set()
            is_read = request.content.is_eof()
            if is_read and isinstance(request.protocol, CallerConnection):
                # The rest of a body that was refused would be taken for a head.
                request.protocol.on_request_handled()
        return caller.response or web.Response(status=500)


async def _decode_request(
    request: web.BaseRequest, limits: CallerLimits
) -> CallerRequest | Refusal:
    arrived_at_s = time.monotonic()
    headers = request.headers
    remaining_s = _milliseconds(headers.get(names.REMAINING_MS))
    if head_bytes(request) > limits.header_bytes:
        return Refusal(RefusalReason.HEAD_TOO_LARGE, was_not_run=True)
    try:
        async with asyncio.timeout(remaining_s):
            body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return Refusal(RefusalReason.TOO_LARGE, was_not_run=True)
    except TimeoutError:
        return Refusal(RefusalReason.TOO_LATE, was_not_run=True)
    request_id = headers.get(names.REQUEST_ID, "")
    if not request_id or not request.raw_path.startswith("/"):
        return Refusal(RefusalReason.BAD_REQUEST, was_not_run=True)
    return CallerRequest(
        request_id=request_id,
        method=request.method,
        host=headers.get("Host", "").lower(),
        target=request.raw_path,
        headers=tuple(_forwarded(headers)),
        body=body,
        credential=headers.get(names.CREDENTIAL, ""),
        arrived_at_s=arrived_at_s,
        deadline_s=arrived_at_s + remaining_s,
        prompt=_prompt(headers),
    )


def _forwarded(headers: CIMultiDictProxy[str]) -> Iterable[tuple[str, str]]:
    """Return the headers that concern the backend server."""
    named = {
        token.strip().lower()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    dropped = names.CALLER_HEADERS_DROPPED | named
    return (
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def _milliseconds(text: str | None) -> float:
    if text is None or not text.strip().isdecimal():
        return REMAINING_DEFAULT_S
    return int(text) / 1000


def _prompt(headers: CIMultiDictProxy[str]) -> PromptShape | None:
    counts = headers.get(names.TOKEN_COUNTS, "").split(",")
    if len(counts) != 2 or not all(count.strip().isdecimal() for count in counts):
        return None
    hint = headers.get(names.OUTPUT_HINT, "").strip()
    return PromptShape(
        prompt_tokens=int(counts[0]),
        output_max_tokens=int(counts[1]),
        output_hint_tokens=int(hint) if hint.isdecimal() else None,
        parts=tuple(_parts(headers.get(names.PROMPT_PARTS, ""))),
    )


def _parts(text: str) -> Iterable[PromptPart]:
    for entry in filter(None, text.split(",")):
        part_id, _, tokens = entry.strip().partition(":")
        if tokens.isdecimal():
            yield PromptPart(part_id, int(tokens))
