"""Write a streamed answer to its caller."""

import asyncio
import contextlib
import json
from collections.abc import AsyncGenerator

from absl import logging
from aiohttp import web
from aiohttp.http import StreamWriter

from boragespring.answers import AnswerError, AnswerPart
from boragespring.entry.problems import CallerTooSlowError, problem_from_error
from boragespring.entry.requests import CompletionRequest
from boragespring.entry.shapes import AnswerRenderer, AnswerShape, usage
from boragespring.entry.timing import AnswerTimer
from boragespring.limits import Permit
from boragespring.settings import CallerSettings

__all__ = ["StreamedAnswer"]

#: Bytes that may wait in a connection before its answer waits for the caller.
BUFFER_MAX_BYTES = 32 * 2**10
STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
    "X-Accel-Buffering": "no",
}


class StreamedAnswer:
    """One streamed answer on its way to its caller.

    Parameters
    ----------
    settings : CallerSettings
        Bounds of what a caller may take its time for.
    body : CompletionRequest
        What was asked for.
    shape : AnswerShape
        Interface that the caller speaks.
    timer : AnswerTimer
        Measures the answer.
    permit : Permit
        Slot that the produced tokens are charged to.
    """

    def __init__(
        self,
        settings: CallerSettings,
        body: CompletionRequest,
        shape: AnswerShape,
        timer: AnswerTimer,
        permit: Permit,
    ) -> None:
        self._permit = permit
        self._write_timeout_s = settings.write_timeout_s
        self._body = body
        self._shape = shape
        self._timer = timer
        self._writer: StreamWriter | None = None
        self.response = web.StreamResponse(headers=STREAM_HEADERS)

    async def run(
        self, request: web.Request, parts: AsyncGenerator[AnswerPart, None]
    ) -> str:
        """Write all parts; return the outcome's code.

        Errors before the first token are raised, so that they still become an
        HTTP status; later ones become an error event.
        """
        part = await anext(parts)
        try:
            writer = await self.response.prepare(request)
        except ConnectionError:
            return "caller_gone"
        assert isinstance(writer, StreamWriter)
        self._writer = writer
        renderer = AnswerRenderer(self._shape, part.handle, self._body.model)
        try:
            await self._write(renderer, part)
            async for part in parts:
                await self._write(renderer, part)
        except AnswerError as error:
            await _write_error(self.response, error)
            return error.code
        except (TimeoutError, ConnectionError):
            # The agent keeps the answer for a while, in case the caller resumes.
            return "caller_gone"
        with contextlib.suppress(ConnectionError):
            await self.response.write_eof()
        return "ok"

    async def _write(self, renderer: AnswerRenderer, part: AnswerPart) -> None:
        """Write a part; wait only when the caller takes too little."""
        assert self._writer is not None
        await self._writer.write(self._render(renderer, part), drain=False)
        transport = self._writer.transport
        if transport is None or transport.get_write_buffer_size() < BUFFER_MAX_BYTES:
            return
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await self._writer.drain()
        except TimeoutError as error:
            transport.abort()
            message = f"the caller took nothing for {self._write_timeout_s} s"
            raise CallerTooSlowError(message) from error

    def _render(self, renderer: AnswerRenderer, part: AnswerPart) -> bytes:
        self._permit.charge(len(part.texts))
        finished = part.finished
        if finished is None:
            self._timer.record_tokens(len(part.texts))
            return renderer.token_events(part.texts, part.handle.position)
        self._timer.record_end(finished.total_tokens)
        counts = usage(finished.prompt_tokens, finished.total_tokens)
        return renderer.final_events(
            finished.finish_reason, counts if self._body.include_usage else None
        )


async def _write_error(response: web.StreamResponse, error: AnswerError) -> None:
    """End a stream with an error event and without the final marker."""
    body = json.dumps(problem_from_error(error).to_body())
    logging.vlog(1, "event=stream_failed code=%s", error.code)
    with contextlib.suppress(ConnectionError):
        await response.write(f"event: error\ndata: {body}\n\n".encode())
        await response.write_eof()
