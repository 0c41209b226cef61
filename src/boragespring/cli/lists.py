"""Commands for operators to read and change the plan list and the allowance list."""

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

__all__ = ["EXIT_CONFLICT", "EXIT_NOT_ACTIVE", "app"]

EXIT_CHANGES_FOUND = 1
#: Someone else has changed an entry that the edit changes too.
EXIT_CONFLICT = 3
#: The edit was accepted, but is not active in all processes after the wait.
EXIT_NOT_ACTIVE = 4

app = typer.Typer(
    help="Read and change the plan list and the allowance list.",
    no_args_is_help=True,
)

PlanEdit = Callable[[ListsState], tuple[EntryChange, ...]]


class EntryKind(StrEnum):
    """Kind of list entry, as named on the command line."""

    WORKSPACE = "workspace"
    PLAN = "plan"
    SERVICE = "service"


_LIST_KINDS = {
    EntryKind.WORKSPACE: ListKind.WORKSPACE,
    EntryKind.PLAN: ListKind.PLAN,
    EntryKind.SERVICE: ListKind.SERVICE,
}


@frozen
class _EditOptions:
    """Command-line options that the editing commands share."""

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
    """Print the lists from the store."""
    state = asyncio.run(_read_state(store))
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
        bool, typer.Option("--replace", help="Compare with the current version.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Print the changes that a file would make; exit with 1 if there are any."""
    text = _read_text(file)
    state = asyncio.run(_read_state(store))
    entries = text_edit(state, text, str(file), replace)
    _print_entries(entries, as_json)
    if entries:
        raise typer.Exit(EXIT_CHANGES_FOUND)


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="Edited lists, JSON with comments.")],
    store: StoreOption,
    reason: ReasonOption,
    author: AuthorOption = "",
    replace: Annotated[
        bool, typer.Option("--replace", help="Overwrite the current version.")
    ] = False,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    as_json: JsonOption = False,
    wait_s: WaitOption = 0.0,
    instances: InstancesOption = "",
) -> None:
    """Apply the changes in an edited file."""
    text = _read_text(file)
    options = _EditOptions(
        store, instances, author, reason, dry_run, yes, as_json, wait_s
    )
    _run_edit(options, lambda state: text_edit(state, text, str(file), replace))


