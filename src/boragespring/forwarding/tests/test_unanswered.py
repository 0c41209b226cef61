"""Limits of requests that have no answer yet."""

import asyncio

from boragespring.forwarding import UnansweredRequests


async def limited_request(unanswered, deadline_s, cleanup_s=0.0):
    try:
        async with unanswered.limit(deadline_s):
            try:
                await asyncio.sleep(10)
            finally:
                await asyncio.sleep(cleanup_s)
    except TimeoutError:
        return unanswered.refusal(was_not_run=True).reason.value


# Guards against requests without an answer, and a stop that fails, as the deadline of
# another request passed just before and its limit could not be brought forward.
async def test_end_of_a_stop_ends_requests_beside_one_whose_deadline_has_passed():
    unanswered, now_s = UnansweredRequests(), asyncio.get_running_loop().time()
    late = asyncio.create_task(limited_request(unanswered, now_s + 0.02, 0.1))
    others = [
        asyncio.create_task(limited_request(unanswered, now_s + 10)) for _ in range(20)
    ]
    await asyncio.sleep(0.05)
    unanswered.end()
    assert await asyncio.wait_for(asyncio.gather(*others), 1.0) == ["leaving"] * 20
    await late
