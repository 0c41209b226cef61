"""The story of a request from the logs of several gateways."""

import json

from typer.testing import CliRunner

from boragespring.cli.app import app
from boragespring.cli.explain import read_lines, story_of


def line(process, mono_s, event, about="request", **fields):
    wall = f"2026-12-04T10:00:{mono_s:06.3f}"
    common = {"process_name": process, "mono_s": mono_s, "time": wall, "about": about}
    return json.dumps({"event": event, **common, **fields})


LOG = [
    line("g1", 1.0, "server_leaving", "belief", server="far-back"),
    line("g1", 11.0, "placed", request_id="r1", server="s1"),
    line("g1", 11.5, "placed", request_id="r2", server="s1"),
    "  12.0 g1 " + line("g1", 12.0, "server_leaving", "belief", server="s1"),
    line("g1", 12.1, "server_leaving", "belief", server="s9"),
    line("g2", 12.2, "server_leaving", "belief", server="s1"),
    line("g1", 12.5, "store_lost", "lifecycle", reason="reset"),
    "a line of something else",
    '{"not": "ours"}',
    line("g1", 13.0, "move_failed", request_id="r1", source="s1", target="s2"),
    line("g1", 13.1, "answered", request_id="r1", outcome="cut"),
]


def test_the_story_has_the_request_and_what_its_gateway_believed():
    story = story_of("r1", read_lines(LOG))
    assert [one.event for one in story] == [
        "placed",
        "server_leaving",
        "store_lost",
        "move_failed",
        "answered",
    ]
    assert story[1].fields["server"] == "s1"


def test_the_command_reads_files_and_says_when_nothing_is_found(tmp_path):
    path = tmp_path / "g1.log"
    path.write_text("\n".join(LOG), encoding="utf-8")
    found = CliRunner().invoke(app, ["explain", "r1", str(path)])
    assert found.exit_code == 0
    assert "answered" in found.output.splitlines()[-1]
    missing = CliRunner().invoke(app, ["explain", "r7", str(path)])
    assert missing.exit_code == 1
