"""Tests that the capacity page agrees with the measured slopes."""

from pathlib import Path

from boragespring.bench.capacity_model import (
    TARGET_SETTINGS,
    CapacityModel,
    TargetSize,
)
from boragespring.bench.capacity_page import render_page
from boragespring.bench.membership import fit, load_slopes

DOCS = Path(__file__).parents[4] / "docs"


def test_page_matches_the_measured_slopes():
    slopes, duty_calls = load_slopes(DOCS / "capacity_slopes.json")
    page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
    assert render_page(page, slopes, duty_calls) == page
    assert page.count("<!-- table:") == page.count("<!-- end of table -->") == 6


def test_fit_and_link_counts_are_consistent():
    line = fit({10: 25.0, 50: 105.0, 200: 405.0})
    assert abs(line.slope - 2.0) < 1e-9 and abs(line.value_at(1000) - 2005.0) < 1e-6
    slopes, _ = load_slopes(DOCS / "capacity_slopes.json")
    model = CapacityModel(slopes, TargetSize(), TARGET_SETTINGS)
    assert model.entry_links == 96
    assert abs(model.agent_links * 2700 - model.entry_links * 410) < 1e-6
