"""Command that demonstrates a complete deployment in one process."""

import asyncio
import json
import time

import aiohttp
import typer

from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
    local_document,
)
from boragespring.platform.emulator.demo import show_platform

__all__ = ["add_commands"]

PROMPT = "Draft the route plan for tomorrow morning."
OUTPUT_TOKENS = 24
DATA_PREFIX = b"data: "
#: Prefix of an event whose data is a JSON object.
JSON_DATA_PREFIX = b"data: {"


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(demo)


def demo() -> None:
    """Start a deployment on loopback ports, run a generation and a service call.

    Prints the time to the first token, the answer, the ledgers of the engine and the
    service, and the URL of the metrics. Then repeats this through a gateway on the
    emulated platform, with a stream that survives the loss of its server.
    """
    asyncio.run(_demo())
    asyncio.run(show_platform(typer.echo))


async def _demo() -> None:
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with (
        LocalDeployment(LocalSettings(lists=local_document())) as deployment,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        url = deployment.entries["entry-0"].url
        await _wait_for_agents(session, url)
        typer.echo(f"entry: {url}  model: {LOCAL_MODEL}  key: {LOCAL_API_KEY}")
        await _show_stream(session, url)
        await _show_call(session, url)
        await _show_ledgers(session, deployment)
        typer.echo(f"metrics: {url}/metrics")


async def _wait_for_agents(session: aiohttp.ClientSession, url: str) -> None:
    while True:
        async with session.get(f"{url}/readyz") as response:
            if response.status == 200:
                return
        await asyncio.sleep(0.05)


async def _show_stream(session: aiohttp.ClientSession, url: str) -> None:
    body = {
        "model": LOCAL_MODEL,
        "prompt": PROMPT,
        "stream": True,
        "max_tokens": 64,
        "standin_output_tokens": OUTPUT_TOKENS,
    }
    started_s = time.monotonic()
    texts: list[str] = []
    async with session.post(f"{url}/v1/completions", json=body) as response:
        response.raise_for_status()
        async for line in response.content:
            token_texts = _token_texts(line)
            if token_texts and not texts:
                elapsed_ms = (time.monotonic() - started_s) * 1000
                typer.echo(f"first token after {elapsed_ms:.0f} ms")
            texts.extend(token_texts)
    typer.echo(f"answer of {len(texts)} tokens: {''.join(texts)}")


def _token_texts(line: bytes) -> list[str]:
    """Return the texts of the tokens in one line of the stream."""
    if not line.startswith(JSON_DATA_PREFIX):
        return []
    choices = json.loads(line.removeprefix(DATA_PREFIX))["choices"]
    return [choice["text"] for choice in choices if choice["text"]]


async def _show_call(session: aiohttp.ClientSession, url: str) -> None:
    path = f"{url}/services/app-transporte/confirmations"
    headers = {"Idempotency-Key": "demo-1"}
    async with session.post(path, json={"stop": 7}, headers=headers) as response:
        typer.echo(f"confirmation: {response.status} {await response.text()}")


async def _show_ledgers(
    session: aiohttp.ClientSession, deployment: LocalDeployment
) -> None:
    for engine in deployment.engines:
        async with session.get(f"{engine.url}/ledger") as response:
            ledger = await response.json()
        tokens = sum(run["produced_tokens"] for run in ledger["runs"])
        typer.echo(f"engine ledger: {len(ledger['runs'])} runs, {tokens} tokens")
    for service in deployment.services:
        async with session.get(f"{service.url}/ledger") as response:
            ledger = await response.json()
        typer.echo(f"service ledger: {len(ledger['calls'])} calls")
