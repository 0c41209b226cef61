"""Tests for the timeline of a request from the logs of several gateways."""

import json

from typer.testing import CliRunner

from boragespring.cli.app import app
from boragespring.cli.explain import build_timeline, parse_lines


def log_line(process, mono_s, event, about="request", **fields):
    wall_time = f"2026-12-04T10:00:{mono_s:06.3f}"
    common = {
        "process_name": process,
        "mono_s": mono_s,
        "time": wall_time,
        "about": about,
    }
    return json.dumps({"event": event, **common, **fields})


LOG = [
    log_line("g1", 1.0, "server_leaving", "belief", server="far-back"),
    log_line("g1", 11.0, "placed", request_id="r1", server="s1"),
    log_line("g1", 11.5, "placed", request_id="r2", server="s1"),
    "  12.0 g1 " + log_line("g1", 12.0, "server_leaving", "belief", server="s1"),
    log_line("g1", 12.1, "server_leaving", "belief", server="s9"),
    log_line("g2", 12.2, "server_leaving", "belief", server="s1"),
    log_line("g1", 12.5, "store_lost", "lifecycle", reason="reset"),
    "a line of another program",
    '{"not": "ours"}',
    log_line("g1", 13.0, "move_failed", request_id="r1", source="s1", target="s2"),
    log_line("g1", 13.1, "answered", request_id="r1", outcome="cut"),
]


def test_timeline_has_the_request_and_related_state_changes_of_its_gateway():
    timeline = build_timeline("r1", parse_lines(LOG))
    assert [line.event for line in timeline] == [
        "placed",
        "server_leaving",
        "store_lost",
        "move_failed",
        "answered",
    ]
    assert timeline[1].fields["server"] == "s1"


CUT_LOG = [
    log_line("g1", 1.0, "started", "lifecycle"),
    log_line("g1", 10.0, "stopping", "lifecycle"),
    log_line("g1", 16.0, "placed", request_id="r1", server="s1"),
    log_line("g1", 17.7, "drain_ended", "lifecycle", reason="stop_timeout"),
    log_line("g1", 17.9, "answered", request_id="r1", outcome="cut"),
    log_line("g1", 20.0, "placed", request_id="r2", server="s1"),
    log_line("g1", 40.0, "started", "lifecycle"),
    log_line("g1", 50.0, "stopping", "lifecycle"),
]


def test_timeline_of_a_cut_request_has_the_stop_that_had_begun_before():
    timeline = build_timeline("r1", parse_lines(CUT_LOG))
    events = ["stopping", "placed", "drain_ended", "answered"]
    assert [line.event for line in timeline] == events


def test_timeline_without_a_final_line_has_the_next_start_of_the_process():
    timeline = build_timeline("r2", parse_lines(CUT_LOG))
    assert [line.event for line in timeline][-2:] == ["placed", "started"]


def test_command_reads_files_and_exits_with_1_for_an_unknown_request(tmp_path):
    path = tmp_path / "g1.log"
    path.write_text("\n".join(LOG), encoding="utf-8")
    found = CliRunner().invoke(app, ["explain", "r1", str(path)])
    assert found.exit_code == 0
    assert "answered" in found.output.splitlines()[-1]
    missing = CliRunner().invoke(app, ["explain", "r7", str(path)])
    assert missing.exit_code == 1


# Guards against one odd line for which no timeline is printed.
def test_odd_lines_do_not_prevent_a_timeline():
    lines = [
        log_line("g1", 1.0, "placed", request_id="r1", server="i\ud800"),
        '{"event": ' + "[" * 100_000,
        *(
            f'{{"event": "x", "request_id": "r1", "mono_s": {number}}}'
            for number in ("NaN", "1e400", "9" * 5000, '"soon"', "[]")
        ),
        "{}",
    ]
    found = CliRunner().invoke(app, ["explain", "r1"], input="\n".join(lines))
    assert found.exit_code == 0
    assert found.output.splitlines() == [
        "2026-12-04T10:00:01.000 g1 placed request_id=r1 server=i\\ud800"
    ]
