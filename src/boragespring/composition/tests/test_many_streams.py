"""Two thousand concurrent streams through one entry and three agents."""

import asyncio

import pytest

from boragespring.child_processes import ProcessSet
from boragespring.composition.tests.test_separate_processes import (
    ENGINES,
    LocalProcesses,
    open_session,
    stream,
)

STREAMS = 2000
TOKENS = 20
#: Slows the engines down so that every stream stays open until the last has started.
SLOW_FACTOR = 20
#: Edits of the settings that raise the limits of the plan and the agents enough to
#: admit all streams.
CAPACITY_REPLACEMENTS = (
    (r'"concurrency_max": \d+', '"concurrency_max": 4000'),
    (r'"request_burst": \d+', '"request_burst": 10000'),
    (r'"memory_tokens": \d+', '"memory_tokens": 2000000, "concurrency_max": 2000'),
)
#: Options that give each engine enough memory for all streams.
ENGINE_OPTIONS = ("--token-interval-s", "0.1", "--memory-tokens", "2000000")


@pytest.mark.timeout(180)
async def test_two_thousand_streams_are_complete(tmp_path):
    async with ProcessSet(tmp_path) as process_set:
        local_processes = LocalProcesses(
            process_set, tmp_path, CAPACITY_REPLACEMENTS, ENGINE_OPTIONS
        )
        await local_processes.start()
        url = local_processes.url("entry-1")
        async with open_session(local_processes) as session:
            await set_slow_factor(session, local_processes, SLOW_FACTOR)
            async with asyncio.TaskGroup() as group:
                streams = [
                    group.create_task(stream(session, url, TOKENS))
                    for _ in range(STREAMS)
                ]
                while await running_requests(session, url) < STREAMS:
                    await asyncio.sleep(0.1)
                await set_slow_factor(session, local_processes, 1)
            answers = [task.result() for task in streams]
            assert await running_requests(session, url) == 0
    assert answers == [list(range(TOKENS))] * STREAMS


async def set_slow_factor(session, local_processes, factor):
    """Multiply the duration of each step of the engines by a factor."""
    for name in ENGINES:
        fault = {"slow_factor": factor}
        async with session.post(
            f"{local_processes.url(name)}/faults", json=fault
        ) as response:
            assert response.status == 200


async def running_requests(session, url):
    """Return the number of requests that are in progress on an entry."""
    async with session.get(f"{url}/status") as response:
        return (await response.json())["running"]
