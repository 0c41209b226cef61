"""A stream whose caller disconnects early must end without an exception."""

from aiohttp import web

from boragespring.answers import AnswerHandle, AnswerPart
from boragespring.entry.requests import CompletionRequest
from boragespring.entry.shapes import COMPLETION_SHAPE
from boragespring.entry.streamed import StreamedAnswer
from boragespring.settings import CallerSettings


async def test_disconnect_before_headers_is_counted_as_caller_gone(monkeypatch):
    async def prepare(self, request):
        raise ConnectionResetError("closing transport")

    async def parts():
        yield AnswerPart(AnswerHandle(bytes(16), "agent-0", 0), ["a"])

    monkeypatch.setattr(web.StreamResponse, "prepare", prepare)
    body = CompletionRequest("m", "p", 1, True, False, {})
    answer = StreamedAnswer(CallerSettings(), body, COMPLETION_SHAPE, None, None)
    assert await answer.run(None, parts()) == "caller_gone"
