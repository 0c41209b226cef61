"""Polls of the sockets while callbacks are ready, and common ticks."""

import asyncio
import socket

import pytest

from boragespring.event_loop import (
    POLL_ITERATIONS_MAX,
    new_event_loop,
    sleep_until_tick,
)


def test_sockets_are_polled_while_callbacks_keep_the_loop_busy():
    async def main():
        one, other = socket.socketpair()
        arrived = []
        asyncio.get_running_loop().add_reader(one, arrived.append, True)
        other.send(b"x")
        iterations = 0
        while not arrived:
            await asyncio.sleep(0)
            iterations += 1
            assert iterations <= POLL_ITERATIONS_MAX + 1
        asyncio.get_running_loop().remove_reader(one)
        one.close()
        other.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main())


@pytest.mark.parametrize("interval_s", [0.02, 0.05])
def test_tasks_with_one_interval_wake_up_together(interval_s):
    async def main():
        loop = asyncio.get_running_loop()
        times_s = []

        async def act(delay_s):
            await asyncio.sleep(delay_s)
            for _ in range(3):
                await sleep_until_tick(interval_s)
                times_s.append(loop.time())

        await asyncio.gather(act(0.0), act(0.3 * interval_s))
        # Each tick of one task is also a tick of the other, but for the first or last.
        assert len({round(time_s / interval_s) for time_s in times_s}) <= 4

    asyncio.run(main())
