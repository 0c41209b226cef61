"""Callers of a fault run and records of what they received."""

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
    """Kind of request.

    A keyed call has an idempotency key, an unkeyed one has none.
    """

    STREAM = "stream"
    BUFFERED = "whole"
    KEYED_CALL = "keyed_call"
    UNKEYED_CALL = "bare_call"


class Ending(StrEnum):
    """Outcome of an attempt as seen by its caller.

    CUT is a connection that closed before the end of the response; SILENT is a
    timeout.
    """

    COMPLETE = "complete"
    ERROR = "error"
    CUT = "cut"
    SILENT = "silent"


@frozen
class CallerPlan:
    """Request and the behavior of its caller.

    Parameters
    ----------
    marker : str
        Text that identifies the request in the ledgers.
    kind : RequestKind
        Kind of the request.
    tokens : int
        Number of tokens of the generation.
    first_entry : int
        Index of the entry that is called first; retries go to the next ones.
    start_s : float
        Start in seconds after the start of the run.
    disconnect_after_s : float or None
        Time after which the caller closes its first connection, in seconds; None
        if it does not.
    retries_after_disconnect : bool
        Whether a caller that disconnected sends its request again.
    has_duplicate : bool
        Whether a keyed call is sent to two entries at the same time.
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
        """Whether the caller retries after a connection that was cut."""
        return (
            self.retries_after_disconnect and self.kind is not RequestKind.UNKEYED_CALL
        )


@define
class Attempt:
    """HTTP request and its outcome.

    Parameters
    ----------
    marker : str
        Text that identifies this attempt in the ledgers.
    ending : Ending
        Outcome as seen by the caller.
    status : int
        HTTP status; 0 without a response.
    code : str
        Error code; empty without an error.
    not_run : bool or None
        Whether the error states that the request did not run; None without an
        error.
    text : str
        Body of a buffered response or message of an error.
    """

    marker: str
    ending: Ending = Ending.CUT
    status: int = 0
    code: str = ""
    not_run: bool | None = None
    text: str = ""


@define
class CallerRecord:
    """All attempts of a request and the tokens received.

    Parameters
    ----------
    plan : CallerPlan
        The request.
    attempts : list of Attempt
        Attempts in order.
    tokens : list of tuple of str and int
        Generation ID and token index of each received token.
    reported_tokens : int or None
        Number of tokens that the response reported.
    last_event_id : str
        ID of the last processed event of the stream.
    """

    plan: CallerPlan
    attempts: list[Attempt] = Factory(list)
    tokens: list[tuple[str, int]] = Factory(list)
    reported_tokens: int | None = None
    last_event_id: str = ""

    @property
    def ending(self) -> Ending:
        """Outcome of the last attempt."""
        return self.attempts[-1].ending if self.attempts else Ending.CUT


async def run_call(
    session: aiohttp.ClientSession,
    plan: CallerPlan,
    entry_url: Callable[[int], str | None],
) -> list[CallerRecord]:
    """Send a request until it has a final outcome.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client.
    plan : CallerPlan
        Request and behavior of its caller.
    entry_url : callable
        Returns the URL of the entry with a given index, or None if there is none.

    Returns
    -------
    list of CallerRecord
        One record, or two for a request with a duplicate.
    """
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
    """Caller that sends one request and retries it after cut connections."""

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
            # Only set after the event was processed, so that a resumed stream starts
            # with the next one.
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
