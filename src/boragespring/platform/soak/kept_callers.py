"""Callers of a soak run that use one connection until its gateway is gone."""

import asyncio
import itertools
import random
import time
from collections.abc import Iterable, Sequence
from http import HTTPStatus

from attrs import define, field

from boragespring.platform import names
from boragespring.platform.soak.callers import (
    KEYS,
    METHODS,
    TIMEOUT_TOLERANCE_S,
    TOKENS_PER_EVENT,
    CallRecord,
    RequestKind,
)
from boragespring.platform.soak.deployment import SoakDeployment
from boragespring.platform.soak.raw_connection import (
    RawConnection,
    RequestPiece,
    encode_head,
)
from boragespring.platform.soak.soak_gateway import SoakGateway
from boragespring.platform.soak.suspension import await_in_running_time

__all__ = ["KeptCallers"]

EVENTS_MIN, EVENTS_MAX = 3, 200
#: Numbers of prompt tokens. Engines read 1,000 a second.
PROMPT_TOKENS = (100, 300, 1000, 3000)
TIME_REMAINING_S = (2.5, 5.0, 8.0, 12.0, 39.0)
THINK_TIME_MAX_S, AFTER_REFUSAL_MAX_S = 0.4, 1.5
RECONNECT_DELAY_S = 0.1
#: One body in this many arrives in pieces.
PIECES_ONE_IN = 3
PIECES_MAX, PIECE_BYTES, PIECE_DELAY_MAX_S = 5, 300, 0.6


@define(eq=False)
class KeptCallers:
    """Callers with one connection each, which they leave only when it is closed.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment whose gateways are called.
    rng : random.Random
        Generates the requests.
    records : list of CallRecord
        Records of all requests, in the order in which they were created.
    """

    deployment: SoakDeployment
    rng: random.Random
    records: list[CallRecord] = field(factory=list)
    _is_ending: bool = False

    async def run(self, per_gateway: int) -> None:
        """Send requests until `end` is called and all have ended.

        Parameters
        ----------
        per_gateway : int
            Number of callers of each gateway.
        """
        async with asyncio.TaskGroup() as group:
            for gateway in self.deployment.gateways * per_gateway:
                group.create_task(self._keep_calling(gateway))

    def end(self) -> None:
        """Let each caller send no further request."""
        self._is_ending = True

    async def _keep_calling(self, gateway: SoakGateway) -> None:
        while not self._is_ending:
            try:
                connection = await RawConnection.open(
                    gateway.host, gateway.callers_port
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._use(gateway, connection)
            finally:
                connection.close()

    async def _use(self, gateway: SoakGateway, connection: RawConnection) -> None:
        while connection.is_open and not self._is_ending:
            record = self._create_record(gateway, connection)
            try:
                await await_in_running_time(
                    connection.exchange(self._pieces(record), record),
                    gateway.suspensions,
                    record.time_remaining_s + TIMEOUT_TOLERANCE_S,
                )
                record.is_ended = True
            except TimeoutError:
                # This is an OSError too.
                return
            except (OSError, EOFError):
                record.is_ended = True
                return
            finally:
                record.ended_at_s = time.monotonic()
            was_served = record.status == HTTPStatus.OK
            pause_max_s = THINK_TIME_MAX_S if was_served else AFTER_REFUSAL_MAX_S
            await asyncio.sleep(self.rng.uniform(0.0, pause_max_s))

    def _create_record(
        self, gateway: SoakGateway, connection: RawConnection
    ) -> CallRecord:
        rng = self.rng
        kind = rng.choices(tuple(RequestKind), (2, 1, 4))[0]
        record = CallRecord(
            request_id=f"k{len(self.records):x}-{rng.getrandbits(48):x}",
            kind=kind,
            key=rng.choice(KEYS),
            gateway=gateway,
            sent_at_s=time.monotonic(),
            gateway_start_count=gateway.start_count,
            was_in_rotation=gateway.is_in_rotation,
            time_remaining_s=rng.choice(TIME_REMAINING_S),
            is_on_kept_connection=connection.request_count > 0,
        )
        if kind is RequestKind.DRAFT:
            record.expected_events = rng.choice((rng.randint(EVENTS_MIN, 20), 60, 200))
            record.expected_events = min(record.expected_events, EVENTS_MAX)
        self.records.append(record)
        return record

    def _pieces(self, record: CallRecord) -> Sequence[RequestPiece]:
        body = record.request_id.encode()
        if self.rng.randrange(PIECES_ONE_IN):
            headers = {**self._headers(record), "Content-Length": str(len(body))}
            return [RequestPiece(self._head(record, headers) + body)]
        parts = [body, *itertools.repeat(b"x" * PIECE_BYTES, self._piece_count())]
        is_chunked = self.rng.randrange(2)
        framing = (
            {"Transfer-Encoding": "chunked"}
            if is_chunked
            else {"Content-Length": str(sum(map(len, parts)))}
        )
        head = self._head(record, {**self._headers(record), **framing})
        encoded = _encode_chunks(parts) if is_chunked else parts
        return [RequestPiece(head), *map(self._delayed, encoded)]

    def _piece_count(self) -> int:
        return self.rng.randint(1, PIECES_MAX)

    def _delayed(self, data: bytes) -> RequestPiece:
        return RequestPiece(data, self.rng.uniform(0.0, PIECE_DELAY_MAX_S))

    def _head(self, record: CallRecord, headers: dict[str, str]) -> bytes:
        return encode_head(METHODS[record.kind], f"/{record.kind.value}/x", headers)

    def _headers(self, record: CallRecord) -> dict[str, str]:
        headers = {
            "Host": self.deployment.platform.host,
            names.REQUEST_ID: record.request_id,
            names.TIME_REMAINING_MS: str(round(record.time_remaining_s * 1000)),
            names.CREDENTIAL: record.key,
        }
        if not record.expected_events:
            return headers
        tokens = self.rng.choice(PROMPT_TOKENS)
        output_tokens = record.expected_events * TOKENS_PER_EVENT
        prompt = {
            names.TOKEN_COUNTS: f"{tokens},{output_tokens}",
            names.PROMPT_PARTS: f"{record.request_id}:{tokens}",
        }
        return {**headers, **prompt}


def _encode_chunks(parts: Sequence[bytes]) -> Iterable[bytes]:
    yield from (b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    yield b"0\r\n\r\n"
