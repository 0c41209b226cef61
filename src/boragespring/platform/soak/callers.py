"""Callers of a soak run and records of what they received."""

import asyncio
import copy
import random
import time
from enum import StrEnum

import aiohttp
from attrs import define, field

from boragespring.platform import names
from boragespring.platform.soak.deployment import SoakDeployment
from boragespring.platform.soak.soak_gateway import SoakGateway
from boragespring.platform.soak.suspension import await_in_running_time

__all__ = ["CallRecord", "Callers", "RequestKind"]

BUFFERED_TIME_REMAINING_S = 1.5
STREAM_TIME_REMAINING_S = 12.0
#: Time beyond the deadline of a request after which its caller closes. Times for
#: which the run suspends the gateway don't count.
TIMEOUT_TOLERANCE_S = 2.0
EVENTS_MAX = 200
TOKENS_PER_EVENT = 4
PROMPT_TOKENS = 200
PART_TOKENS_MAX = 60
KEYS = ("key-1", "key-2", "key-3")
#: Part of the prompts with which a run crashes its engine during some faults, and time
#: between two requests with it.
CRASHING_PART = "crashing"
CRASHING_INTERVAL_S = 0.12
#: The same part behind many others, of which few have a token.
DEEP_PART = "crashing-deep"
PARTS_BEFORE = 40
#: Body of the requests that crash their servers during other faults, and of those whose
#: query differs each time.
CRASHING_BODY = b"crashing"
VARYING_BODY = b"crashing whatever the query"
#: Query of the requests without a body that crash their servers. Others differ in it.
CRASHING_QUERY = "?id=13"
#: Number of parts with which prompts begin.
FIRST_PARTS = 3
#: One caller in this many disconnects early.
EARLY_DISCONNECT_ONE_IN = 12


class RequestKind(StrEnum):
    """Kind of request; its value is the first segment of the path."""

    BOOK = "book"
    LOOK = "look"
    DRAFT = "draft"


METHODS = {RequestKind.BOOK: "POST", RequestKind.LOOK: "GET", RequestKind.DRAFT: "POST"}
#: Methods and targets of the requests that crash their servers by their query.
CRASHING_LINES = tuple(
    f"{method} /{kind.value}/x{CRASHING_QUERY}" for kind, method in METHODS.items()
)


@define(eq=False)
class CallRecord:
    """Request of a caller and the response to it.

    Attributes
    ----------
    request_id : str
        ID that the request was sent with.
    kind : RequestKind
        Kind of the request.
    key : str
        API key of the caller.
    request_body : bytes or None
        Body of the request; None for its identifier.
    query : str
        Query of the request, with its question mark.
    parts : tuple of str
        Parts of the prompt that other requests may share; empty for other requests.
    gateway : SoakGateway
        Gateway that the request was sent to.
    sent_at_s, ended_at_s : float
        Monotonic times of the start and the end of the call.
    expected_events : int
        Number of events of a complete stream; 0 for other requests.
    gateway_start_count : int
        Number of starts of the gateway when the request was sent; identifies the
        process.
    status : int
        HTTP status; 0 if the connection closed without a response.
    body : bytes
        Received part of the response body.
    reply_request_id : str
        Request ID in the response.
    is_complete : bool
        Whether the complete response was received.
    is_ended : bool
        Whether the response or the connection ended before the timeout.
    was_in_rotation : bool
        Whether the gateway was in rotation when the request was sent. If none is, any
        gateway is called.
    is_connection_refused : bool
        Whether no connection was established, so that nobody read the request.
    disconnects_early : bool
        Whether the caller disconnects on purpose.
    headers : dict of str to str
        Headers of the response.
    time_remaining_s : float
        Time in seconds for which the caller waits.
    sent_whole_at_s : float
        Monotonic time at which the last byte was sent; infinite if it was not.
    is_on_kept_connection : bool
        Whether the connection is used until the gateway closes it, and was used before.
    """

    request_id: str
    kind: RequestKind
    key: str
    gateway: SoakGateway
    sent_at_s: float
    request_body: bytes | None = None
    query: str = ""
    parts: tuple[str, ...] = ()
    expected_events: int = 0
    gateway_start_count: int = 0
    status: int = 0
    body: bytes = b""
    reply_request_id: str = ""
    is_complete: bool = False
    is_ended: bool = False
    was_in_rotation: bool = True
    is_connection_refused: bool = False
    disconnects_early: bool = False
    ended_at_s: float = 0.0
    headers: dict[str, str] = field(factory=dict)
    time_remaining_s: float = float("inf")
    sent_whole_at_s: float = float("inf")
    is_on_kept_connection: bool = False

    @property
    def met_no_gateway(self) -> bool:
        """Whether no gateway was in rotation, and the one called was not up."""
        return self.is_connection_refused and not self.was_in_rotation


