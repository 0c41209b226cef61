"""One connection between two processes."""

import asyncio
import itertools
import time
from typing import Any, TypeVar

from absl import logging

from boragespring.links.arrivals import HeartbeatArrivals
from boragespring.links.codec import FrameDecoder, Message, encode
from boragespring.links.context import LinkContext
from boragespring.links.dispatcher import LinkHook
from boragespring.links.errors import (
    CallFailedError,
    LinkClosedError,
    LinkProtocolError,
)
from boragespring.links.messages import (
    PROTOCOL_VERSION,
    CallRefused,
    Heartbeat,
    Identity,
)

__all__ = ["Link"]

READ_MAX_BYTES = 256 * 2**10
WRITE_BUFFER_MAX_BYTES = 64 * 2**20
#: Heartbeat intervals of sleep from which this process was paused itself.
OWN_PAUSE_INTERVALS = 2.0

R = TypeVar("R")


class Link:
    """Connection with heartbeats both ways, messages, calls and replies.

    `run` serves the link until it closes. Messages of one turn of the event
    loop leave in one write.

    Parameters
    ----------
    reader, writer : asyncio streams
        The open TCP connection.
    context : LinkContext
        What all links of the process share.
    expected_name : str
        Name that the other end must have; empty for any.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        context: LinkContext,
        expected_name: str = "",
    ) -> None:
        self._expected_name = expected_name
        self._reader = reader
        self._writer = writer
        self._own = context.own
        self._dispatcher = context.dispatcher
        self._settings = context.settings
        self._metrics = context.metrics
        self._pending: list[bytes] = []
        self._flush_scheduled = False
        self._calls: dict[int, asyncio.Future[Message]] = {}
        self._call_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._identity: Identity | None = None
        self._closed = False
        self._up = asyncio.Event()
        self.close_reason = ""
        self.last_heard_s = time.monotonic()
        self.arrivals = HeartbeatArrivals(
            context.settings.heartbeat_interval_s, context.settings.heartbeat_deadline_s
        )
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def peer(self) -> Identity:
        """Identity of the other end; known once the link is up."""
        if self._identity is None:
            raise LinkClosedError("the other end has not told its identity")
        return self._identity

    @property
    def is_up(self) -> bool:
        """Whether the other end has told its identity and the link is open."""
        return self._identity is not None and not self._closed

    @property
    def silence_s(self) -> float:
        """Time since anything arrived."""
        return time.monotonic() - self.last_heard_s

    @property
    def is_suspect(self) -> bool:
        """Whether the silence is long against the recent heartbeats."""
        return self.silence_s > self.arrivals.suspicious_s

    async def wait_up(self) -> None:
        """Wait until the other end has told its identity."""
        await self._up.wait()

    def send(self, message: Message) -> None:
        """Send a one-way message; raise `LinkClosedError` on a closed link."""
        self._write(encode(message))

    async def call(self, message: Message, reply_class: type[R], timeout_s: float) -> R:
        """Send a call and wait for its reply.

        Raises
        ------
        LinkClosedError
            When the link closes first.
        CallFailedError
            When the other end refuses or does not answer in time.
        """
        call_id = next(self._call_ids)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._calls[call_id] = future
        try:
            self._write(encode(message, call_id))
            async with asyncio.timeout(timeout_s):
                reply = await future
        except TimeoutError as error:
            raise CallFailedError(f"no reply within {timeout_s} s") from error
        finally:
            self._calls.pop(call_id, None)
        if isinstance(reply, CallRefused):
            raise CallFailedError(reply.reason)
        if not isinstance(reply, reply_class):
            raise CallFailedError(f"unexpected reply {type(reply).__name__}")
        return reply

    def close(self, reason: str) -> None:
        """Close the connection at once."""
        if self._closed:
            return
        self._closed = True
        self.close_reason = reason
        self._flush()
        transport = self._writer.transport
        if transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()
        for future in self._calls.values():
            if not future.done():
                future.set_exception(LinkClosedError(reason))

    async def run(self) -> None:
        """Serve the link until it closes."""
        self._write(encode(self._own))
        heartbeats = asyncio.create_task(self._send_heartbeats())
        silence = asyncio.create_task(self._watch_silence())
        try:
            await self._read()
        except LinkProtocolError as error:
            self._metrics.protocol_errors.inc()
            self.close(str(error))
        except (OSError, EOFError) as error:
            self.close(f"connection lost: {error}")
        finally:
            heartbeats.cancel()
            silence.cancel()
            self.close("ended")
            for task in self._tasks:
                task.cancel()
            self._report_down()

    def _report_down(self) -> None:
        if self._identity is None:
            return
        self._metrics.open_links.dec()
        self._run_hooks(self._dispatcher.down_hooks)

    def _run_hooks(self, hooks: list[LinkHook]) -> None:
        """Run all hooks; one that fails keeps no other slice from its own."""
        for hook in hooks:
            try:
                hook(self)
            except Exception:
                self._metrics.handler_errors.inc()
                logging.exception("event=link_hook_failed")

    async def _read(self) -> None:
        decoder = FrameDecoder()
        while True:
            data = await self._reader.read(READ_MAX_BYTES)
            if not data:
                raise EOFError("closed by the other end")
            self.last_heard_s = time.monotonic()
            self.bytes_received += len(data)
            self._metrics.received_bytes.inc(len(data))
            for message, call_id in decoder.feed(data):
                if self._closed:
                    return
                if call_id == 0 and self._identity is not None:
                    self._handle(message)
                else:
                    self._receive(message, call_id)

    def _receive(self, message: Message, call_id: int) -> None:
        if self._identity is None:
            self._greet(message)
        elif call_id < 0:
            self._settle(message, -call_id)
        else:
            self._start_call(message, call_id)

    def _greet(self, message: Message) -> None:
        if not isinstance(message, Identity):
            raise LinkProtocolError("the first message is no identity")
        if message.protocol_version != PROTOCOL_VERSION:
            raise LinkProtocolError(
                f"protocol {message.protocol_version}, not {PROTOCOL_VERSION}"
            )
        if self._expected_name not in ("", message.name):
            raise LinkProtocolError(
                f"{message.name} is at the address of {self._expected_name}"
            )
        self._identity = message
        self._up.set()
        self._metrics.open_links.inc()
        self._run_hooks(self._dispatcher.up_hooks)

    def _handle(self, message: Message) -> None:
        handler = self._dispatcher.handlers.get(type(message))
        if handler is None:
            self._handle_own(message)
            return
        try:
            handler(self, message)
        except LinkProtocolError:
            raise
        except Exception:
            # One faulty message must not end the other answers on the link.
            self._metrics.handler_errors.inc()
            logging.exception("event=link_handler_failed type=%s", type(message))

    def _handle_own(self, message: Message) -> None:
        if not isinstance(message, Heartbeat):
            raise LinkProtocolError(f"{type(message).__name__} has no handler here")
        self.arrivals.note(self.last_heard_s)

    def _settle(self, message: Message, call_id: int) -> None:
        future = self._calls.get(call_id)
        if future is not None and not future.done():
            future.set_result(message)

    def _start_call(self, message: Message, call_id: int) -> None:
        task = asyncio.create_task(self._answer_call(message, call_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_call(self, message: Message, call_id: int) -> None:
        handler = self._dispatcher.call_handlers.get(type(message))
        reply: Any
        if handler is None:
            reply = CallRefused(f"{type(message).__name__} is no call here")
        else:
            try:
                reply = await handler(self, message)
            except Exception as error:
                self._metrics.handler_errors.inc()
                logging.exception("event=link_call_failed type=%s", type(message))
                reply = CallRefused(f"{type(error).__name__}: {error}")
        if not self._closed:
            self._write(encode(reply, -call_id))

    async def _send_heartbeats(self) -> None:
        interval_s = self._settings.heartbeat_interval_s
        for sequence in itertools.count(1):
            asleep_s = time.monotonic()
            await asyncio.sleep(interval_s)
            if time.monotonic() - asleep_s > OWN_PAUSE_INTERVALS * interval_s:
                self._forgive_silence()
            if self._closed:
                return
            if self._identity is not None:
                self._run_hooks(self._dispatcher.tick_hooks)
                if self._closed:
                    return
            self._write(encode(Heartbeat(sequence)))

    async def _watch_silence(self) -> None:
        """Close the link as soon as the other end is silent for too long."""
        slack_s = OWN_PAUSE_INTERVALS * self._settings.heartbeat_interval_s
        while not self._closed:
            wait_s = self.arrivals.dead_s - self.silence_s
            if wait_s <= 0:
                self._metrics.silent_links.inc()
                self.close(f"silent for {self.silence_s:.2f} s")
                return
            due_s = time.monotonic() + wait_s
            await asyncio.sleep(wait_s)
            if time.monotonic() - due_s > slack_s:
                self._forgive_silence()
            # What has arrived meanwhile is read before the silence is judged.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def _forgive_silence(self) -> None:
        """Blame no silence on the other end while this process was paused."""
        self._metrics.local_pauses.inc()
        self.last_heard_s = time.monotonic()
        self.arrivals.forget_last()

    def _write(self, data: bytes) -> None:
        if self._closed:
            raise LinkClosedError(self.close_reason)
        self._pending.append(data)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if not self._pending or self._writer.transport.is_closing():
            return
        data = b"".join(self._pending)
        self._pending.clear()
        self.bytes_sent += len(data)
        self._metrics.sent_bytes.inc(len(data))
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() > WRITE_BUFFER_MAX_BYTES:
            self.close("the other end takes too little")
