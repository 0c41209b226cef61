"""Tests of links over real sockets."""

import asyncio
import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from boragespring.external_values import check_integer
from boragespring.faults.relay import Relay
from boragespring.links import (
    CallFailedError,
    Dispatcher,
    Identity,
    LinkClosedError,
    LinkContext,
    LinkDialer,
    LinkProtocolError,
    LinkServer,
    message,
)
from boragespring.links.codec import FrameDecoder, encode
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.metrics import LinkMetrics
from boragespring.settings import AddressSettings, LinkSettings

SETTINGS = LinkSettings(
    heartbeat_interval_s=0.05, heartbeat_deadline_s=0.3, reconnect_delay_s=0.01
)


@message(9001)
class Ping:
    number: int


@message(9002)
class Pong:
    number: int


@message(9003)
class Rows:
    rows: list


def identity(name):
    return Identity(PROTOCOL_VERSION, name, "entry", 1, "quito-a")


@contextlib.asynccontextmanager
async def linked_pair(server_dispatcher, relay=False):
    metrics = LinkMetrics(CollectorRegistry())
    server = LinkServer(
        AddressSettings("127.0.0.1"),
        LinkContext(identity("b"), server_dispatcher, SETTINGS, metrics),
    )
    await server.start()
    async with contextlib.AsyncExitStack() as stack:
        port = server.port
        tcp_relay = None
        if relay:
            tcp_relay = Relay("127.0.0.1", port)
            await tcp_relay.start()
            stack.push_async_callback(tcp_relay.stop)
            port = tcp_relay.port
        client_metrics = LinkMetrics(CollectorRegistry())
        dialer = LinkDialer(
            "127.0.0.1",
            port,
            LinkContext(identity("a"), Dispatcher(), SETTINGS, client_metrics),
        )
        task = asyncio.create_task(dialer.run())
        try:
            yield dialer, server, tcp_relay, metrics
        finally:
            task.cancel()
            await server.stop()


async def reply_pong(link, ping):
    return Pong(ping.number + 1)


# Guards against an address that ends the task which keeps up a link.
@pytest.mark.parametrize(
    ("host", "port"), [("127.0.0.1", 70_000), ("a..b", 9), ("a\ud800", 9)]
)
async def test_address_that_cannot_be_used_is_dialed_again(host, port):
    metrics = LinkMetrics(CollectorRegistry())
    context = LinkContext(identity("a"), Dispatcher(), SETTINGS, metrics)
    task = asyncio.create_task(LinkDialer(host, port, context).run())
    while metrics.counts()["failed_dials"] < 2 and not task.done():
        await asyncio.sleep(0.01)
    assert not task.done()
    task.cancel()


async def test_concurrent_calls_get_their_own_replies():
    dispatcher = Dispatcher()
    dispatcher.on_call(Ping, reply_pong)
    async with linked_pair(dispatcher) as (dialer, *_):
        link = await dialer.wait_for_link(5)
        assert link.peer.name == "b"
        calls = [link.call(Ping(n), Pong, 5) for n in range(100)]
        replies = await asyncio.gather(*calls)
        assert [reply.number for reply in replies] == list(range(1, 101))


async def test_failing_call_is_refused_and_the_link_stays_open():
    async def fail(link, ping):
        raise RuntimeError("broken")

    dispatcher = Dispatcher()
    dispatcher.on_call(Ping, fail)
    async with linked_pair(dispatcher) as (dialer, *_):
        link = await dialer.wait_for_link(5)
        with pytest.raises(CallFailedError, match="broken"):
            await link.call(Ping(1), Pong, 5)
        assert link.is_up


async def test_handler_error_from_another_link_does_not_close_this_one():
    received = []

    def receive(link, ping):
        received.append(ping.number)
        if ping.number == 1:
            raise LinkClosedError("another link is closed")

    dispatcher = Dispatcher()
    dispatcher.on(Ping, receive)
    async with linked_pair(dispatcher) as (dialer, *_):
        link = await dialer.wait_for_link(5)
        link.send(Ping(1))
        link.send(Ping(2))
        while received != [1, 2] and link.is_up:
            await asyncio.sleep(0.01)
        assert received == [1, 2] and link.is_up


async def test_message_with_an_unusable_value_is_counted_and_left_out():
    received = []

    def receive(link, ping):
        received.append(check_integer(ping.number))

    dispatcher = Dispatcher()
    dispatcher.on(Ping, receive)
    async with linked_pair(dispatcher) as (dialer, *_):
        link = await dialer.wait_for_link(5)
        link.send(Ping(-1))
        link.send(Ping(2))
        while not received and link.is_up:
            await asyncio.sleep(0.01)
        assert received == [2] and link.is_up


# Guards against a caller's odd byte for which no news of a crash reaches the others.
def test_text_that_cannot_be_encoded_does_not_fail_a_message():
    [(decoded, _)] = FrameDecoder().feed(encode(Rows(["a\udcff", 7])))
    assert decoded == Rows(["a?", 7])


async def test_failing_hook_does_not_prevent_other_hooks():
    ran = []

    def fail(link):
        raise LinkClosedError("another link is closed")

    dispatcher = Dispatcher()
    for number, register in enumerate(
        (dispatcher.on_up, dispatcher.on_tick, dispatcher.on_down)
    ):
        register(fail)
        register(lambda link, number=number: ran.append(number))
    dispatcher.on_call(Ping, reply_pong)
    async with linked_pair(dispatcher) as (dialer, *_):
        link = await dialer.wait_for_link(5)
        while 1 not in ran:
            await asyncio.sleep(0.01)
        assert (await link.call(Ping(1), Pong, 5)).number == 2
    while 2 not in ran:
        await asyncio.sleep(0.01)
    assert ran[0] == 0


async def test_silent_connection_is_replaced():
    dispatcher = Dispatcher()
    dispatcher.on_call(Ping, reply_pong)
    async with linked_pair(dispatcher, relay=True) as (dialer, _, tcp_relay, _m):
        first = await dialer.wait_for_link(5)
        tcp_relay.silence()
        while first.is_up:
            await asyncio.sleep(0.02)
        second = await dialer.wait_for_link(5)
        assert second is not first
        assert (await second.call(Ping(1), Pong, 5)).number == 2


@pytest.mark.parametrize("garbage", [b"GET / HTTP/1.1\r\n\r\n", b"\xc1" * 50, b"\x93"])
async def test_garbage_closes_the_connection_and_is_counted(garbage):
    async with linked_pair(Dispatcher()) as (_, server, _, metrics):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(garbage + b"\x00" * 9)
        while await reader.read(4096):
            pass
        writer.close()
        assert metrics.protocol_errors._value.get() == 1


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_a_protocol_error(data):
    with contextlib.suppress(LinkProtocolError):
        list(FrameDecoder().feed(data))


@given(st.lists(st.integers(0, 2**40), max_size=20), st.integers(1, 7))
def test_frames_decode_across_any_split(numbers, size):
    stream = b"".join(encode(Ping(number), number) for number in numbers)
    decoder = FrameDecoder()
    chunks = [stream[start : start + size] for start in range(0, len(stream), size)]
    decoded = [item for chunk in chunks for item in decoder.feed(chunk)]
    assert decoded == [(Ping(number), number) for number in numbers]
