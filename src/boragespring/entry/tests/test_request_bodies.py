"""Property-based tests of request parsing."""

import asyncio
import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from boragespring.answers.messages import SubmitGeneration
from boragespring.entry.problems import Problem
from boragespring.entry.requests import (
    _check_size_as_objects,
    read_chat_request,
    read_completion_request,
)
from boragespring.entry.sampling import _RULES
from boragespring.links.codec import FrameDecoder, encode
from boragespring.settings import CallerSettings

SETTINGS = CallerSettings()
TEXTS = st.text(st.characters(), max_size=6)
NUMBERS = st.integers() | st.floats() | st.sampled_from([0, 1, -1, 2**64, 10**400])
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=6,
)
FIELDS = st.sampled_from(
    [*_RULES, "max_tokens", "max_completion_tokens", "stream", "n"]
)
MESSAGES = st.lists(
    st.fixed_dictionaries({"role": TEXTS | VALUES, "content": TEXTS | VALUES}) | VALUES
)


class FakeRequest:
    """Request with only the method that the body readers call."""

    def __init__(self, raw_body):
        self.raw_body = raw_body

    async def read(self):
        return self.raw_body


def read_or_reject(read_request, raw_body):
    """Return the parsed request, or None if it is rejected with a valid error."""
    try:
        return asyncio.run(read_request(FakeRequest(raw_body), SETTINGS))
    except Problem as problem:
        assert 400 <= problem.status < 500
        assert problem.not_run
        assert problem.message
        json.dumps(problem.to_body()).encode()
        return None


def check_link_round_trip(request):
    """Check that a request is unchanged after encoding and decoding on a link."""
    submit = SubmitGeneration(
        b"", "w", "c", 1, 1.0, request.model, request.prompt, request.prompt_tokens,
        request.max_tokens, request.parameters, 1.0, 0,
    )  # fmt: skip
    assert [*FrameDecoder().feed(encode(submit))] == [(submit, 0)]
    assert 1 <= request.max_tokens <= SETTINGS.max_tokens_max


@given(st.binary(max_size=60))
@example(b'{"a":' * 200_000)
@example(b"\xff\xfe{\x00}\x00")
def test_arbitrary_bytes_are_rejected(raw_body):
    assert read_or_reject(read_completion_request, raw_body) is None


@given(TEXTS, TEXTS | VALUES, st.dictionaries(FIELDS, VALUES, max_size=4))
@example("m", "p", {"seed": 2**70})
@example("m", "p", {"temperature": float("nan")})
@example("m", "\ud800", {})
@example("m", "p", {"stop": ["\udfff"]})
def test_any_completion_is_sent_unchanged_or_rejected(model, prompt, fields):
    raw_body = json.dumps({"model": model, "prompt": prompt, **fields}).encode()
    request = read_or_reject(read_completion_request, raw_body)
    if request is not None:
        check_link_round_trip(request)


@given(MESSAGES, st.dictionaries(FIELDS, VALUES, max_size=3))
@example([{"role": "\ud801", "content": "a"}], {})
def test_any_chat_is_sent_unchanged_or_rejected(messages, fields):
    raw_body = json.dumps({"model": "m", "messages": messages, **fields}).encode()
    request = read_or_reject(read_chat_request, raw_body)
    if request is not None:
        check_link_round_trip(request)


# Guards against bodies that are small as text and large as objects.
@pytest.mark.parametrize(
    ("inner", "is_allowed"),
    [
        (b'"' + b"," * 3_000_000 + b'"', True),
        (b'"' + b'\\"[' * 1_000_000 + b'"', True),
        (b"[" + b"1," * 90_000 + b"1]", True),
        (b"[" + b"[]," * 200_000 + b"1]", False),
        (b"[" + b'"",' * 200_000 + b"1]", False),
        (b"[" + b'{"a":1},' * 100_000 + b"1]", False),
        # Neither ends, which must not cost time by the square of their length.
        (b'"\\' * 1_000_000, True),
        (b'"' * 3_000_000, False),
    ],
)
def test_bodies_of_many_objects_are_refused(inner, is_allowed):
    body = b'{"prompt":' + inner + b"}"
    if is_allowed:
        _check_size_as_objects(body)
        return
    with pytest.raises(Problem):
        _check_size_as_objects(body)
