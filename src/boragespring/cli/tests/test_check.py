"""Tests for the command that checks files, run on all examples."""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from boragespring.cli.app import app, main
from boragespring.cli.check import check_file

EXAMPLES = Path(__file__).parents[4] / "examples"
FILES = sorted(EXAMPLES.glob("*/*.json"))


@pytest.mark.parametrize(
    "path", FILES, ids=lambda path: f"{path.parent.name}-{path.stem}"
)
def test_every_example_is_valid(path):
    report = check_file(path)
    assert (report.errors, report.warnings) == ([], [])
    expected = path.stem.partition("-")[0]
    assert report.kind == expected


def test_json_output_has_all_errors_of_all_files_and_exit_code_is_1(tmp_path):
    agent = json.dumps({"name": 7, "server": {"vendor": "none"}})
    lists = json.dumps({"format": 2, "plan_list": {"workspaces": {"a": {"plan": "b"}}}})
    paths = [tmp_path / "one.json", tmp_path / "two.json"]
    for path, text in zip(paths, (agent, lists), strict=True):
        path.write_text(text)
    result = CliRunner().invoke(app, ["check", "--json", *map(str, paths)])
    assert result.exit_code == 1
    reports = json.loads(result.stdout)
    fields = [{error["field"] for error in report["errors"]} for report in reports]
    assert {"name", "server.vendor", "platform", "link"} <= fields[0]
    assert fields[1] == {"plan_list.workspaces['a'].plan"}
    assert [report["kind"] for report in reports] == ["agent", "lists"]


@pytest.mark.parametrize("content", [None, "{", "\udcff"])
def test_unreadable_file_is_named_and_exit_code_is_2(
    tmp_path, monkeypatch, capsys, content
):
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_bytes(content.encode("utf-8", "surrogateescape"))
    monkeypatch.setattr("sys.argv", ["boragespring", "check", str(path)])
    with pytest.raises(SystemExit) as caught:
        main()
    assert caught.value.code == 2
    assert "settings.json" in capsys.readouterr().err


def test_deploy_file_is_checked(tmp_path):
    deploy = EXAMPLES.parent / "deploy" / "system.toml"
    report = check_file(deploy)
    assert (report.kind, report.errors) == ("deploy", [])
    path = tmp_path / "system.toml"
    text = deploy.read_text()
    path.write_text(text.replace('"front", "control"', '"nobody"').replace("1.0", "2"))
    fields = {error.field for error in check_file(path).errors}
    assert fields == {"roles.gateway.serves", "roles.gateway.share"}
