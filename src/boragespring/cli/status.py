"""Command that shows the state of a deployment."""

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

from boragespring.http.client_session import create_session
from boragespring.settings import PlatformSettings, load_document, structure
from boragespring.store import HttpInstanceList
from boragespring.store.instances import Instance, InstanceListError

__all__ = ["ProcessState", "add_commands", "find_problems"]

TIMEOUT_S = 3.0
EXIT_PROBLEMS_FOUND = 1
PAGE_WIDTH = 120


@frozen
class ProcessState:
    """State of one process.

    Parameters
    ----------
    url : str
        Base URL of the process.
    listed : str
        State in the instance list; empty if the URL was given on the command line.
    page : dict
        Status reported by the process.
    error : str
        Reason why the status could not be fetched; empty on success.
    """

    url: str
    listed: str
    page: dict[str, Any]
    error: str = ""


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(status)


def status(
    urls: Annotated[
        list[str] | None,
        typer.Argument(help="Base URLs of processes, such as http://10.20.1.10:8080."),
    ] = None,
    settings: Annotated[
        Path | None,
        typer.Option(help="Settings file of any process; its instance list is used."),
    ] = None,
    instances: Annotated[
        str | None, typer.Option(help="Base URL of the platform's instance list.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show all processes of a deployment and their problems.

    Specify URLs of processes, or an instance list by --settings or --instances.
    Exits with 1 if a process does not answer, is leaving although it is listed as
    live, or uses an older version of the lists than the others.
    """
    instances_url = _read_instances_url(settings) if settings else instances
    if not urls and not instances_url:
        raise typer.BadParameter("specify URLs, --settings or --instances")
    states = asyncio.run(_fetch_states(tuple(urls or ()), instances_url))
    problems = find_problems(states)
    if as_json:
        page = {"processes": [asdict(state) for state in states], "doubts": problems}
        typer.echo(json.dumps(page, indent=2))
    else:
        _print_table(states, problems)
    if problems:
        raise typer.Exit(EXIT_PROBLEMS_FOUND)


def find_problems(states: list[ProcessState]) -> list[str]:
    """Return a line for each problem that an operator should look into."""
    versions = [state.page.get("lists_version", 0) for state in states]
    newest_version = max(versions, default=0)
    lines = chain.from_iterable(
        _process_problems(state, newest_version) for state in states
    )
    return list(lines)


def _process_problems(state: ProcessState, newest_version: int) -> list[str]:
    name = state.page.get("name", state.url)
    if state.error:
        return [f"{name} does not answer: {state.error}"]
    problems = []
    version = state.page.get("lists_version", newest_version)
    if version != newest_version:
        problems.append(
            f"{name} uses lists version {version}, the newest is {newest_version}"
        )
    if state.page.get("leaving") and state.listed == "live":
        problems.append(f"{name} is leaving, but is live in the instance list")
    return problems


def _read_instances_url(path: Path) -> str:
    data = load_document(path)
    platform = data.get("platform") if isinstance(data, Mapping) else None
    return structure(platform, PlatformSettings, str(path)).instances_url


async def _fetch_states(
    urls: tuple[str, ...], instances_url: str | None
) -> list[ProcessState]:
    listed = await _fetch_instances(instances_url) if instances_url else ()
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with create_session(timeout=timeout) as session:
        given_states = (_fetch_state(session, url.rstrip("/"), "") for url in urls)
        listed_states = (
            _fetch_state(
                session,
                f"http://{instance.host}:{instance.http_port}",
                instance.state.value,
            )
            for instance in listed
        )
        return list(await asyncio.gather(*given_states, *listed_states))


async def _fetch_instances(instances_url: str) -> tuple[Instance, ...]:
    instances = HttpInstanceList(instances_url, TIMEOUT_S)
    try:
        return await instances.fetch()
    except InstanceListError as error:
        raise InstanceListError(f"cannot read the instance list: {error}") from error
    finally:
        await instances.close()


async def _fetch_state(
    session: aiohttp.ClientSession, url: str, listed: str
) -> ProcessState:
    try:
        async with session.get(f"{url}/status") as response:
            response.raise_for_status()
            return ProcessState(url, listed, await response.json())
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return ProcessState(url, listed, {}, str(error) or type(error).__name__)


def _print_table(states: list[ProcessState], problems: list[str]) -> None:
    table = Table(box=None, pad_edge=False)
    for heading in ("PROCESS", "ROLE", "SERVICE", "ZONE", "STATE", "LISTS"):
        table.add_column(heading, no_wrap=True)
    for heading in ("RUNNING", "WAITING"):
        table.add_column(heading, justify="right")
    table.add_column("ADDRESS", no_wrap=True)
    for state in states:
        table.add_row(*_table_row(state))
    console = Console(width=PAGE_WIDTH)
    console.print(table)
    for problem in problems:
        console.print(f"! {problem}", highlight=False)
    if not problems:
        console.print(f"all {len(states)} processes are healthy", highlight=False)


def _table_row(state: ProcessState) -> list[str]:
    page = state.page
    process_state = "leaving" if page.get("leaving") else "up"
    fields = ("role", "service", "availability_zone")
    return [
        str(page.get("name", "-")),
        *(str(page.get(field, "")) or "-" for field in fields),
        "no answer" if state.error else process_state,
        *(str(page.get(field, "-")) for field in ("lists_version", "running")),
        str(page.get("waiting", "-")),
        state.url,
    ]
