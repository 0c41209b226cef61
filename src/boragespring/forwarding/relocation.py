"""Move runs away from a server that leaves, in the order that saves most."""

import asyncio
import random
import time
from collections.abc import Iterable

from attrs import frozen

from boragespring.catalog import EngineProfile
from boragespring.fleet import BackendServer
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    CopyRefusedError,
    ForwardingError,
    RunNotFoundError,
)
from boragespring.forwarding.messages import PromptShape
from boragespring.forwarding.placement import (
    EngineLoad,
    PlacementView,
    choose_server,
)
from boragespring.forwarding.running import Handover, RunningStream

__all__ = ["RelocationSettings", "Relocations", "copy_time_s", "order_of_moves"]


@frozen
class RelocationSettings:
    """How runs are moved.

    Parameters
    ----------
    notice_s : float
        Time between the word that a server leaves and its end.
    small_copy_s : float
        A copy that took less is followed by the last one, which stops the run.
    copies_max : int
        Most copies before the last one.
    waiting_pause_s : float
        Pause before a run that has not started is looked at again.
    token_interval_s : float
        Usual time between two tokens.
    zone_factor : float
        How much longer a copy to another availability zone takes.
    parallel_moves : int
        Runs of one server that are moved at the same time.
    stagger_max_s : float
        Longest pause before a target is chosen, so that gateways which move
        runs off the same server learn of each other's choices.
    """

    notice_s: float = 1.6
    small_copy_s: float = 0.03
    copies_max: int = 4
    waiting_pause_s: float = 0.03
    token_interval_s: float = 0.009
    zone_factor: float = 2.0
    parallel_moves: int = 2
    stagger_max_s: float = 0.02


def copy_time_s(memory_tokens: float, engine: EngineProfile) -> float:
    """Return how long a copy within the availability zone takes."""
    if engine.link_mbps <= 0:
        return 0.0
    return memory_tokens * engine.token_bytes * 8 / (engine.link_mbps * 1e6)


def order_of_moves(
    streams: Iterable[RunningStream], settings: RelocationSettings
) -> list[RunningStream]:
    """Return the streams that need a move, those that cost least time first.

    A stream that ends by itself before its server does is left where it is,
    behind all others.
    """

    def rank(stream: RunningStream) -> tuple[bool, int]:
        ends_in_s = stream.tokens_left * settings.token_interval_s
        return ends_in_s < settings.notice_s / 2, stream.memory_tokens

    return sorted(streams, key=rank)


