"""The commands of the lists against the stand-in of the store."""

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
async def run():
    server = StoreStandIn()
    await server.start()
    editor = ListsEditor(MemoryStore(server.keyspace))
    await editor.submit(
        Edit(difference(EMPTY_STATE, make_document()), "setup", "first")
    )

    async def command(*arguments, reason="test", code=0, text=None):
        words = ["lists", *arguments, "--store", server.url]
        if reason and arguments[0] in ("apply", "edit", "rollback"):
            words += ["--reason", reason, "--author", "ana"]
        result = await asyncio.to_thread(CliRunner().invoke, app, words, input=text)
        if isinstance(result.exception, BoragespringError):
            return result.exception
        assert result.exit_code == code, result.output
        return result.stdout

    command.server = server
    yield command
    await server.stop()


async def test_edited_text_changes_only_what_its_author_changed(run, tmp_path):
    file = tmp_path / "lists.json"
    text = await run("get")
    file.write_text(text.replace('"weight": 1.0', '"weight": 2.0', 1))
    assert "~ allowance_list.plans['p0'].weight: 1.0 -> 2.0" in await run(
        "diff", str(file), code=1
    )
    await run("edit", "plan", "p1", "queue_max=7")
    assert "no change" not in await run("apply", str(file), "--dry-run")
    out = await run("apply", str(file), "--json")
    assert json.loads(out)["version"] == 3
    plans = json.loads(await run("get", "--json"))["allowance_list"]["plans"]
    assert (plans["p0"]["weight"], plans["p1"]["queue_max"]) == (2.0, 7)


async def test_lost_race_has_its_own_exit_code_and_shows_the_other(run, tmp_path):
    file = tmp_path / "lists.json"
    text = await run("get")
    file.write_text(text.replace('"weight": 1.0', '"weight": 2.0', 1))
    await run("edit", "plan", "p0", "queue_max=7", reason="more room")
    out = await run("apply", str(file), "--json", code=3)
    assert "more room" in json.loads(out)["error"]
    assert json.loads(out)["others"][0]["author"] == "ana"


async def test_text_without_its_version_needs_an_explicit_replace(run, tmp_path):
    file = tmp_path / "lists.json"
    text = await run("get")
    file.write_text(text.partition("\n")[2].replace('"weight": 1.0', '"weight": 3.0'))
    assert "--replace" in str(await run("apply", str(file)))
    await run("apply", str(file), "--replace")
    file.write_text("{")
    assert "JSON" in str(await run("apply", str(file)))


async def test_removal_asks_and_rollback_is_a_new_change(run):
    await run("edit", "workspace", "w2", "--remove", text="n\n", code=1)
    await run("edit", "workspace", "w2", "--remove", "--yes")
    await run("rollback", "2")
    history = json.loads(await run("history", "--json"))
    assert [change["number"] for change in history] == [1, 2, 3]
    workspaces = json.loads(await run("get", "--json"))["plan_list"]["workspaces"]
    assert set(workspaces) == {"w0", "w1", "w2"}
    assert "allowed" in str((await run("edit", "plan", "p0", "weight=-1")).exceptions)
    assert "ana: test" in await run("history")


async def test_wait_names_who_lacks_the_change(run):
    run.server.put_instances(
        (Instance("e1", InstanceRole.ENTRY, "", "r", "z", "127.0.0.1", 1, 1),)
    )
    words = ("--wait", "0.1", "--instances", run.server.url, "--json")
    out = await run("edit", "plan", "p0", "weight=2", *words, code=4)
    assert json.loads(out)["lacking"] == ["e1"]


async def test_store_down_is_told(run):
    await run.server.stop()
    assert "cannot be read" in str(await run("get"))