class Callers:
    """Send requests at a constant mean rate over persistent connections.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment whose gateways are called.
    rng : random.Random
        Generates the kinds, API keys and sizes of the requests.
    requests_per_s : float
        Mean rate.

    Attributes
    ----------
    records : list of CallRecord
        Records of all requests, in the order in which they were created.
    """

    def __init__(
        self, deployment: SoakDeployment, rng: random.Random, requests_per_s: float
    ) -> None:
        self._requests_per_s = requests_per_s
        self._deployment = deployment
        self._rng = rng
        #: Kind of the requests that crash their servers by their bodies, drawn from a
        #: copy, so that seeds keep the other requests that they had.
        self._crashing_kind = copy.copy(rng).choice(list(RequestKind))
        self.records: list[CallRecord] = []

    async def run(self, duration_s: float) -> None:
        """Send requests for `duration_s` seconds and wait until all have ended."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            asyncio.TaskGroup() as group,
        ):
            end_s = time.monotonic() + duration_s
            group.create_task(self._send_crashing(session, group, end_s))
            while time.monotonic() < end_s:
                group.create_task(self._call(session, self._create_record()))
                await asyncio.sleep(self._rng.expovariate(self._requests_per_s))

    async def _send_crashing(
        self, session: aiohttp.ClientSession, group: asyncio.TaskGroup, end_s: float
    ) -> None:
        """Send requests that crash their servers, to all gateways in turn."""
        platform = self._deployment.platform
        number = 0
        while time.monotonic() < end_s:
            await asyncio.sleep(CRASHING_INTERVAL_S)
            if platform.crashing_parts:
                number += 1
                record = self._create_crashing(number, RequestKind.DRAFT)
                parts = _parts_before(number, platform.crashing_parts)
                record.parts = (*record.parts, *parts, *platform.crashing_parts)
                group.create_task(self._call(session, record))
            for body in platform.crashing.points:
                number += 1
                record = self._create_crashing(number, self._crashing_kind)
                record.request_body = body
                record.query = f"?n={number}" if body == VARYING_BODY else ""
                group.create_task(self._call(session, record))
            queries = (CRASHING_QUERY, f"?id={number + 100}")
            for query in queries if platform.crashing.line_points else ():
                number += 1
                record = self._create_crashing(number, self._crashing_kind)
                record.request_body = b""
                record.query = query
                group.create_task(self._call(session, record))

    def _create_crashing(self, number: int, kind: RequestKind) -> CallRecord:
        gateway = self._deployment.select_gateway(number)
        is_draft = kind is RequestKind.DRAFT
        record = CallRecord(
            request_id=f"{CRASHING_PART}-{number}",
            kind=kind,
            key=KEYS[-1],
            gateway=gateway,
            sent_at_s=time.monotonic(),
            expected_events=EVENTS_MAX // 10 if is_draft else 0,
            gateway_start_count=gateway.start_count,
            was_in_rotation=gateway.is_in_rotation,
            parts=(f"first-{number % FIRST_PARTS}",),
        )
        self.records.append(record)
        return record

    def _create_record(self) -> CallRecord:
        kind = self._rng.choices(tuple(RequestKind), (5, 3, 2))[0]
        gateway = self._deployment.select_gateway(self._rng.randrange(1000))
        record = CallRecord(
            request_id=f"{len(self.records):x}-{self._rng.getrandbits(48):x}",
            kind=kind,
            key=self._rng.choice(KEYS),
            gateway=gateway,
            sent_at_s=time.monotonic(),
            gateway_start_count=gateway.start_count,
            was_in_rotation=gateway.is_in_rotation,
        )
        if kind is RequestKind.DRAFT:
            record.expected_events = self._rng.randint(1, EVENTS_MAX)
            record.parts = (f"first-{len(self.records) % FIRST_PARTS}",)
        record.disconnects_early = self._rng.randrange(EARLY_DISCONNECT_ONE_IN) == 0
        self.records.append(record)
        return record

    async def _call(self, session: aiohttp.ClientSession, record: CallRecord) -> None:
        is_draft = record.kind is RequestKind.DRAFT
        remaining_s = STREAM_TIME_REMAINING_S if is_draft else BUFFERED_TIME_REMAINING_S
        timeout_s = remaining_s + TIMEOUT_TOLERANCE_S
        record.time_remaining_s = remaining_s
        # aiohttp does not say when, and the bodies are small.
        record.sent_whole_at_s = record.sent_at_s
        suspensions = record.gateway.suspensions
        if record.disconnects_early:
            timeout_s = self._rng.uniform(0.01, 0.3)
            suspensions = []
        call = self._send_request(session, record, remaining_s)
        try:
            await await_in_running_time(call, suspensions, timeout_s)
        except aiohttp.ClientError as error:
            record.is_ended = True
            record.is_connection_refused = isinstance(
                error, aiohttp.ClientConnectorError
            )
        except TimeoutError:
            # This is an OSError too.
            record.is_ended = record.disconnects_early
        except OSError:
            record.is_ended = True
        record.ended_at_s = time.monotonic()

    async def _send_request(
        self, session: aiohttp.ClientSession, record: CallRecord, remaining_s: float
    ) -> None:
        headers = {
            "Host": self._deployment.platform.host,
            names.REQUEST_ID: record.request_id,
            names.TIME_REMAINING_MS: str(round(remaining_s * 1000)),
            names.CREDENTIAL: record.key,
        }
        if record.expected_events:
            tokens = record.expected_events * TOKENS_PER_EVENT
            headers[names.TOKEN_COUNTS] = f"{PROMPT_TOKENS},{tokens}"
            parts = (*record.parts, record.request_id)
            tokens = min(PART_TOKENS_MAX, PROMPT_TOKENS // len(parts))
            headers[names.PROMPT_PARTS] = ",".join(f"{part}:{tokens}" for part in parts)
        url = f"{record.gateway.url}/{record.kind.value}/x{record.query}"
        body = record.request_body
        if body is None:
            # Requests with equal bodies would be the same.
            body = record.request_id.encode()
        method = METHODS[record.kind]
        async with session.request(method, url, headers=headers, data=body) as response:
            record.status = response.status
            record.headers = dict(response.headers)
            record.reply_request_id = response.headers.get(names.REQUEST_ID, "")
            async for chunk in response.content.iter_any():
                record.body += chunk
        record.is_complete = record.is_ended = True


def _parts_before(number: int, crashing_parts: set[str]) -> tuple[str, ...]:
    """Return the parts that stand before the one that crashes engines."""
    if DEEP_PART not in crashing_parts:
        return ()
    return tuple(f"before-{number}-{place}" for place in range(PARTS_BEFORE))
