"""Connection between two processes."""

import asyncio
import itertools
import time
from typing import Any, TypeVar

from absl import logging

from boragespring.event_loop import POLL_ITERATIONS_MAX, sleep_until_tick
from boragespring.external_values import UnusableValueError
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
#: Amount of unsent data above which the link is closed.
WRITE_BUFFER_MAX_BYTES = 64 * 2**20
#: This process counts as paused if its sleep between two heartbeats takes longer than
#: this many heartbeat intervals, or if the sleep of the silence monitor ends later
#: than planned by more than that time.
LOCAL_PAUSE_INTERVALS = 2.0

R = TypeVar("R")


class Link:
    """Connection that carries heartbeats, one-way messages, calls and replies.

    `run` serves the link until it closes. Messages sent within one iteration of the
    event loop are combined into one write.

    Parameters
    ----------
    reader, writer : asyncio streams
        Streams of the open TCP connection.
    context : LinkContext
        Context shared by all links of the process.
    expected_name : str
        Name that the peer must report; empty for any.

    Attributes
    ----------
    close_reason : str
        Why the link was closed; empty while it is open.
    last_received_s : float
        Monotonic time at which data last arrived.
    arrivals : HeartbeatArrivals
        Arrival times of heartbeats, from which silence is evaluated.
    bytes_sent, bytes_received : int
        Amount of data in each direction.
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
        self._local_identity = context.local_identity
        self._dispatcher = context.dispatcher
        self._settings = context.settings
        self._metrics = context.metrics
        self._pending: list[bytes] = []
        self._flush_scheduled = False
        self._calls: dict[int, asyncio.Future[Message]] = {}
        self._call_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._peer_identity: Identity | None = None
        self._closed = False
        self._up = asyncio.Event()
        self.close_reason = ""
        self.last_received_s = time.monotonic()
        self.arrivals = HeartbeatArrivals(
            context.settings.heartbeat_interval_s, context.settings.heartbeat_deadline_s
        )
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def peer(self) -> Identity:
        """Identity of the peer; raise `LinkClosedError` if it is not known yet."""
        if self._peer_identity is None:
            raise LinkClosedError("the peer has not sent its identity")
        return self._peer_identity

    @property
    def is_up(self) -> bool:
        """Whether the peer has sent its identity and the link is open."""
        return self._peer_identity is not None and not self._closed

    @property
    def silence_s(self) -> float:
        """Seconds since data last arrived."""
        return time.monotonic() - self.last_received_s

    @property
    def is_suspect(self) -> bool:
        """Whether the silence is unusually long compared with recent heartbeats."""
        return self.silence_s > self.arrivals.suspicion_timeout_s

    async def wait_until_up(self) -> None:
        """Wait until the peer has sent its identity.

        If the link closes first, this never returns and has to be cancelled.
        """
        await self._up.wait()

    def send(self, message: Message) -> None:
        """Send a one-way message; raise `LinkClosedError` on a closed link."""
        self._enqueue(encode(message))

    async def call(self, message: Message, reply_class: type[R], timeout_s: float) -> R:
        """Send a call and wait for its reply.

        Raises
        ------
        LinkClosedError
            The link closed before the reply arrived.
        CallFailedError
            The peer refused the call, sent a wrong reply, or did not reply in time.
        """
        call_id = next(self._call_ids)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._calls[call_id] = future
        try:
            self._enqueue(encode(message, call_id))
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
        """Close the connection immediately and fail all pending calls."""
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
        self._enqueue(encode(self._local_identity))
        heartbeats = asyncio.create_task(self._send_heartbeats())
        silence_monitor = asyncio.create_task(self._monitor_silence())
        try:
            await self._read_messages()
        except LinkProtocolError as error:
            self._metrics.protocol_errors.inc()
            self.close(str(error))
        except (OSError, EOFError) as error:
            self.close(f"connection lost: {error}")
        finally:
            heartbeats.cancel()
            silence_monitor.cancel()
            # Applies if nothing else closed the link, such as on cancellation.
            self.close("ended")
            for task in self._tasks:
                task.cancel()
            self._notify_down()

    def _notify_down(self) -> None:
        if self._peer_identity is None:
            return
        self._metrics.open_links.dec()
        self._run_hooks(self._dispatcher.down_hooks)

    def _run_hooks(self, hooks: list[LinkHook]) -> None:
        """Run all hooks, even if some of them fail."""
        for hook in hooks:
            try:
                hook(self)
            except Exception:
                self._metrics.handler_errors.inc()
                logging.exception("event=link_hook_failed")

    async def _read_messages(self) -> None:
        decoder = FrameDecoder()
        while True:
            data = await self._reader.read(READ_MAX_BYTES)
            if not data:
                raise EOFError("closed by the peer")
            self.last_received_s = time.monotonic()
            self.bytes_received += len(data)
            self._metrics.received_bytes.inc(len(data))
            for message, call_id in decoder.feed(data):
                if self._closed:
                    return
                if call_id == 0 and self._peer_identity is not None:
                    self._handle_one_way(message)
                else:
                    self._handle_identity_or_call(message, call_id)

    def _handle_identity_or_call(self, message: Message, call_id: int) -> None:
        if self._peer_identity is None:
            self._handle_identity(message)
        elif call_id < 0:
            self._resolve_call(message, -call_id)
        else:
            self._start_call(message, call_id)

    def _handle_identity(self, message: Message) -> None:
        if not isinstance(message, Identity):
            raise LinkProtocolError("the first message is not an identity")
        if message.protocol_version != PROTOCOL_VERSION:
            raise LinkProtocolError(
                f"protocol version {message.protocol_version}, not {PROTOCOL_VERSION}"
            )
        if self._expected_name not in ("", message.name):
            raise LinkProtocolError(
                f"{message.name} is at the address of {self._expected_name}"
            )
        self._peer_identity = message
        self._up.set()
        self._metrics.open_links.inc()
        self._run_hooks(self._dispatcher.up_hooks)

    def _handle_one_way(self, message: Message) -> None:
        handler = self._dispatcher.handlers.get(type(message))
        if handler is None:
            self._handle_unregistered(message)
            return
        try:
            handler(self, message)
        except LinkProtocolError:
            raise
        except UnusableValueError as error:
            self._metrics.unusable_messages.inc()
            logging.warning(
                "event=message_unusable peer=%s type=%s reason=%s",
                self.peer.name,
                type(message).__name__,
                error,
            )
        except Exception:
            # A failed handler must not close the link, because the link also carries
            # unrelated messages.
            self._metrics.handler_errors.inc()
            logging.exception("event=link_handler_failed type=%s", type(message))

    def _handle_unregistered(self, message: Message) -> None:
        if not isinstance(message, Heartbeat):
            raise LinkProtocolError(f"{type(message).__name__} has no handler")
        self.arrivals.record(self.last_received_s)

    def _resolve_call(self, message: Message, call_id: int) -> None:
        future = self._calls.get(call_id)
        if future is not None and not future.done():
            future.set_result(message)

    def _start_call(self, message: Message, call_id: int) -> None:
        task = asyncio.create_task(self._run_call(message, call_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_call(self, message: Message, call_id: int) -> None:
        handler = self._dispatcher.call_handlers.get(type(message))
        reply: Any
        if handler is None:
            reply = CallRefused(
                f"{type(message).__name__} is not a call that this process handles"
            )
        else:
            try:
                reply = await handler(self, message)
            except Exception as error:
                self._metrics.handler_errors.inc()
                logging.exception("event=link_call_failed type=%s", type(message))
                reply = CallRefused(f"{type(error).__name__}: {error}")
        if not self._closed:
            self._enqueue(encode(reply, -call_id))

    async def _send_heartbeats(self) -> None:
        interval_s = self._settings.heartbeat_interval_s
        for sequence in itertools.count(1):
            sleep_started_s = time.monotonic()
            await sleep_until_tick(interval_s)
            if time.monotonic() - sleep_started_s > LOCAL_PAUSE_INTERVALS * interval_s:
                self._reset_silence()
            if self._closed:
                return
            if self._peer_identity is not None:
                self._run_hooks(self._dispatcher.tick_hooks)
                if self._closed:
                    return
            self._enqueue(encode(Heartbeat(sequence)))

    async def _monitor_silence(self) -> None:
        """Close the link as soon as the peer has been silent for too long."""
        pause_threshold_s = LOCAL_PAUSE_INTERVALS * self._settings.heartbeat_interval_s
        while not self._closed:
            delay_s = self.arrivals.failure_timeout_s - self.silence_s
            if delay_s <= 0:
                self._metrics.silent_links.inc()
                self.close(f"silent for {self.silence_s:.2f} s")
                return
            due_at_s = time.monotonic() + delay_s
            await asyncio.sleep(delay_s)
            if time.monotonic() - due_at_s > pause_threshold_s:
                self._reset_silence()
            # Let the reader process data that has arrived before checking the silence.
            for _ in range(POLL_ITERATIONS_MAX + 1):
                await asyncio.sleep(0)

    def _reset_silence(self) -> None:
        """Restart the silence timer, since this process itself was paused."""
        self._metrics.local_pauses.inc()
        self.last_received_s = time.monotonic()
        self.arrivals.discard_last()

    def _enqueue(self, data: bytes) -> None:
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
            self.close("the peer reads too slowly")
