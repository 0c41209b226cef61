import pytest

from boragespring.replay import (
    AnswerRecord,
    Deployment,
    TraceError,
    TraceRequest,
    TraceSettings,
    generate_trace,
    measure,
    read_trace,
    write_trace,
)
from boragespring.replay.outcomes import (
    ExpectedOutcome,
    OutcomeError,
    OutcomeMeasure,
    check_outcomes,
    read_outcomes,
)


@pytest.mark.parametrize("deployment", list(Deployment))
def test_trace_is_reproducible_and_occupies_the_requested_memory(tmp_path, deployment):
    settings = TraceSettings(deployment, duration_s=100, demand=0.7, seed=4)
    trace = generate_trace(settings)
    path = tmp_path / "trace.jsonl"
    write_trace(path, trace)
    assert list(read_trace(path)) == trace == generate_trace(settings)
    occupied = sum(
        r.output_tokens * 0.03 * (r.prompt_tokens + r.output_tokens / 2) for r in trace
    )
    assert 0.7 <= occupied / (100 * settings.memory_tokens) < 0.75
    lengths = sorted(r.output_tokens for r in trace if r.output_tokens)
    assert lengths[-1] > 10 * lengths[len(lengths) // 2]
    assert {r.is_idempotent for r in trace} == {True, False}


def test_flood_leaves_requests_of_other_workspaces_unchanged():
    baseline = generate_trace(TraceSettings(duration_s=60))
    flooded = generate_trace(TraceSettings(duration_s=60, flood_factor=10))
    others = [r for r in flooded if r.workspace != "workspace-09"]
    assert others == [r for r in baseline if r.workspace != "workspace-09"]
    assert len(flooded) > len(baseline)


def test_prompts_share_only_their_prefix():
    request = TraceRequest(0.0, "w", prompt_tokens=100, prefix="p", prefix_tokens=60)
    first, second = request.prompt(1), request.prompt(2)
    assert len(first) == len(second) == 400
    assert first[:240] == second[:240] and first[240:] != second[240:]


@pytest.mark.parametrize(
    "line", ["{", '{"workspace": "w"}', '{"time_s": 1, "workspace": "w", "odd": 2}']
)
def test_error_names_the_malformed_line(tmp_path, line):
    path = tmp_path / "trace.jsonl"
    path.write_text('{"time_s": 0, "workspace": "w"}\n' + line + "\n")
    with pytest.raises(TraceError, match=r"trace\.jsonl:2"):
        list(read_trace(path))


def test_measures_and_expected_outcomes(tmp_path):
    record = AnswerRecord("w", "batch", 1.0, [2.0, 2.05, 3.05], 3.1, "ok")
    rejected = AnswerRecord("w", "batch", 1.0, [], 1.5, "queue_full")
    groups = measure([record, rejected], lambda r: f"class:{r.traffic_class}", 0.1)
    group = groups["class:batch"]
    assert (group.requests, group.ok, group.tokens) == (2, 1, 3)
    assert group.stall_s == pytest.approx(0.9)
    assert group.queue_time_s.p95 == 1.0
    path = tmp_path / "outcomes.json"
    path.write_text(
        """[ // Bounds for the batch class.
        {"group": "class:batch", "measure": "stall_s", "at_most": 1.0},
        {"group": "class:batch", "measure": "ok_share", "at_least": 0.9},
        {"group": "class:odd", "measure": "ok_share", "at_least": 0.9}]"""
    )
    violations = check_outcomes(read_outcomes(path), groups)
    assert len(violations) == 2 and "0.5 is below 0.9" in violations[0]
    assert (
        check_outcomes([ExpectedOutcome("class:batch", OutcomeMeasure.STALL_S)], groups)
        == []
    )
    path.write_text('[{"group": "all", "measure": "odd"}]')
    with pytest.raises(OutcomeError, match="measure"):
        read_outcomes(path)
