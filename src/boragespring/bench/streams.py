"""Send streaming requests and record when their tokens arrive."""

import asyncio
import random
import time
from http import HTTPStatus

import aiohttp
from attrs import Factory, define

__all__ = ["StreamTimes", "percentile", "run_stream", "run_streams"]

EVENT_END = b"\n\n"


@define
class StreamTimes:
    """Arrival times of one stream.

    Parameters
    ----------
    first_token_s : float
        Time in seconds from the request to the first chunk.
    intervals_s : list of float
        Times in seconds between consecutive chunks.
    events : int
        Number of events received.
    """

    first_token_s: float = 0.0
    intervals_s: list[float] = Factory(list)
    events: int = 0


async def run_stream(
    session: aiohttp.ClientSession, url: str, output_tokens: int
) -> StreamTimes:
    """Read one stream to its end, retrying a request that exceeds a limit.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the requests.
    url : str
        Base URL of the server.
    output_tokens : int
        Number of tokens that the engine stand-in produces.

    Raises
    ------
    RuntimeError
        If the request fails or the stream ends early.
    """
    body = {
        "model": "rutas-1",
        "prompt": "Plan the morning routes.",
        "stream": True,
        "max_tokens": output_tokens,
        "standin_output_tokens": output_tokens,
    }
    times = StreamTimes()
    last_s = time.perf_counter()
    async with session.post(f"{url}/v1/completions", json=body) as response:
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            error = (await response.json())["error"]
            await asyncio.sleep(error["retry_after_s"])
            return await run_stream(session, url, output_tokens)
        if response.status != HTTPStatus.OK:
            raise RuntimeError(await response.text())
        async for chunk in response.content.iter_any():
            now_s = time.perf_counter()
            if times.events:
                times.intervals_s.append(now_s - last_s)
            else:
                times.first_token_s = now_s - last_s
            last_s = now_s
            times.events += chunk.count(EVENT_END)
    if times.events < output_tokens:
        raise RuntimeError(f"{times.events} events for {output_tokens} tokens")
    return times


async def run_streams(
    session: aiohttp.ClientSession,
    url: str,
    count: int,
    output_tokens: int,
    spread_s: float = 0.0,
) -> list[StreamTimes]:
    """Read several streams that start at random times.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the requests.
    url : str
        Base URL of the server.
    count : int
        Number of streams; also the seed of the start times.
    output_tokens : int
        Number of tokens of each stream.
    spread_s : float
        Length, in seconds, of the interval in which the streams start.
    """
    rng = random.Random(count)

    async def start_later(delay_s: float) -> StreamTimes:
        await asyncio.sleep(delay_s)
        return await run_stream(session, url, output_tokens)

    delays_s = [rng.uniform(0, spread_s) for _ in range(count)]
    return await asyncio.gather(*map(start_later, delays_s))


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of the values.

    Parameters
    ----------
    values : list of float
        Values in any order; at least one.
    fraction : float
        Fraction of the values below the result, from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
