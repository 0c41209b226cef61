"""Borders of events, however the bytes arrive."""

from hypothesis import given
from hypothesis import strategies as st

from boragespring.forwarding.events import EventSplitter

EVENTS = [
    b"id: 1\ndata: a\n\n",
    b"boragespring: 3\nid: 2\ndata: b\ndata: c\n\n",
    b"data: no id\n\n",
    b"id: 4\r\ndata: d\r\n\r\n",
]


@given(st.lists(st.integers(0, 100), max_size=8))
def test_events_are_whole_however_they_are_cut(cuts):
    data = b"".join(EVENTS)
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    splitter = EventSplitter()
    found = [
        event
        for begin, end in zip(places, places[1:], strict=False)
        for event in splitter.feed(data[begin:end])
    ]
    assert [event.data for event in found] == EVENTS
    assert [event.event_id for event in found] == ["1", "2", "", "4"]
    assert splitter.remainder == b""


def test_a_part_of_an_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.remainder == b"id: 1\ndata: a\n"
