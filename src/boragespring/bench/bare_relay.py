"""Minimal relay of streams, the baseline that the entry is compared with."""

import asyncio
import sys

import aiohttp
from aiohttp import web

__all__ = ["serve"]

STREAM_HEADERS = {"Content-Type": "text/event-stream"}


async def serve(port: int, target: str) -> None:
    """Forward requests to a target and stream its responses until cancelled.

    Parameters
    ----------
    port : int
        TCP port to listen on.
    target : str
        Base URL of the target.
    """
    timeout = aiohttp.ClientTimeout(total=None)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:

        async def relay(request: web.Request) -> web.StreamResponse:
            body = await request.read()
            headers = {"Content-Type": "application/json"}
            url = f"{target}{request.path}"
            async with session.post(url, data=body, headers=headers) as source:
                response = web.StreamResponse(headers=STREAM_HEADERS)
                await response.prepare(request)
                async for chunk in source.content.iter_any():
                    await response.write(chunk)
            return response

        app = web.Application()
        app.router.add_post("/v1/completions", relay)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
