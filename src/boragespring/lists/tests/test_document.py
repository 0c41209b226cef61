import itertools
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragespring.lists import (
    ListsError,
    ListsInvalidError,
    ListsView,
    capacity_warnings,
    hash_api_key,
    parse_document,
)

API_KEY = "sk-rutas-1"
DOCUMENT_TEXT = """
{
  "format": 2,
  // What each customer bought.
  "plan_list": {"workspaces": {
    "escuela-norte": {"plan": "morning", "key_hashes": ["KEY_HASH"]},
  }},
  "allowance_list": {
    "plans": {"morning": {
      "services": ["asistente-rutas"], "models": ["ruta-7b"], "tokens_per_s": 500,
    }},
    "services": {"asistente-rutas": {
      "kind": "engine", "models": {"ruta-7b": {"version": "3"}},
      "capacity_tokens_per_s": 400,
    }},
  },
}
""".replace("KEY_HASH", hash_api_key(API_KEY))


def test_view_looks_up_workspace_allowance_and_service():
    view = ListsView(parse_document(DOCUMENT_TEXT, "lists.json"), 5)
    workspace = view.workspace_for_key(API_KEY)
    assert (workspace.name, view.version) == ("escuela-norte", 5)
    assert view.allowance(workspace).tokens_per_s == 500
    assert view.service("asistente-rutas").models["ruta-7b"].version == "3"
    assert view.workspace_for_key("wrong") is None
    assert view.service("nothing") is None


def test_plans_exceeding_declared_capacity_cause_a_warning():
    (warning,) = capacity_warnings(parse_document(DOCUMENT_TEXT, "lists.json"))
    assert str(warning).endswith("capacity_tokens_per_s: plans promise 500 of 400")


def parse_errors(text):
    with pytest.raises(ListsInvalidError) as exc_info:
        parse_document(text, "lists.json")
    return {error.path: error for error in exc_info.value.exceptions}


def test_field_and_reference_errors_are_reported_together():
    text = (
        DOCUMENT_TEXT.replace('"tokens_per_s": 500', '"tokens_per_s": -1')
        .replace('"plan": "morning", ', '"plan": "evening", "colour": 1, ')
        .replace(
            '  }},\n  "allowance_list"',
            '"w2": {"plan": "none", "key_hashes": ["%s"]},}},"allowance_list"'
            % ("Z" * 64),
        )
    )
    errors = parse_errors(text)
    assert set(errors) == {
        "allowance_list.plans['morning'].tokens_per_s",
        "plan_list.workspaces['escuela-norte']",
        "plan_list.workspaces['w2'].plan",
        "plan_list.workspaces['w2'].key_hashes[0]",
    }
    assert errors["plan_list.workspaces['w2'].plan"].allowed == "one of morning"
    assert "colour" in errors["plan_list.workspaces['escuela-norte']"].found


def test_api_key_shared_by_two_workspaces_is_rejected():
    data = {
        "format": 1,
        "plans": {"p": {"services": []}},
        "workspaces": {
            name: {"plan": "p", "key_hashes": [hash_api_key("same")]} for name in "ab"
        },
    }
    assert list(parse_errors(json.dumps(data))) == [
        "plan_list.workspaces['b'].key_hashes[0]"
    ]


def test_older_format_is_upgraded_and_unknown_formats_are_rejected():
    old = {"format": 1, "workspaces": {}, "plans": {}, "services": {}}
    assert parse_document(json.dumps(old), "old").format == 2
    assert parse_errors('{"format": 3}')["format"].allowed == "1 to 2"
    assert "the document" in parse_errors('{"format": 1, "extra": 1}')


def test_example_in_operators_documentation_is_valid():
    page = Path(__file__).parents[4] / "docs" / "operations" / "lists.md"
    lines = itertools.takewhile(
        lambda line: line.startswith("    ") or not line,
        itertools.dropwhile(
            lambda line: line != "    {", page.read_text(encoding="utf-8").splitlines()
        ),
    )
    text = "\n".join(lines).replace("<64 hexadecimal digits>", "0" * 64)
    document = parse_document(text, "page")
    assert document.allowance_list.plans["morning"].concurrency_max == 12


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=20,
)


@given(json_values, st.sampled_from(["plan_list", "allowance_list", "workspaces"]))
def test_arbitrary_json_is_parsed_or_raises_lists_error(value, section):
    for data in (value, {"format": 2, section: value}, {"format": 1, section: value}):
        try:
            parse_document(json.dumps(data), "any")
        except ListsError:
            pass


@given(st.text())
def test_arbitrary_text_is_parsed_or_raises_lists_error(text):
    try:
        parse_document(text, "any")
    except ListsError:
        pass
