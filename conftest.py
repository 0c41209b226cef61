"""Settings that all tests share."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
#: What stands before the id of a test in that file, behind the entry's number.
TEST_MARK = "test: "

# Every run draws the same examples, so that CI reaches the same verdict.
settings.register_profile(
    "ci",
    deadline=None,
    derandomize=True,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
    database=None,
)
settings.load_profile("ci")


def _known_red_ids():
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.partition(TEST_MARK)[2].strip()
        for line in lines
        if line[:1].isdigit() and TEST_MARK in line
    }


def pytest_collection_modifyitems(items):
    """Run the listed tests like all others, but let their failures pass."""
    ids = _known_red_ids()
    for item in items:
        if item.nodeid in ids:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
