"""Commands by which operators read and change the two lists."""

import asyncio
import getpass
import json
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import frozen

from boragespring.cli.lists_options import (
    AuthorOption,
    DryRunOption,
    InstancesOption,
    JsonOption,
    ReasonOption,
    StoreOption,
    WaitOption,
    YesOption,
)
from boragespring.lists import ListKind, capacity_warnings
from boragespring.lists.changes import ABSENT, EntryChange
from boragespring.lists.editor import Edit, ListsEditor
from boragespring.lists.errors import EditConflictError, ListsSyntaxError
from boragespring.lists.planning import (
    entry_edit,
    entry_removal,
    rollback_edit,
    text_edit,
)
from boragespring.lists.render import (
    change_to_json,
    describe_change,
    describe_entries,
    document_text,
    entry_change_to_json,
)
from boragespring.lists.rollout import wait_for_rollout
from boragespring.lists.state import ListsState, document_to_json
from boragespring.store import EtcdSettings, EtcdStore, HttpInstanceList

__all__ = ["EXIT_LOST_RACE", "EXIT_NOT_IN_FORCE", "app"]

EXIT_DIFFERENT = 1
#: Someone else changed an entry that the edit touches.
EXIT_LOST_RACE = 3
#: Accepted, but some processes lack the version when the wait is over.
EXIT_NOT_IN_FORCE = 4

app = typer.Typer(
    help="Read and change the plan list and the allowance list.",
    no_args_is_help=True,
)

Plan = Callable[[ListsState], tuple[EntryChange, ...]]


class EntryKind(StrEnum):
    """Kind of entry, as operators name it."""

    WORKSPACE = "workspace"
    PLAN = "plan"
    SERVICE = "service"


_KINDS = {
    EntryKind.WORKSPACE: ListKind.WORKSPACE,
    EntryKind.PLAN: ListKind.PLAN,
    EntryKind.SERVICE: ListKind.SERVICE,
}


@frozen
class _Request:
    """How an edit is to be made."""

    store_urls: list[str]
    instances_url: str
    author: str
    reason: str
    dry_run: bool
    yes: bool
    as_json: bool
    wait_s: float


@app.command()
def get(store: StoreOption, as_json: JsonOption = False) -> None:
    """Print the lists in the store."""
    state = asyncio.run(_read(store))
    if as_json:
        body = {"version": state.number, **document_to_json(state.texts)}
        typer.echo(json.dumps(body, indent=2, ensure_ascii=False))
    else:
        typer.echo(document_text(state), nl=False)


@app.command()
def diff(
    file: Annotated[Path, typer.Argument(help="Edited lists, JSON with comments.")],
    store: StoreOption,
    replace: Annotated[
        bool, typer.Option("--replace", help="Compare with the present version.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Print what a file would change; exit with 1 if it would change anything."""
    text = _read_text(file)
    state = asyncio.run(_read(store))
    entries = text_edit(state, text, str(file), replace)
    _show_entries(entries, as_json)
    if entries:
        raise typer.Exit(EXIT_DIFFERENT)


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="Edited lists, JSON with comments.")],
    store: StoreOption,
    reason: ReasonOption,
    author: AuthorOption = "",
    replace: Annotated[
        bool, typer.Option("--replace", help="Overwrite the present version.")
    ] = False,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    as_json: JsonOption = False,
    wait_s: WaitOption = 0.0,
    instances: InstancesOption = "",
) -> None:
    """Make the changes of an edited file."""
    text = _read_text(file)
    request = _Request(store, instances, author, reason, dry_run, yes, as_json, wait_s)
    _run_edit(request, lambda state: text_edit(state, text, str(file), replace))


@app.command()
def edit(
    kind: Annotated[EntryKind, typer.Argument(help="Kind of entry.")],
    name: Annotated[str, typer.Argument(help="Name of the entry.")],
    store: StoreOption,
    reason: ReasonOption,
    fields: Annotated[
        list[str] | None, typer.Argument(help="FIELD=VALUE, with a JSON value.")
    ] = None,
    remove: Annotated[bool, typer.Option("--remove", help="Remove the entry.")] = False,
    author: AuthorOption = "",
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    as_json: JsonOption = False,
    wait_s: WaitOption = 0.0,
    instances: InstancesOption = "",
) -> None:
    """Set fields of one entry, add it, or remove it."""
    values = dict(_field(text) for text in fields or ())
    if remove == bool(values):
        raise typer.BadParameter("give either FIELD=VALUE or --remove")
    request = _Request(store, instances, author, reason, dry_run, yes, as_json, wait_s)
    if remove:
        _run_edit(request, lambda state: entry_removal(state, _KINDS[kind], name))
    else:
        _run_edit(request, lambda state: entry_edit(state, _KINDS[kind], name, values))


