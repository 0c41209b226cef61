"""Command that shows the state of a deployment on one page."""

import asyncio
import json
from collections.abc import Mapping
from itertools import chain
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer
from attrs import asdict, frozen
from rich.console import Console
from rich.table import Table

from boragespring.settings import PlatformSettings, load_document, structure
from boragespring.store import HttpInstanceList
from boragespring.store.instances import Instance, InstanceListError

__all__ = ["ProcessState", "add_commands", "doubts_of"]

TIMEOUT_S = 3.0
EXIT_IN_DOUBT = 1
PAGE_WIDTH = 120


@frozen
class ProcessState:
    """One process as it was found.

    Parameters
    ----------
    url : str
        Base address that was asked.
    listed : str
        State in the instance list; empty where an address was given.
    page : dict
        What the process tells of itself.
    error : str
        Why it could not be asked; empty if it answered.
    """

    url: str
    listed: str
    page: dict[str, Any]
    error: str = ""


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root."""
    app.command()(status)


def status(
    urls: Annotated[
        list[str] | None,
        typer.Argument(help="Addresses of processes, as http://10.20.1.10:8080."),
    ] = None,
    settings: Annotated[
        Path | None,
        typer.Option(help="Settings of any process; its instance list is read."),
    ] = None,
    instances: Annotated[
        str | None, typer.Option(help="Address of the platform's instance list.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show all processes of a deployment and what is wrong with them.

    Name addresses, or the instance list by --settings or --instances. Exits
    with 1 when a process does not answer, is not what it should be, or works by
    an older version of the lists.
    """
    source = _instances_url(settings) if settings else instances
    if not urls and not source:
        raise typer.BadParameter("name addresses, --settings or --instances")
    states = asyncio.run(_read_all(tuple(urls or ()), source))
    doubts = doubts_of(states)
    if as_json:
        page = {"processes": [asdict(state) for state in states], "doubts": doubts}
        typer.echo(json.dumps(page, indent=2))
    else:
        _print(states, doubts)
    if doubts:
        raise typer.Exit(EXIT_IN_DOUBT)


def doubts_of(states: list[ProcessState]) -> list[str]:
    """Return what an operator should look at, one line each."""
    versions = [state.page.get("lists_version", 0) for state in states]
    newest = max(versions, default=0)
    lines = chain.from_iterable(_doubts(state, newest) for state in states)
    return list(lines)


def _doubts(state: ProcessState, newest: int) -> list[str]:
    name = state.page.get("name", state.url)
    if state.error:
        return [f"{name} does not answer: {state.error}"]
    doubts = []
    version = state.page.get("lists_version", newest)
    if version != newest:
        doubts.append(f"{name} works by lists {version}, the newest are {newest}")
    if state.page.get("leaving") and state.listed == "live":
        doubts.append(f"{name} is leaving, the instance list shows it as live")
    return doubts


def _instances_url(path: Path) -> str:
    data = load_document(path)
    platform = data.get("platform") if isinstance(data, Mapping) else None
    return structure(platform, PlatformSettings, str(path)).instances_url


async def _read_all(urls: tuple[str, ...], source: str | None) -> list[ProcessState]:
    listed = await _listed(source) if source else ()
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        given = (_read(session, url.rstrip("/"), "") for url in urls)
        found = (
            _read(session, f"http://{item.host}:{item.http_port}", item.state.value)
            for item in listed
        )
        return list(await asyncio.gather(*given, *found))


async def _listed(source: str) -> tuple[Instance, ...]:
    instances = HttpInstanceList(source, TIMEOUT_S)
    try:
        return await instances.fetch()
    except InstanceListError as error:
        raise InstanceListError(f"cannot read the instance list: {error}") from error
    finally:
        await instances.close()


async def _read(session: aiohttp.ClientSession, url: str, listed: str) -> ProcessState:
    try:
        async with session.get(f"{url}/status") as response:
            response.raise_for_status()
            return ProcessState(url, listed, await response.json())
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return ProcessState(url, listed, {}, str(error) or type(error).__name__)


def _print(states: list[ProcessState], doubts: list[str]) -> None:
    table = Table(box=None, pad_edge=False)
    for heading in ("PROCESS", "ROLE", "SERVICE", "ZONE", "STATE", "LISTS"):
        table.add_column(heading, no_wrap=True)
    for heading in ("RUNNING", "WAITING"):
        table.add_column(heading, justify="right")
    table.add_column("ADDRESS", no_wrap=True)
    for state in states:
        table.add_row(*_row(state))
    console = Console(width=PAGE_WIDTH)
    console.print(table)
    for doubt in doubts:
        console.print(f"! {doubt}", highlight=False)
    if not doubts:
        console.print(f"all {len(states)} processes are well", highlight=False)


def _row(state: ProcessState) -> list[str]:
    page = state.page
    condition = "leaving" if page.get("leaving") else "up"
    fields = ("role", "service", "availability_zone")
    return [
        str(page.get("name", "-")),
        *(str(page.get(field, "")) or "-" for field in fields),
        "no answer" if state.error else condition,
        *(str(page.get(field, "-")) for field in ("lists_version", "running")),
        str(page.get("waiting", "-")),
        state.url,
    ]
