"""How long a soak run waits for processes that it suspends."""

import asyncio
import time

import pytest

from boragespring.platform.soak.suspension import (
    Suspension,
    await_in_running_time,
    suspended_s,
)

TIMEOUT_S = 0.2
#: Less than any of the suspensions below.
LATE_MAX_S = 0.25


async def wait_s(suspensions, call_s):
    """Return the time waited for a call, and whether it ended in time."""
    began_s = time.monotonic()
    try:
        await await_in_running_time(asyncio.sleep(call_s), suspensions, TIMEOUT_S)
    except TimeoutError:
        return time.monotonic() - began_s, False
    return time.monotonic() - began_s, True


# Guards against a breach that a run reports for what it has done itself.
async def test_process_has_time_to_end_a_call_after_its_suspension():
    began_s = time.monotonic()
    suspension = Suspension(began_s + 0.1, began_s + 0.4)
    assert (await wait_s([suspension], call_s=0.45))[1]


# Guards against a suspension that excuses more than its own time.
@pytest.mark.parametrize(("begin_s", "end_s"), [(-0.5, -0.1), (0.1, 0.4), (-0.5, 0.3)])
async def test_call_without_end_is_given_up(begin_s, end_s):
    began_s = time.monotonic()
    suspension = Suspension(began_s + begin_s, began_s + end_s)
    waited_s, has_ended = await wait_s([suspension], call_s=5.0)
    assert not has_ended
    suspended = max(end_s - max(begin_s, 0.0), 0.0)
    assert waited_s == pytest.approx(TIMEOUT_S + suspended, abs=LATE_MAX_S)


async def test_suspension_that_begins_during_a_call_counts():
    suspensions = []
    loop = asyncio.get_running_loop()
    now_s = time.monotonic()
    later = Suspension(now_s + 0.1, now_s + 0.4)
    loop.call_later(0.1, suspensions.append, later)
    assert (await wait_s(suspensions, call_s=0.45))[1]


async def test_errors_of_a_call_are_raised():
    async def fail():
        raise ConnectionError

    with pytest.raises(ConnectionError):
        await await_in_running_time(fail(), [], TIMEOUT_S)


def test_suspensions_add_up_from_a_time_on():
    suspensions = [Suspension(1.0, 2.0), Suspension(4.0, 6.5)]
    assert suspended_s(suspensions, 0.0) == 3.5
    assert suspended_s(suspensions, 5.0) == 1.5
    assert suspended_s(suspensions, 7.0) == 0.0
