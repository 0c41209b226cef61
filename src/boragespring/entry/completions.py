"""HTTP handlers for completions and chat completions."""

import contextlib
import time
from collections.abc import AsyncGenerator, Iterator

from aiohttp import web
from attrs import Factory, define

from boragespring.answers import (
    AnswerError,
    AnswerHandle,
    AnswerPart,
    IdempotencyCache,
    RequestRunner,
)
from boragespring.answers.messages import SubmitGeneration
from boragespring.entry.accounts import Accounts, Caller, authenticate
from boragespring.entry.keys import read_idempotency_key, request_digest
from boragespring.entry.problems import Problem
from boragespring.entry.requests import (
    CompletionRequest,
    read_chat_request,
    read_completion_request,
)
from boragespring.entry.shapes import (
    CHAT_SHAPE,
    COMPLETION_SHAPE,
    AnswerRenderer,
    AnswerShape,
    usage,
)
from boragespring.entry.streamed import StreamedAnswer
from boragespring.entry.timing import AnswerTimer
from boragespring.limits import LimitExceededError, Permit, RequestLimiter
from boragespring.metrics import AnswerMetrics
from boragespring.settings import CallerSettings

__all__ = ["CompletionHandlers"]

LAST_EVENT_ID_HEADER = "Last-Event-ID"
#: Placeholder request for resuming an answer by its handle, which has no body.
_RESUMED_REQUEST = CompletionRequest("", "", 1, True, True, {})


