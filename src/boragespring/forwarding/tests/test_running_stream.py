"""Order of the events of a stream, by their identifiers."""

import itertools

import pytest

from boragespring.forwarding.running_stream import _is_later

#: Python reads no integer of more than 4,300 digits.
ASCENDING = ["0", "1", "9", "010", "99", "9" * 4300, "1" + "0" * 5000, "2" + "0" * 5000]


# Guards against an identifier of many digits that ends the relay of a stream.
@pytest.mark.parametrize(
    ("earlier", "later"),
    list(itertools.combinations(ASCENDING, 2)),
    ids=lambda text: f"{text[:4]}-{len(text)}",
)
def test_identifiers_are_ordered_as_numbers_of_any_length(earlier, later):
    assert _is_later(later, earlier)
    assert not _is_later(earlier, later)
    assert not _is_later(later, later)


@pytest.mark.parametrize("text", ["a", "\u0663", "1.5", "-1", ""])
def test_other_identifiers_are_later_if_they_differ(text):
    assert _is_later(text, "7")
    assert not _is_later(text, text)