@app.command()
def history(store: StoreOption, as_json: JsonOption = False) -> None:
    """Print who changed what, when and why; the oldest changes are dropped."""
    state = asyncio.run(_read(store))
    if as_json:
        changes = [change_to_json(change) for change in state.history]
        typer.echo(json.dumps(changes, indent=2, ensure_ascii=False))
        return
    for change in state.history:
        typer.echo(describe_change(change))


@app.command()
def rollback(
    change: Annotated[str, typer.Argument(help="Number or id of the change.")],
    store: StoreOption,
    reason: ReasonOption,
    author: AuthorOption = "",
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    as_json: JsonOption = False,
    wait_s: WaitOption = 0.0,
    instances: InstancesOption = "",
) -> None:
    """Undo one change by a new one."""
    request = _Request(store, instances, author, reason, dry_run, yes, as_json, wait_s)
    _run_edit(request, lambda state: rollback_edit(state, change))


def _run_edit(request: _Request, plan: Plan) -> None:
    state = asyncio.run(_read(request.store_urls))
    entries = plan(state)
    if not request.as_json or request.dry_run:
        _show_entries(entries, request.as_json)
    if not entries or request.dry_run:
        return
    removed = [entry for entry in entries if entry.after == ABSENT]
    if removed and not request.yes:
        typer.confirm(f"{len(removed)} entries will be removed. Go on?", abort=True)
    author = request.author or getpass.getuser()
    try:
        accepted = asyncio.run(
            _submit(request.store_urls, Edit(entries, author, request.reason))
        )
    except EditConflictError as error:
        _show_conflict(error, request.as_json)
        raise typer.Exit(EXIT_LOST_RACE) from error
    lacking = _wait(request, accepted)
    _show_accepted(request, accepted, lacking)
    if lacking:
        raise typer.Exit(EXIT_NOT_IN_FORCE)


def _wait(request: _Request, accepted: ListsState) -> tuple[str, ...]:
    if not request.wait_s:
        return ()
    if not request.instances_url:
        raise typer.BadParameter("--wait needs --instances")
    return asyncio.run(
        _wait_in_force(request.instances_url, accepted.number, request.wait_s)
    )


def _show_accepted(
    request: _Request, accepted: ListsState, lacking: tuple[str, ...]
) -> None:
    for warning in capacity_warnings(accepted.document):
        typer.echo(f"warning: {warning}", err=True)
    if request.as_json:
        result: dict[str, Any] = {
            "version": accepted.number,
            "change_id": accepted.change_id,
            "lacking": list(lacking),
        }
        typer.echo(json.dumps(result))
        return
    typer.echo(f"accepted as version {accepted.number}, change {accepted.change_id}")
    for name in lacking:
        typer.echo(f"not in force at {name}", err=True)


def _show_entries(entries: tuple[EntryChange, ...], as_json: bool) -> None:
    if as_json:
        plain = [entry_change_to_json(entry) for entry in entries]
        typer.echo(json.dumps(plain, indent=2, ensure_ascii=False))
        return
    for line in describe_entries(entries):
        typer.echo(line)
    if not entries:
        typer.echo("no change")


def _show_conflict(error: EditConflictError, as_json: bool) -> None:
    if as_json:
        others = [change_to_json(other) for other in error.other_changes]
        typer.echo(json.dumps({"error": str(error), "others": others}))
        return
    typer.echo(f"error: {error}", err=True)
    for other in error.other_changes:
        for line in describe_entries(other.entries):
            typer.echo(f"  {line}", err=True)


def _field(text: str) -> tuple[str, Any]:
    name, separator, value = text.partition("=")
    if not separator:
        raise typer.BadParameter(f"{text!r} is not FIELD=VALUE")
    try:
        return name, json.loads(value)
    except ValueError:
        # A bare word stands for a text, so that names need no quotes.
        return name, value


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ListsSyntaxError(f"{file}: cannot be read: {error}") from error


async def _read(store_urls: list[str]) -> ListsState:
    store = EtcdStore(EtcdSettings(urls=tuple(store_urls)))
    try:
        return (await ListsEditor(store).read()).state
    finally:
        await store.close()


async def _submit(store_urls: list[str], request: Edit) -> ListsState:
    store = EtcdStore(EtcdSettings(urls=tuple(store_urls)))
    try:
        return await ListsEditor(store).submit(request)
    finally:
        await store.close()


async def _wait_in_force(url: str, version: int, timeout_s: float) -> tuple[str, ...]:
    instances = HttpInstanceList(url)
    try:
        return await wait_for_rollout(instances, version, timeout_s)
    finally:
        await instances.close()