@app.command()
def edit(
    kind: Annotated[EntryKind, typer.Argument(help="Kind of entry.")],
    name: Annotated[str, typer.Argument(help="Name of the entry.")],
    store: StoreOption,
    reason: ReasonOption,
    fields: Annotated[
        list[str] | None, typer.Argument(help="FIELD=VALUE pairs, with JSON values.")
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
    values = dict(_parse_field(text) for text in fields or ())
    if remove == bool(values):
        raise typer.BadParameter("specify either FIELD=VALUE or --remove")
    options = _EditOptions(
        store, instances, author, reason, dry_run, yes, as_json, wait_s
    )
    if remove:
        _run_edit(options, lambda state: entry_removal(state, _LIST_KINDS[kind], name))
    else:
        _run_edit(
            options, lambda state: entry_edit(state, _LIST_KINDS[kind], name, values)
        )


@app.command()
def history(store: StoreOption, as_json: JsonOption = False) -> None:
    """Print the most recent changes with their authors, times and reasons."""
    state = asyncio.run(_read_state(store))
    if as_json:
        changes = [change_to_json(change) for change in state.history]
        typer.echo(json.dumps(changes, indent=2, ensure_ascii=False))
        return
    for change in state.history:
        typer.echo(describe_change(change))


@app.command()
def rollback(
    change: Annotated[str, typer.Argument(help="Number or ID of the change.")],
    store: StoreOption,
    reason: ReasonOption,
    author: AuthorOption = "",
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    as_json: JsonOption = False,
    wait_s: WaitOption = 0.0,
    instances: InstancesOption = "",
) -> None:
    """Undo one change by making a new change."""
    options = _EditOptions(
        store, instances, author, reason, dry_run, yes, as_json, wait_s
    )
    _run_edit(options, lambda state: rollback_edit(state, change))


def _run_edit(options: _EditOptions, plan_edit: PlanEdit) -> None:
    state = asyncio.run(_read_state(options.store_urls))
    entries = plan_edit(state)
    if not options.as_json or options.dry_run:
        _print_entries(entries, options.as_json)
    if not entries or options.dry_run:
        return
    removed = [entry for entry in entries if entry.after == ABSENT]
    if removed and not options.yes:
        typer.confirm(f"{len(removed)} entries will be removed. Continue?", abort=True)
    author = options.author or getpass.getuser()
    try:
        accepted = asyncio.run(
            _submit(options.store_urls, Edit(entries, author, options.reason))
        )
    except EditConflictError as error:
        _print_conflict(error, options.as_json)
        raise typer.Exit(EXIT_CONFLICT) from error
    outdated = _wait_for_rollout(options, accepted)
    _print_accepted(options, accepted, outdated)
    if outdated:
        raise typer.Exit(EXIT_NOT_ACTIVE)


def _wait_for_rollout(options: _EditOptions, accepted: ListsState) -> tuple[str, ...]:
    if not options.wait_s:
        return ()
    if not options.instances_url:
        raise typer.BadParameter("--wait requires --instances")
    return asyncio.run(
        _wait_until_active(options.instances_url, accepted.number, options.wait_s)
    )


def _print_accepted(
    options: _EditOptions, accepted: ListsState, outdated: tuple[str, ...]
) -> None:
    for warning in capacity_warnings(accepted.document):
        typer.echo(f"warning: {warning}", err=True)
    if options.as_json:
        result: dict[str, Any] = {
            "version": accepted.number,
            "change_id": accepted.change_id,
            "lacking": list(outdated),
        }
        typer.echo(json.dumps(result))
        return
    typer.echo(f"accepted as version {accepted.number}, change {accepted.change_id}")
    for name in outdated:
        typer.echo(f"not active at {name}", err=True)


def _print_entries(entries: tuple[EntryChange, ...], as_json: bool) -> None:
    if as_json:
        documents = [entry_change_to_json(entry) for entry in entries]
        typer.echo(json.dumps(documents, indent=2, ensure_ascii=False))
        return
    for line in describe_entries(entries):
        typer.echo(line)
    if not entries:
        typer.echo("no change")


def _print_conflict(error: EditConflictError, as_json: bool) -> None:
    if as_json:
        others = [change_to_json(other) for other in error.other_changes]
        typer.echo(json.dumps({"error": str(error), "others": others}))
        return
    typer.echo(f"error: {error}", err=True)
    for other in error.other_changes:
        for line in describe_entries(other.entries):
            typer.echo(f"  {line}", err=True)


def _parse_field(text: str) -> tuple[str, Any]:
    name, separator, value = text.partition("=")
    if not separator:
        raise typer.BadParameter(f"{text!r} is not FIELD=VALUE")
    try:
        return name, json.loads(value)
    except ValueError:
        # An unquoted word is taken as a string, so that names need no quotes.
        return name, value


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ListsSyntaxError(f"{file}: cannot be read: {error}") from error


async def _read_state(store_urls: list[str]) -> ListsState:
    store = EtcdStore(EtcdSettings(urls=tuple(store_urls)))
    try:
        return (await ListsEditor(store).read()).state
    finally:
        await store.close()


async def _submit(store_urls: list[str], edit: Edit) -> ListsState:
    store = EtcdStore(EtcdSettings(urls=tuple(store_urls)))
    try:
        return await ListsEditor(store).submit(edit)
    finally:
        await store.close()


async def _wait_until_active(
    url: str, version: int, timeout_s: float
) -> tuple[str, ...]:
    instances = HttpInstanceList(url)
    try:
        return await wait_for_rollout(instances, version, timeout_s)
    finally:
        await instances.close()
