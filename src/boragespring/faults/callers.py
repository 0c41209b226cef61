"""Callers of a fault run: what they sent and what they received."""

import asyncio
import json
import re
from collections.abc import AsyncIterator, Callable
from enum import StrEnum

import aiohttp
from attrs import Factory, define, frozen

from boragespring.local import LOCAL_API_KEY, LOCAL_MODEL

__all__ = ["Attempt", "CallerPlan", "CallerRecord", "Ending", "RequestKind", "run_call"]

TOKEN_PATTERN = re.compile(r" g([0-9a-f]+):(\d+)")
ATTEMPTS_MAX = 40
RETRY_DELAY_S = 0.05
ATTEMPT_TIMEOUT_S = 30.0
DONE = "data: [DONE]"


class RequestKind(StrEnum):
    """Shapes of requests."""

    STREAM = "stream"
    BUFFERED = "whole"
    KEYED_CALL = "keyed_call"
    UNKEYED_CALL = "bare_call"


class Ending(StrEnum):
    """How one attempt ended for its caller."""

    COMPLETE = "complete"
    ERROR = "error"
    CUT = "cut"
    SILENT = "silent"


@frozen
class CallerPlan:
    """One request and how its caller behaves.

    Parameters
    ----------
    marker : str
        Text that the ledgers show.
    kind : RequestKind
        Shape of the request.
    tokens : int
        Length of the generation.
    first_entry : int
        Entry that is called first; repeats go to the next ones.
    start_s : float
        Start, from the start of the run.
    vanish_s : float or None
        Time after which the caller leaves its first connection and repeats.
    returns : bool
        Whether a caller that vanished repeats its request.
    has_twin : bool
        Whether a keyed call is sent at two entries at the same time.
    """

    marker: str
    kind: RequestKind
    tokens: int
    first_entry: int
    start_s: float
    disconnect_after_s: float | None = None
    retries_after_disconnect: bool = True
    has_duplicate: bool = False

    @property
    def retries(self) -> bool:
        """Whether the caller sends its request again after a cut connection."""
        return (
            self.retries_after_disconnect and self.kind is not RequestKind.UNKEYED_CALL
        )


@define
class Attempt:
    """One HTTP request and what came back.

    Parameters
    ----------
    marker : str
        Text by which the ledgers show this attempt and no other.
    ending : Ending
        How it ended.
    status, code : int and str
        HTTP status and error code.
    not_run : bool or None
        What an error said.
    text : str
        Answer as received.
    """

    marker: str
    ending: Ending = Ending.CUT
    status: int = 0
    code: str = ""
    not_run: bool | None = None
    text: str = ""


@define
class CallerRecord:
    """All attempts of one request, with the tokens of its stream."""

    plan: CallerPlan
    attempts: list[Attempt] = Factory(list)
    tokens: list[tuple[str, int]] = Factory(list)
    reported_tokens: int | None = None
    last_event_id: str = ""

    @property
    def ending(self) -> Ending:
        """How the request ended."""
        return self.attempts[-1].ending if self.attempts else Ending.CUT


async def run_call(
    session: aiohttp.ClientSession,
    plan: CallerPlan,
    entry_url: Callable[[int], str | None],
) -> list[CallerRecord]:
    """Send a request until it has a final answer; return what was received."""
    await asyncio.sleep(plan.start_s)
    caller_count = 2 if plan.has_duplicate else 1
    callers = [
        _Caller(session, CallerRecord(plan), entry_url, duplicate_number)
        for duplicate_number in range(caller_count)
    ]
    await asyncio.gather(*(caller.run() for caller in callers))
    return [caller.record for caller in callers]


