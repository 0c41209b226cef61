"""Wait until a version of the lists is active in all processes."""

import asyncio

import aiohttp

from boragespring.http.bounded_reply import create_connector
from boragespring.http.client_session import create_session
from boragespring.store import Instance, InstanceList, InstanceListError

__all__ = ["wait_for_rollout"]

_REQUEST_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.2
_CONCURRENT_REQUESTS_MAX = 64


async def wait_for_rollout(
    instances: InstanceList, version: int, timeout_s: float
) -> tuple[str, ...]:
    """Wait until a version, or a later one, is active in all listed processes.

    Parameters
    ----------
    instances : InstanceList
        Source of the processes to query.
    version : int
        Number of the version.
    timeout_s : float
        Maximum time to wait, in seconds.

    Returns
    -------
    tuple of str
        Names of the processes that did not report the version before the timeout;
        empty if it is active everywhere. If the instance list cannot be read, the
        only item is a message that says so.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
    connector = create_connector(limit=_CONCURRENT_REQUESTS_MAX)
    async with create_session(connector, timeout=timeout) as session:
        up_to_date: set[str] = set()
        while True:
            outdated = await _find_outdated(session, instances, version, up_to_date)
            if not outdated:
                return ()
            if asyncio.get_running_loop().time() >= deadline_s:
                return outdated
            await asyncio.sleep(_POLL_INTERVAL_S)


async def _find_outdated(
    session: aiohttp.ClientSession,
    instances: InstanceList,
    version: int,
    up_to_date: set[str],
) -> tuple[str, ...]:
    try:
        listed = await instances.fetch()
    except InstanceListError:
        return ("the instance list cannot be read",)
    pending = [instance for instance in listed if instance.name not in up_to_date]
    versions = await asyncio.gather(
        *(_fetch_active_version(session, each) for each in pending)
    )
    up_to_date |= {
        instance.name
        for instance, active_version in zip(pending, versions, strict=True)
        if active_version >= version
    }
    return tuple(each.name for each in pending if each.name not in up_to_date)


async def _fetch_active_version(
    session: aiohttp.ClientSession, instance: Instance
) -> int:
    url = f"http://{instance.host}:{instance.http_port}/status"
    try:
        async with session.get(url) as response:
            return int((await response.json())["lists_version"])
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
        return -1
