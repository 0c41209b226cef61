"""Signals to the process of a daemon."""

import asyncio
import os
import signal

import pytest
from attrs import define, field

from boragespring.composition.process import run_daemon
from boragespring.drain_end import DrainEnd

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def restored_signals():
    before = {number: signal.getsignal(number) for number in SIGNALS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@define
class DrainingDaemon:
    """Daemon that drains until it is released."""

    is_started: asyncio.Event = field(factory=asyncio.Event)
    is_draining: asyncio.Event = field(factory=asyncio.Event)
    is_released: asyncio.Event = field(factory=asyncio.Event)

    async def start(self):
        self.is_started.set()

    async def drain(self):
        self.is_draining.set()
        await self.is_released.wait()

    def record_drain_end(self, end):
        pass

    async def stop(self):
        pass


@define
class FailingDaemon(DrainingDaemon):
    """Daemon whose drain fails."""

    calls: list = field(factory=list)

    async def drain(self):
        raise ValueError

    def record_drain_end(self, end):
        self.calls.append(end)

    async def stop(self):
        self.calls.append("stop")


async def send_while_draining(signals, **options):
    """Stop a daemon, send more signals, and return its process once it was released."""
    daemon = DrainingDaemon()
    process = asyncio.create_task(run_daemon(daemon, **options))
    await daemon.is_started.wait()
    os.kill(os.getpid(), signal.SIGTERM)
    await daemon.is_draining.wait()
    for number in signals:
        os.kill(os.getpid(), number)
        await asyncio.sleep(0.05)
    was_interrupted = process.done()
    daemon.is_released.set()
    return was_interrupted, await process


# Guards against streams cut long before the grace period ends, as the platform sends
# SIGTERM once more to a process that is draining.
async def test_repeated_sigterm_does_not_interrupt_the_drain_of_a_gateway():
    signals = (signal.SIGTERM, signal.SIGTERM)
    options = {"interrupt_signals": (signal.SIGINT,)}
    assert await send_while_draining(signals, **options) == (False, 0)


@pytest.mark.parametrize(
    ("signals", "options"),
    [
        ((signal.SIGTERM,), {}),
        ((signal.SIGINT,), {"interrupt_signals": (signal.SIGINT,)}),
    ],
)
async def test_interrupt_ends_a_drain(signals, options):
    assert await send_while_draining(signals, **options) == (True, 1)


# Guards against a process that a signal ends while it writes its last log lines.
async def test_signals_do_not_end_a_process_that_is_about_to_exit():
    assert await send_while_draining(()) == (False, 0)
    assert {signal.getsignal(number) for number in SIGNALS} == {signal.SIG_IGN}


# Guards against open requests without an answer: an error in the drain ended the
# process without the stop, which answers them.
async def test_daemon_is_stopped_although_its_drain_fails():
    daemon = FailingDaemon()
    process = asyncio.create_task(run_daemon(daemon))
    await daemon.is_started.wait()
    os.kill(os.getpid(), signal.SIGTERM)
    assert await process == 1
    assert daemon.calls == [DrainEnd.FAILED, "stop"]