class CompletionHandlers:
    """Serve ``/v1/completions``, ``/v1/chat/completions`` and ``/v1/models``.

    Parameters
    ----------
    settings : CallerSettings
        Token limits and write timeout for callers.
    accounts : Accounts
        API keys and permissions of workspaces.
    runner : RequestRunner
        Runs generations at the agents.
    idempotency_cache : IdempotencyCache
        Answers that are kept for retries with the same key.
    metrics : AnswerMetrics
        Counters and histograms of answers.
    limits : RequestLimiter
        Request, token and concurrency limits of workspaces.
    """

    def __init__(
        self,
        settings: CallerSettings,
        accounts: Accounts,
        runner: RequestRunner,
        idempotency_cache: IdempotencyCache[list[AnswerPart]],
        metrics: AnswerMetrics,
        limits: RequestLimiter,
    ) -> None:
        self._settings = settings
        self._accounts = accounts
        self._limits = limits
        self._runner = runner
        self._idempotency_cache = idempotency_cache
        self._metrics = metrics

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_post("/v1/completions", self.completions)
        app.router.add_post("/v1/chat/completions", self.chat_completions)
        app.router.add_get("/v1/models", self.models)
        app.router.add_get("/v1/answers/{handle}", self.resume)
        app.router.add_delete("/v1/answers/{handle}", self.cancel)

    async def models(self, request: web.Request) -> web.Response:
        """List the models that the caller is allowed to use."""
        caller = authenticate(request, self._accounts)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "boragespring"}
            for name in self._accounts.models(caller.workspace)
        ]
        return web.json_response({"object": "list", "data": data})

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """Serve a completion."""
        caller = authenticate(request, self._accounts)
        body = await read_completion_request(request, self._settings)
        return await self._serve(request, caller, body, COMPLETION_SHAPE)

    async def chat_completions(self, request: web.Request) -> web.StreamResponse:
        """Serve a chat completion."""
        caller = authenticate(request, self._accounts)
        body = await read_chat_request(request, self._settings)
        return await self._serve(request, caller, body, CHAT_SHAPE)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Resume a streamed answer after the position in its handle."""
        caller = authenticate(request, self._accounts)
        handle = _parse_handle(request.match_info["handle"])
        shape = CHAT_SHAPE if request.query.get("format") == "chat" else None
        return await self._resume(
            request, caller, handle, _RESUMED_REQUEST, shape or COMPLETION_SHAPE
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel the generation of an answer."""
        caller = authenticate(request, self._accounts)
        handle = _parse_handle(request.match_info["handle"])
        await self._runner.client.cancel(handle, caller.workspace)
        return web.json_response({"cancelled": True})

    async def _resume(
        self,
        request: web.Request,
        caller: Caller,
        handle: AnswerHandle,
        body: CompletionRequest,
        shape: AnswerShape,
    ) -> web.StreamResponse:
        parts = self._runner.resume(handle, caller.workspace, caller.deadline_s)
        # The answer was already admitted, so it is not rejected by a limit now.
        permit = self._limits.readmit(caller.workspace)
        with permit, self._count_outcome(caller) as outcome:
            return await self._stream(
                request, caller, parts, body, shape, permit, outcome
            )

    async def _stream(
        self,
        request: web.Request,
        caller: Caller,
        parts: AsyncGenerator[AnswerPart, None],
        body: CompletionRequest,
        shape: AnswerShape,
        permit: Permit,
        outcome: "_Outcome",
    ) -> web.StreamResponse:
        timer = self._create_timer(caller, outcome.started_s)
        stream = StreamedAnswer(self._settings, body, shape, timer, permit)
        async with contextlib.aclosing(parts):
            outcome.code = await stream.run(request, parts)
        return stream.response

    @contextlib.contextmanager
    def _count_outcome(self, caller: Caller) -> Iterator["_Outcome"]:
        """Count a request as running, and then under its outcome code."""
        outcome = _Outcome()
        self._metrics.running.inc()
        try:
            yield outcome
        except LimitExceededError as error:
            outcome.code = error.kind.value
            raise
        except AnswerError as error:
            outcome.code = error.code
            raise
        finally:
            self._metrics.running.dec()
            self._metrics.count_request(
                caller.workspace, caller.traffic_class, outcome.code
            )

    async def _serve(
        self,
        request: web.Request,
        caller: Caller,
        body: CompletionRequest,
        shape: AnswerShape,
    ) -> web.StreamResponse:
        service = self._accounts.service_of_model(caller.workspace, body.model)
        if service is None:
            # The plan of the workspace determines which models it can use.
            message = f"model: {body.model!r} is not in the plan; see GET /v1/models"
            raise Problem(404, "unknown_model", message, field="model")
        last_event_id = request.headers.get(LAST_EVENT_ID_HEADER, "")
        if body.stream and last_event_id:
            handle = _parse_handle(last_event_id)
            return await self._resume(request, caller, handle, body, shape)
        submit = _build_submit(caller, body)
        with self._count_outcome(caller) as outcome:
            with await self._limits.admit(caller.workspace) as permit:
                if body.stream:
                    parts = self._runner.stream(service, submit)
                    return await self._stream(
                        request, caller, parts, body, shape, permit, outcome
                    )
                buffered_parts = await self._run_buffered(request, service, submit)
                response = self._build_response(buffered_parts, caller, body, shape)
                permit.charge(response.total_tokens)
            outcome.code = "ok"
            return response.response

    async def _run_buffered(
        self, request: web.Request, service: str, submit: SubmitGeneration
    ) -> list[AnswerPart]:
        """Return the parts of a complete answer.

        With an idempotency key, a retry gets the answer to the first request.
        """
        key = read_idempotency_key(request)
        if not key:
            return await self._runner.collect(service, submit)
        digest = await request_digest(request)
        return await self._idempotency_cache.run(
            submit.workspace,
            key,
            digest,
            lambda: self._runner.collect(service, submit),
        )

    def _build_response(
        self,
        parts: list[AnswerPart],
        caller: Caller,
        body: CompletionRequest,
        shape: AnswerShape,
    ) -> "_BufferedResponse":
        timer = self._create_timer(caller, time.monotonic())
        last = parts[-1]
        assert last.finished is not None
        text = "".join(text for part in parts for text in part.texts)
        timer.record_end(last.finished.total_tokens)
        counts = usage(last.finished.prompt_tokens, last.finished.total_tokens)
        renderer = AnswerRenderer(shape, last.handle, body.model)
        response = web.json_response(
            renderer.buffered_body(text, last.finished.finish_reason, counts)
        )
        return _BufferedResponse(response, last.finished.total_tokens)

    def _create_timer(self, caller: Caller, started_s: float) -> AnswerTimer:
        histograms = self._metrics.histograms_for(
            caller.workspace, caller.traffic_class
        )
        return AnswerTimer(histograms, started_s)


@define
class _Outcome:
    """Start time of a request and the code that it is counted under.

    The time to first token is measured from this start, so it includes the wait
    for admission by the limits of the workspace.
    """

    code: str = "cancelled"
    started_s: float = Factory(time.monotonic)


@define
class _BufferedResponse:
    """Response for an answer that is not streamed, and its token count."""

    response: web.Response
    total_tokens: int


def _parse_handle(text: str) -> AnswerHandle:
    handle = AnswerHandle.parse(text)
    if handle is None:
        message = "the handle is not a valid answer event ID"
        raise Problem(404, "unknown_answer", message)
    return handle


def _build_submit(caller: Caller, body: CompletionRequest) -> SubmitGeneration:
    # The answer ID and the limit, which is the position up to which the agent is
    # allowed to send tokens, are set for each attempt.
    return SubmitGeneration(
        answer_id=b"",
        workspace=caller.workspace,
        traffic_class=caller.traffic_class,
        priority=caller.priority,
        weight=caller.weight,
        model=body.model,
        prompt=body.prompt,
        prompt_tokens=body.prompt_tokens,
        max_tokens=body.max_tokens,
        parameters=body.parameters,
        deadline_in_s=caller.deadline_s,
        limit=0,
    )
