"""Callers that keep their connections, and what they received."""

import asyncio
import random
import time
from enum import StrEnum

import aiohttp
from attrs import define, field

from boragespring.platform import names
from boragespring.platform.soak.deployment import SoakDeployment, SoakGateway

__all__ = ["Callers", "Received", "RequestKind"]

REQUESTS_PER_S = 40.0
WHOLE_REMAINING_S = 1.5
STREAM_REMAINING_S = 12.0
#: Time beyond its own after which a caller without an end gives up.
END_SLACK_S = 2.0
EVENTS_MAX = 200
TOKENS_PER_EVENT = 4
KEYS = ("key-1", "key-2", "key-3")
#: One caller in so many leaves early.
LEAVES_EARLY_IN = 12


class RequestKind(StrEnum):
    """Kind of request, which tells what may be repeated."""

    BOOK = "book"
    LOOK = "look"
    DRAFT = "draft"


@define(eq=False)
class Received:
    """What one caller sent and received.

    Attributes
    ----------
    status : int
        Status of the answer; 0 when the connection ended without one.
    is_ended : bool
        Whether the caller got an end of any sort in its time.
    left : bool
        Whether the caller left by itself.
    start : int
        Start of the gateway's process that the request was sent to.
    """

    request_id: str
    kind: RequestKind
    key: str
    gateway: SoakGateway
    sent_at_s: float
    events_due: int = 0
    start: int = 0
    status: int = 0
    body: bytes = b""
    answered_id: str = ""
    is_complete: bool = False
    is_ended: bool = False
    left: bool = False
    ended_at_s: float = 0.0
    headers: dict[str, str] = field(factory=dict)


class Callers:
    """Send requests at a steady rate over connections that are kept.

    Parameters
    ----------
    deployment : SoakDeployment
        Gateways to call.
    chance : random.Random
        Draws kinds, keys and sizes.
    """

    def __init__(self, deployment: SoakDeployment, chance: random.Random) -> None:
        self._deployment = deployment
        self._chance = chance
        self.received: list[Received] = []

    async def run(self, duration_s: float) -> None:
        """Send for a while, and wait for every end."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            asyncio.TaskGroup() as group,
        ):
            until_s = time.monotonic() + duration_s
            while time.monotonic() < until_s:
                group.create_task(self._call(session, self._draw()))
                await asyncio.sleep(self._chance.expovariate(REQUESTS_PER_S))

    def _draw(self) -> Received:
        kind = self._chance.choices(tuple(RequestKind), (5, 3, 2))[0]
        gateway = self._deployment.choose(self._chance.randrange(1000))
        one = Received(
            request_id=f"{len(self.received):x}-{self._chance.getrandbits(48):x}",
            kind=kind,
            key=self._chance.choice(KEYS),
            gateway=gateway,
            sent_at_s=time.monotonic(),
            start=gateway.starts,
        )
        if kind is RequestKind.DRAFT:
            one.events_due = self._chance.randint(1, EVENTS_MAX)
        one.left = self._chance.randrange(LEAVES_EARLY_IN) == 0
        self.received.append(one)
        return one

    async def _call(self, session: aiohttp.ClientSession, one: Received) -> None:
        is_draft = one.kind is RequestKind.DRAFT
        remaining_s = STREAM_REMAINING_S if is_draft else WHOLE_REMAINING_S
        patience_s = remaining_s + END_SLACK_S
        if one.left:
            patience_s = self._chance.uniform(0.01, 0.3)
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(session, one, remaining_s)
        except (aiohttp.ClientError, OSError):
            one.is_ended = True
        except TimeoutError:
            one.is_ended = one.left
        one.ended_at_s = time.monotonic()

    async def _exchange(
        self, session: aiohttp.ClientSession, one: Received, remaining_s: float
    ) -> None:
        headers = {
            "Host": self._deployment.platform.host,
            names.REQUEST_ID: one.request_id,
            names.TIME_REMAINING_MS: str(round(remaining_s * 1000)),
            names.CREDENTIAL: one.key,
        }
        if one.events_due:
            tokens = one.events_due * TOKENS_PER_EVENT
            headers[names.TOKEN_COUNTS] = f"200,{tokens}"
            headers[names.PROMPT_PARTS] = f"{one.request_id[:4]}:200"
        url = f"{one.gateway.url}/{one.kind.value}/x"
        async with session.post(url, headers=headers, data=b"b") as response:
            one.status = response.status
            one.headers = dict(response.headers)
            one.answered_id = response.headers.get(names.REQUEST_ID, "")
            async for data in response.content.iter_any():
                one.body += data
        one.is_complete = one.is_ended = True
