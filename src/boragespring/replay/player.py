"""Replay of a trace against a running deployment."""

import asyncio
import json
import time
from collections.abc import Callable, Iterable, Mapping

import aiohttp
from attrs import Factory, define, field, frozen

from boragespring.engines.client import EngineError
from boragespring.engines.event_stream import EventSplitter
from boragespring.http.bounded_reply import create_connector
from boragespring.http.client_session import create_session
from boragespring.replay.measures import AnswerRecord
from boragespring.replay.trace import TraceRequest

__all__ = ["TracePlayer", "TracePlayerSettings"]

DONE_MARKER = b"[DONE]"


@frozen
class TracePlayerSettings:
    """Settings of a replay.

    Parameters
    ----------
    entry_urls : tuple of str
        Base URLs of the entries; requests are distributed round-robin.
    api_keys : mapping of str to str
        API key of each workspace.
    api_key : str
        API key of workspaces that have none in ``api_keys``.
    model : str
        Name of the model.
    speed : float
        Factor by which requests are sent faster than recorded.
    request_timeout_s : float
        Timeout of one request in seconds.
    """

    entry_urls: tuple[str, ...]
    api_keys: Mapping[str, str] = Factory(dict)
    api_key: str = ""
    model: str = ""
    speed: float = 1.0
    request_timeout_s: float = 900.0


@define(eq=False)
class TracePlayer:
    """Client that replays a trace.

    Parameters
    ----------
    settings : TracePlayerSettings
        Settings of the replay.
    on_request_end : callable
        Called when a request has ended.
    """

    settings: TracePlayerSettings
    on_request_end: Callable[[], None]
    _session: aiohttp.ClientSession = field(init=False)

    async def play(self, trace: Iterable[TraceRequest]) -> list[AnswerRecord]:
        """Send every request at its recorded time, divided by the speed.

        Parameters
        ----------
        trace : iterable of TraceRequest
            Requests in ascending order of time.

        Returns
        -------
        list of AnswerRecord
            One record per request, in the order of the trace.
        """
        timeout = aiohttp.ClientTimeout(total=self.settings.request_timeout_s)
        connector = create_connector(limit=0)
        started_s = time.monotonic()
        async with create_session(connector, timeout=timeout) as self._session:
            async with asyncio.TaskGroup() as tasks:
                started = []
                for index, request in enumerate(trace):
                    due_s = started_s + request.time_s / self.settings.speed
                    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                    started.append(
                        tasks.create_task(self._send_request(request, index))
                    )
        return [task.result() for task in started]

    async def _send_request(self, request: TraceRequest, index: int) -> AnswerRecord:
        record = AnswerRecord(
            request.workspace,
            request.traffic_class,
            time.monotonic(),
            prompt_tokens=request.prompt_tokens,
        )
        try:
            if request.service:
                await self._call_service(request, index, record)
            else:
                await self._generate(request, index, record)
        except (aiohttp.ClientError, EngineError, TimeoutError, ValueError) as error:
            record.outcome = f"error_{type(error).__name__}"
        record.ended_at_s = time.monotonic()
        self.on_request_end()
        return record

    async def _call_service(
        self, request: TraceRequest, index: int, record: AnswerRecord
    ) -> None:
        headers = self._headers(request)
        if not request.is_idempotent:
            headers["Idempotency-Key"] = f"replay-{record.sent_at_s:.6f}-{index}"
        url = f"{self._url(index)}/services/{request.service}/replay"
        async with self._session.post(url, json={}, headers=headers) as response:
            await response.read()
            record.outcome = "ok" if response.ok else f"status_{response.status}"

    async def _generate(
        self, request: TraceRequest, index: int, record: AnswerRecord
    ) -> None:
        body = {
            "model": self.settings.model,
            "prompt": request.prompt(index),
            "max_tokens": request.max_tokens,
            "stream": request.is_streamed,
            "standin_output_tokens": request.output_tokens,
        }
        async with self._session.post(
            f"{self._url(index)}/v1/completions",
            json=body,
            headers=self._headers(request),
        ) as response:
            if not response.ok:
                record.outcome = await _error_code(response)
            elif request.is_streamed:
                await _read_stream(response, record)
            else:
                await _read_buffered(response, record)

    def _url(self, index: int) -> str:
        urls = self.settings.entry_urls
        return urls[index % len(urls)].rstrip("/")

    def _headers(self, request: TraceRequest) -> dict[str, str]:
        key = self.settings.api_keys.get(request.workspace, self.settings.api_key)
        return {
            "Authorization": f"Bearer {key}",
            "X-Traffic-Class": request.traffic_class,
        }


async def _error_code(response: aiohttp.ClientResponse) -> str:
    try:
        error = (await response.json())["error"]
        return str(error["code"])
    except (ValueError, LookupError, TypeError, aiohttp.ClientError):
        return f"status_{response.status}"


async def _read_stream(response: aiohttp.ClientResponse, record: AnswerRecord) -> None:
    splitter = EventSplitter()
    is_done = False
    while chunk := await response.content.readany():
        now_s = time.monotonic()
        for payload in splitter.feed(chunk):
            if payload == DONE_MARKER:
                is_done = True
            elif _has_text(payload):
                record.token_times_s.append(now_s)
    # A stream that ends without the marker was aborted or ended with an error.
    record.outcome = "ok" if is_done else "stream_failed"


def _has_text(payload: bytes) -> bool:
    choices = json.loads(payload).get("choices")
    return bool(choices and choices[0].get("text"))


async def _read_buffered(
    response: aiohttp.ClientResponse, record: AnswerRecord
) -> None:
    body = await response.json()
    now_s = time.monotonic()
    record.token_times_s = [now_s] * int(body["usage"]["completion_tokens"])
    record.outcome = "ok"
