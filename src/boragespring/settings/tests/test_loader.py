"""Tests for the settings loader."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragespring.settings import (
    EntrySettings,
    FieldErrorGroup,
    SettingsError,
    SettingsFileError,
    parse_settings,
)

VALID = """
{
  // Comments are allowed.
  "name": "entry-1",
  "placement": {"deployment": "d", "region": "r", "availability_zone": "quito-a"},
  "http": {"host": "127.0.0.1"},
  "link": {"host": "127.0.0.1"},
  "platform": {"store_urls": ["http://127.0.0.1:1"], "instances_url": "http://x"},
}
"""


def test_comments_are_skipped_and_defaults_filled_in():
    settings = parse_settings(VALID, EntrySettings, "entry.json")
    assert settings.name == "entry-1"
    assert settings.links.heartbeat_deadline_s == 2.0


def test_all_errors_are_reported_with_found_and_allowed_values():
    text = VALID.replace('"name": "entry-1"', '"name": 7, "extra": 1').replace(
        '"http": {"host": "127.0.0.1"}',
        '"http": {"host": "127.0.0.1", "port": 70000},'
        '"links": {"heartbeat_interval_s": "x"}',
    )
    with pytest.raises(FieldErrorGroup) as exc_info:
        parse_settings(text, EntrySettings, "entry.json")
    errors = {error.path: error for error in exc_info.value.exceptions}
    assert set(errors) == {
        "name",
        "http.port",
        "links.heartbeat_interval_s",
        "the document",
    }
    assert errors["http.port"].found == "70000"
    assert errors["http.port"].allowed == "0 to 65535"
    assert "entry.json: name: found 7; allowed: a string" in str(errors["name"])
    assert "extra" in errors["the document"].found


def test_missing_field_is_reported_by_its_path():
    text = VALID.replace('"name": "entry-1",', "")
    with pytest.raises(FieldErrorGroup) as exc_info:
        parse_settings(text, EntrySettings, "entry.json")
    assert [error.path for error in exc_info.value.exceptions] == ["name"]


def test_syntax_error_names_the_file():
    with pytest.raises(SettingsFileError, match=r"entry\.json"):
        parse_settings("{", EntrySettings, "entry.json")


ASCII = st.text("abc[].", max_size=5)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | ASCII,
    lambda children: st.lists(children) | st.dictionaries(ASCII, children),
    max_leaves=8,
)
NAMES = st.sampled_from(["name", "http", "link", "platform", "placement", "links"])


@given(st.dictionaries(NAMES, JSON))
def test_arbitrary_documents_load_or_raise_a_settings_error(document):
    try:
        parse_settings(json.dumps(document), EntrySettings, "f")
    except SettingsError as error:
        assert "f: " in str(error)
