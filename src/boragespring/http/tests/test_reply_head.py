"""Which replies count as HTTP, whatever the pieces in which they arrive."""

import pytest

from boragespring.http.reply_head import UnsoundReplyError
from boragespring.http.reply_scan import ReplyScan
from boragespring.http.tests.reply_heads import SOUND_HEADS, UNSOUND_HEADS

SIZES = [1, 7, 10_000]


def encode(head):
    return head.replace("{fields}", "X-Id: 1\r\n").encode()


def scan(data, piece_bytes, **options):
    """Return what of the data may be parsed, and the state after it."""
    state = ReplyScan(**{"has_body": True, **options})
    pieces = (data[i : i + piece_bytes] for i in range(0, len(data), piece_bytes))
    return b"".join(map(state.feed, pieces)), state


# Guards against a head that is in doubt and reaches the caller as an answer.
@pytest.mark.parametrize("piece_bytes", SIZES)
@pytest.mark.parametrize("head", UNSOUND_HEADS)
def test_head_in_doubt_is_refused(head, piece_bytes):
    with pytest.raises(UnsoundReplyError):
        scan(encode(head) + b"no", piece_bytes)


@pytest.mark.parametrize("piece_bytes", SIZES)
@pytest.mark.parametrize("head", SOUND_HEADS)
def test_sound_head_is_passed_on_unchanged(head, piece_bytes):
    final = head[head.rindex("HTTP/1.") :]
    parsed, _ = scan(encode(head) + b"no", piece_bytes)
    assert parsed == encode(final) + b"no"


@pytest.mark.parametrize(
    ("head", "options"),
    [
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", {}),
        (b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", {}),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", {"has_body": False}),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", {}),
    ],
)
def test_reply_without_a_body_ends_with_its_head(head, options):
    parsed, state = scan(head, 10, **options)
    assert (parsed, state.is_complete, state.has_excess) == (head, True, False)