@define
class _Caller:
    session: aiohttp.ClientSession
    record: CallerRecord
    entry_url: Callable[[int], str | None]
    duplicate_number: int

    async def run(self) -> None:
        plan = self.record.plan
        for number in range(ATTEMPTS_MAX):
            url = self.entry_url(plan.first_entry + self.duplicate_number + number)
            if url is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            attempt = Attempt(f"{plan.marker}.{self.duplicate_number}.{number}.")
            self.record.attempts.append(attempt)
            disconnect_after_s = plan.disconnect_after_s if number == 0 else None
            try:
                async with asyncio.timeout(disconnect_after_s or ATTEMPT_TIMEOUT_S):
                    await self._send(url, attempt)
            except TimeoutError:
                attempt.ending = Ending.CUT if disconnect_after_s else Ending.SILENT
            except (aiohttp.ClientError, OSError):
                attempt.ending = Ending.CUT
            if attempt.ending is not Ending.CUT or not plan.retries:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _send(self, url: str, attempt: Attempt) -> None:
        plan = self.record.plan
        headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
        if plan.kind in (RequestKind.STREAM, RequestKind.BUFFERED):
            path = f"{url}/v1/completions"
            body = json.dumps(_request_body(plan, attempt.marker)).encode()
        else:
            path = f"{url}/services/app-transporte/confirmations"
            body = plan.marker.encode()
            headers["X-Request-Id"] = attempt.marker
        if plan.kind is RequestKind.KEYED_CALL:
            headers["Idempotency-Key"] = plan.marker
        if self.record.last_event_id:
            headers["Last-Event-ID"] = self.record.last_event_id
        async with self.session.post(path, data=body, headers=headers) as response:
            attempt.status = response.status
            if response.content_type == "text/event-stream":
                await self._read_stream(response, attempt)
            else:
                await self._read_buffered(response, attempt)

    async def _read_buffered(
        self, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> None:
        attempt.text = (await response.read()).decode()
        body = json.loads(attempt.text)
        if "error" in body:
            _record_error(attempt, body["error"])
            return
        attempt.ending = Ending.COMPLETE
        if self.record.plan.kind is RequestKind.BUFFERED:
            self._record_tokens(body["choices"][0]["text"])
            self.record.reported_tokens = body["usage"]["completion_tokens"]

    async def _read_stream(
        self, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> None:
        async for event in _read_events(response):
            if event.get("event") == "error":
                _record_error(attempt, json.loads(event["data"])["error"])
            elif event["data"] == "[DONE]":
                attempt.ending = Ending.COMPLETE
            else:
                self._record_chunk(json.loads(event["data"]))
            # A caller remembers the place of what it has taken in, and no more.
            self.record.last_event_id = event.get("id", self.record.last_event_id)

    def _record_chunk(self, chunk: dict[str, object]) -> None:
        usage = chunk.get("usage")
        if isinstance(usage, dict):
            self.record.reported_tokens = usage["completion_tokens"]
        choices = chunk["choices"]
        assert isinstance(choices, list)
        for choice in choices:
            self._record_tokens(choice["text"])

    def _record_tokens(self, text: str) -> None:
        self.record.tokens.extend(
            (generation, int(index))
            for generation, index in TOKEN_PATTERN.findall(text)
        )


def _request_body(plan: CallerPlan, marker: str) -> dict[str, object]:
    body: dict[str, object] = {
        "model": LOCAL_MODEL,
        "prompt": f"request {marker}",
        "max_tokens": plan.tokens + 1,
        "standin_output_tokens": plan.tokens,
    }
    if plan.kind is RequestKind.STREAM:
        body |= {"stream": True, "stream_options": {"include_usage": True}}
    return body


def _record_error(attempt: Attempt, error: dict[str, object]) -> None:
    attempt.ending = Ending.ERROR
    attempt.code = str(error["code"])
    attempt.not_run = bool(error["not_run"])
    attempt.text = str(error["message"])


async def _read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[dict[str, str]]:
    fields: dict[str, str] = {}
    async for raw_line in response.content:
        line = raw_line.decode().rstrip("\n")
        if line:
            name, _, value = line.partition(": ")
            fields[name] = value
            continue
        yield fields
        fields = {}
