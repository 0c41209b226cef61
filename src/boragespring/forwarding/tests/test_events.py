"""Tests of splitting a byte stream into server-sent events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragespring.forwarding import ReplyBrokenError
from boragespring.forwarding.events import EVENT_MAX_BYTES, EventSplitter

EVENTS = [
    b"id: 1\ndata: a\n\n",
    b"boragespring: 3\nid: 2\ndata: b\ndata: c\n\n",
    b"data: no id\n\n",
    b"id: 4\r\ndata: d\r\n\r\n",
]


@given(st.lists(st.integers(0, 100), max_size=8))
def test_events_are_complete_for_any_chunk_boundaries(cuts):
    data = b"".join(EVENTS)
    offsets = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    splitter = EventSplitter()
    events = [
        event
        for begin, end in zip(offsets, offsets[1:], strict=False)
        for event in splitter.feed(data[begin:end])
    ]
    assert [event.data for event in events] == EVENTS
    assert [event.event_id for event in events] == ["1", "2", "", "4"]
    assert splitter.remainder == b""


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.remainder == b"id: 1\ndata: a\n"


@pytest.mark.parametrize(
    ("data", "is_within_event"),
    [
        (b"", False),
        (b"id: 1\ndata: a\n\n", False),
        (b"id: 1\ndata: a\n\n\n", False),
        (b"id: 1\ndata: a\n", True),
        (b"id: 1\ndata: a\n\nid: 2", True),
    ],
)
def test_end_of_data_within_an_event_is_recognised(data, is_within_event):
    splitter = EventSplitter()
    splitter.feed(data)
    assert splitter.is_within_event is is_within_event


def test_event_without_end_is_not_held():
    splitter = EventSplitter()
    with pytest.raises(ReplyBrokenError):
        for _ in range(2 * EVENT_MAX_BYTES // 65536):
            splitter.feed(b"data: " + b"x" * 65530)
    assert len(splitter.remainder) <= EVENT_MAX_BYTES + 65536
