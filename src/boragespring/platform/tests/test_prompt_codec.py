"""What the gateway reads of a prompt in the head of its request."""

import tracemalloc

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from boragespring.forwarding import PromptPart, part_ids
from boragespring.platform import names
from boragespring.platform.prompt_codec import decode_prompt


def decode(*lines, counts="200,20", **more):
    headers = CIMultiDict({names.TOKEN_COUNTS: counts, **more})
    for line in lines:
        headers.add(names.PROMPT_PARTS, line)
    return decode_prompt(CIMultiDictProxy(headers))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", []),
        ("5c1e07a2:800", [("5c1e07a2", 800)]),
        ("a:1,b:2 , c:3", [("a", 1), ("b", 2), ("c", 3)]),
        (",a:1,,b:2,", [("a", 1), ("b", 2)]),
        ("a:1,b,c:x,d:-1,e:5", [("a", 1), ("e", 5)]),
        ("a:" + "9" * 13 + ",b:2", [("b", 2)]),
        ("a:1:2,b: 3", [("b", 3)]),
        (" a :1,\tb:2\t", [("a ", 1), ("b", 2)]),
    ],
)
def test_parts_are_read_in_order(text, expected):
    parts = decode(text).parts
    assert list(parts) == [PromptPart(*each) for each in expected]
    assert list(part_ids(parts)) == [part_id for part_id, _ in expected]
    assert len(parts) == len(expected)


# Guards against parts in a second line of the header, which servers get as well.
def test_parts_of_several_lines_are_those_of_one_list():
    assert list(part_ids(decode("a:1,b:2", "c:3").parts)) == ["a", "b", "c"]
    assert decode("a:1,b:2", "c:3").shared_part_ids == {"a", "b"}


@pytest.mark.parametrize("counts", ["", "200", "200,x", "1,2,3", "-1,2"])
def test_prompt_without_usable_counts_is_none(counts):
    assert decode("a:1", counts=counts) is None


# Guards against objects for the thousands of parts of each request that is open.
def test_parts_take_no_memory_beside_their_header():
    text = ",".join(f"{number:x}:1" for number in range(3000))
    tracemalloc.start()
    try:
        prompts = [decode(text) for _ in range(50)]
        assert len(prompts[0].shared_part_ids) == 2999
        # Objects for each part would take 15 MB.
        assert tracemalloc.get_traced_memory()[0] < 2**20
    finally:
        tracemalloc.stop()
