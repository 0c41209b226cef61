"""Find out which processes lack a version of the lists."""

import asyncio

import aiohttp

from boragespring.store import Instance, InstanceList, InstanceListError

__all__ = ["wait_for_rollout"]

_READ_TIMEOUT_S = 2.0
_PAUSE_S = 0.2
_CONCURRENT_READS_MAX = 64


async def wait_for_rollout(
    instances: InstanceList, version: int, timeout_s: float
) -> tuple[str, ...]:
    """Wait until all listed processes have a version in force.

    Returns
    -------
    tuple of str
        Names of the processes that lack it when the time is over, or do not
        tell; empty when it is in force everywhere.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    timeout = aiohttp.ClientTimeout(total=_READ_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=_CONCURRENT_READS_MAX)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        in_force: set[str] = set()
        while True:
            lacking = await _lacking(session, instances, version, in_force)
            if not lacking:
                return ()
            if asyncio.get_running_loop().time() >= deadline_s:
                return lacking
            await asyncio.sleep(_PAUSE_S)


async def _lacking(
    session: aiohttp.ClientSession,
    instances: InstanceList,
    version: int,
    in_force: set[str],
) -> tuple[str, ...]:
    try:
        listed = await instances.fetch()
    except InstanceListError:
        return ("the instance list cannot be read",)
    asked = [instance for instance in listed if instance.name not in in_force]
    versions = await asyncio.gather(*(_version_of(session, each) for each in asked))
    in_force |= {
        instance.name
        for instance, found in zip(asked, versions, strict=True)
        if found >= version
    }
    return tuple(each.name for each in asked if each.name not in in_force)


async def _version_of(session: aiohttp.ClientSession, instance: Instance) -> int:
    url = f"http://{instance.host}:{instance.http_port}/status"
    try:
        async with session.get(url) as response:
            return int((await response.json())["lists_version"])
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
        return -1
