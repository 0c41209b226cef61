"""Virtual time."""

import asyncio

import pytest

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.event_loop import sleep_until_tick


# Guards against ticks at an offset that each process draws anew, so that a test in
# virtual time passes in one run and fails in the next.
@pytest.mark.parametrize(("phase_s", "first_tick_s"), [(0.0, 0.25), (0.1, 0.15)])
def test_ticks_are_the_same_in_each_run(phase_s, first_tick_s):
    async def tick():
        await sleep_until_tick(0.25)
        return asyncio.get_running_loop().time()

    assert run_in_virtual_time(tick(), phase_s) == pytest.approx(first_tick_s)
