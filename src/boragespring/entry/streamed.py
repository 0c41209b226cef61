"""Streaming of an answer to its caller."""

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

#: Write buffer size from which a write waits for the caller to read.
BUFFER_MAX_BYTES = 32 * 2**10
STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
    "X-Accel-Buffering": "no",
}


class StreamedAnswer:
    """Write one answer to its caller as server-sent events.

    Parameters
    ----------
    settings : CallerSettings
        Holds the timeout for writes to a caller that does not read.
    body : CompletionRequest
        Request of the caller.
    shape : AnswerShape
        Response format of the API that the caller uses.
    timer : AnswerTimer
        Records the latency and length of the answer.
    permit : Permit
        Permit that is charged for the produced tokens.
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
        """Write all parts and return the outcome code.

        Errors before the first token are raised, so that they can still be sent
        as an HTTP status. Later errors are sent as an error event.
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
            # The agent keeps the answer for a while so that the caller can resume it.
            return "caller_gone"
        with contextlib.suppress(ConnectionError):
            await self.response.write_eof()
        return "ok"

    async def _write(self, renderer: AnswerRenderer, part: AnswerPart) -> None:
        """Write a part, waiting only if the write buffer is full."""
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
            message = f"the caller did not read for {self._write_timeout_s} s"
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
    """End a stream with an error event and without the ``[DONE]`` event."""
    body = json.dumps(problem_from_error(error).to_body())
    logging.vlog(1, "event=stream_failed code=%s", error.code)
    with contextlib.suppress(ConnectionError):
        await response.write(f"event: error\ndata: {body}\n\n".encode())
        await response.write_eof()