class Relocations:
    """Streams by server; those of a leaving server are moved.

    Parameters
    ----------
    context : ForwardingContext
        Fleet, calls and log.
    settings : RelocationSettings
        How runs are moved.
    """

    def __init__(
        self, context: ForwardingContext, settings: RelocationSettings
    ) -> None:
        self._context = context
        self._settings = settings
        self._streams: dict[str, RunningStream] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        context.fleet.leave_hooks.append(self._on_leave)

    def add(self, stream: RunningStream) -> None:
        """Take a stream into care."""
        self._streams[stream.job.request_id] = stream
        if stream.server.is_leaving:
            self._on_leave(stream.server)

    def remove(self, stream: RunningStream) -> None:
        """Forget a stream that has ended."""
        self._streams.pop(stream.job.request_id, None)

    def _on_leave(self, server: BackendServer) -> None:
        if server.server_id in self._tasks:
            return
        task = asyncio.create_task(self._evacuate(server))
        self._tasks[server.server_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(server.server_id, None))

    async def _evacuate(self, server: BackendServer) -> None:
        """Move the runs of a server until none is left."""
        moving: dict[str, asyncio.Task[None]] = {}
        while True:
            moving = {name: task for name, task in moving.items() if not task.done()}
            waiting = [
                stream
                for stream in self._streams.values()
                if stream.server is server and stream.job.request_id not in moving
            ]
            if not waiting and not moving:
                return
            ready = [stream for stream in waiting if self._can_move(stream)]
            free = self._settings.parallel_moves - len(moving)
            for stream in order_of_moves(ready, self._settings)[: max(0, free)]:
                moving[stream.job.request_id] = asyncio.create_task(self._move(stream))
            await asyncio.sleep(self._settings.waiting_pause_s)

    def _can_move(self, stream: RunningStream) -> bool:
        engine = stream.job.service.engine
        return (
            engine is not None
            and engine.can_move
            and stream.is_started
            and stream.handover is None
        )

    async def _move(self, stream: RunningStream) -> None:
        source, run_id = stream.server, stream.job.request_id
        await asyncio.sleep(random.uniform(0.0, self._settings.stagger_max_s))
        target = self._choose_target(stream)
        if target is None:
            return
        # The target counts the run from now on, here and at other gateways.
        target.runs[run_id] = stream.load
        self._context.tell_loads()
        started_s = time.monotonic()
        try:
            copies = await self._copy_while_running(stream, target)
            await self._hand_over(stream, target)
        except ForwardingError as error:
            self._context.fleet.run_ended(target, run_id)
            self._note_failure(stream, target, error)
            return
        self._context.log.request(
            "moved",
            run_id,
            source=source.server_id,
            target=target.server_id,
            memory_tokens=stream.memory_tokens,
            copies=copies,
            took_s=round(time.monotonic() - started_s, 3),
        )

    def _note_failure(
        self, stream: RunningStream, target: BackendServer, error: ForwardingError
    ) -> None:
        if isinstance(error, RunNotFoundError):
            # The run has ended meanwhile, or has been preempted and waits.
            return
        stream.refused_by.add(target.server_id)
        self._context.log.failure(
            "move_failed",
            stream.job.request_id,
            source=stream.server.server_id,
            target=target.server_id,
            memory_tokens=stream.memory_tokens,
            target_runs=target.open_runs,
            target_memory_tokens=round(target.memory_tokens),
            reason=f"{type(error).__name__}: {error}",
        )

    async def _copy_while_running(
        self, stream: RunningStream, target: BackendServer
    ) -> int:
        """Copy until little is new, while the run goes on."""
        source, run_id = stream.server, stream.job.request_id
        for copies in range(1, self._settings.copies_max + 1):
            begun_s = time.monotonic()
            await self._context.calls.copy_run(source, run_id, target.address, False)
            if time.monotonic() - begun_s < self._settings.small_copy_s:
                return copies
            if self._is_notice_over(source):
                return copies
        return self._settings.copies_max

    async def _hand_over(self, stream: RunningStream, target: BackendServer) -> None:
        """Stop the run and tell its carrier where it goes on."""
        source, run_id = stream.server, stream.job.request_id
        handover: asyncio.Future[Handover | None]
        handover = asyncio.get_running_loop().create_future()
        stream.handover = handover
        result: Handover | None = None
        try:
            copy = await self._context.calls.copy_run(
                source, run_id, target.address, True
            )
            result = Handover(source, target, copy.copy_id)
        except CopyRefusedError as error:
            if not error.copy_id:
                stream.handover = None
                raise
            # The run has stopped and can only go on where it was.
            result = Handover(source, source, error.copy_id)
        except ForwardingError:
            stream.handover = None
            raise
        finally:
            if not handover.done():
                handover.set_result(result)

    def _is_notice_over(self, server: BackendServer) -> bool:
        left_at_s = server.left_at_s
        if left_at_s is None:
            return False
        return time.monotonic() - left_at_s > 0.6 * self._settings.notice_s

    def _choose_target(self, stream: RunningStream) -> BackendServer | None:
        engine = stream.job.service.engine
        assert engine is not None
        now_s = time.monotonic()
        servers = [
            server
            for server in self._context.fleet.candidates(stream.job.service.name)
            if server is not stream.server and not server.is_suspected(now_s)
        ]
        willing = [one for one in servers if one.server_id not in stream.refused_by]
        if not willing:
            # All have refused; room may have come free since.
            stream.refused_by.clear()
        view = PlacementView(willing or servers, stream.server.availability_zone, now_s)
        left = PromptShape(stream.memory_tokens, round(stream.tokens_left))
        return choose_server(EngineLoad(left, engine), view, self._context.placement)
