"""Tests for the list commands against a stand-in of the store."""

import asyncio
import json

import pytest
from typer.testing import CliRunner

from boragespring.cli.app import app
from boragespring.errors import BoragespringError
from boragespring.lists.editor import Edit, ListsEditor
from boragespring.lists.state import EMPTY_STATE, difference
from boragespring.lists.tests.fakes import make_document
from boragespring.standins.store import StoreStandIn
from boragespring.store import MemoryStore
from boragespring.store.instances import Instance, InstanceRole


@pytest.fixture
async def run_lists():
    server = StoreStandIn()
    await server.start()
    editor = ListsEditor(MemoryStore(server.keyspace))
    await editor.submit(
        Edit(difference(EMPTY_STATE, make_document()), "setup", "first")
    )

    async def command(*arguments, reason="test", exit_code=0, stdin=None):
        command_line = ["lists", *arguments, "--store", server.url]
        if reason and arguments[0] in ("apply", "edit", "rollback"):
            command_line += ["--reason", reason, "--author", "ana"]
        result = await asyncio.to_thread(
            CliRunner().invoke, app, command_line, input=stdin
        )
        if isinstance(result.exception, BoragespringError):
            return result.exception
        assert result.exit_code == exit_code, result.output
        return result.stdout

    command.server = server
    yield command
    await server.stop()


async def test_apply_changes_only_the_fields_edited_in_the_file(run_lists, tmp_path):
    file = tmp_path / "lists.json"
    text = await run_lists("get")
    file.write_text(text.replace('"weight": 1.0', '"weight": 2.0', 1))
    assert "~ allowance_list.plans['p0'].weight: 1.0 -> 2.0" in await run_lists(
        "diff", str(file), exit_code=1
    )
    await run_lists("edit", "plan", "p1", "queue_max=7")
    assert "no change" not in await run_lists("apply", str(file), "--dry-run")
    output = await run_lists("apply", str(file), "--json")
    assert json.loads(output)["version"] == 3
    plans = json.loads(await run_lists("get", "--json"))["allowance_list"]["plans"]
    assert (plans["p0"]["weight"], plans["p1"]["queue_max"]) == (2.0, 7)


async def test_conflicting_edit_exits_with_3_and_prints_the_other_change(
    run_lists, tmp_path
):
    file = tmp_path / "lists.json"
    text = await run_lists("get")
    file.write_text(text.replace('"weight": 1.0', '"weight": 2.0', 1))
    await run_lists("edit", "plan", "p0", "queue_max=7", reason="more room")
    output = await run_lists("apply", str(file), "--json", exit_code=3)
    assert "more room" in json.loads(output)["error"]
    assert json.loads(output)["others"][0]["author"] == "ana"


async def test_file_without_a_version_requires_the_replace_option(run_lists, tmp_path):
    file = tmp_path / "lists.json"
    text = await run_lists("get")
    file.write_text(text.partition("\n")[2].replace('"weight": 1.0', '"weight": 3.0'))
    assert "--replace" in str(await run_lists("apply", str(file)))
    await run_lists("apply", str(file), "--replace")
    file.write_text("{")
    assert "JSON" in str(await run_lists("apply", str(file)))


async def test_removal_asks_for_confirmation_and_rollback_adds_a_change(run_lists):
    await run_lists("edit", "workspace", "w2", "--remove", stdin="n\n", exit_code=1)
    await run_lists("edit", "workspace", "w2", "--remove", "--yes")
    await run_lists("rollback", "2")
    history = json.loads(await run_lists("history", "--json"))
    assert [change["number"] for change in history] == [1, 2, 3]
    workspaces = json.loads(await run_lists("get", "--json"))["plan_list"]["workspaces"]
    assert set(workspaces) == {"w0", "w1", "w2"}
    assert "allowed" in str(
        (await run_lists("edit", "plan", "p0", "weight=-1")).exceptions
    )
    assert "ana: test" in await run_lists("history")


async def test_wait_names_processes_in_which_the_change_is_not_active(run_lists):
    run_lists.server.put_instances(
        (Instance("e1", InstanceRole.ENTRY, "", "r", "z", "127.0.0.1", 1, 1),)
    )
    options = ("--wait", "0.1", "--instances", run_lists.server.url, "--json")
    output = await run_lists("edit", "plan", "p0", "weight=2", *options, exit_code=4)
    assert json.loads(output)["lacking"] == ["e1"]


async def test_unavailable_store_is_reported(run_lists):
    await run_lists.server.stop()
    assert "cannot be read" in str(await run_lists("get"))
