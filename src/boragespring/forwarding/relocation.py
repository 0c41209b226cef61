"""Move runs away from a server that leaves, in the order that saves most."""

import asyncio
import time
from collections.abc import Iterable

from attrs import evolve

from boragespring.catalog import EngineProfile
from boragespring.fleet import BackendServer
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    CopyRefusedError,
    ForwardingError,
    RunNotFoundError,
)
from boragespring.forwarding.evacuation import (
    Evacuation,
    LeavingRun,
    NoEvacuationPeers,
    TellsEvacuation,
)
from boragespring.forwarding.messages import PromptShape
from boragespring.forwarding.moves import RelocationSettings, copy_time_s, value_of
from boragespring.forwarding.placement import (
    EngineLoad,
    PlacementView,
    choose_server,
)
from boragespring.forwarding.running import Handover, RunningStream
from boragespring.forwarding.targets import RefusedTargets

__all__ = ["Relocations"]


class Relocations:
    """Streams by server; those of a leaving server are moved.

    Parameters
    ----------
    context : ForwardingContext
        Fleet, calls and log.
    settings : RelocationSettings
        How runs are moved.
    peers : TellsEvacuation, optional
        Other gateways.
    """

    def __init__(
        self,
        context: ForwardingContext,
        settings: RelocationSettings,
        peers: TellsEvacuation | None = None,
    ) -> None:
        self._context = context
        self._settings = settings
        self._peers = peers or NoEvacuationPeers()
        self._streams: dict[str, RunningStream] = {}
        self._evacuations: dict[str, Evacuation] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._asking: set[asyncio.Task[None]] = set()
        self._refused = RefusedTargets(
            settings.refusal_memory_s, settings.refusal_memory_max_s
        )
        context.fleet.leave_hooks.append(self._on_leave)

    def add(self, stream: RunningStream) -> None:
        """Take a stream into care."""
        self._streams[stream.job.request_id] = stream
        if stream.server.is_leaving:
            self._on_leave(stream.server)

    def remove(self, stream: RunningStream) -> None:
        """Forget a stream that has ended."""
        run_id = stream.job.request_id
        self._streams.pop(run_id, None)
        self._end(stream.server.server_id, run_id)
        self._drop_target(stream)

    def take_peer_runs(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Take in the runs that another gateway moves off a server."""
        server = self._context.fleet.find(server_id)
        if server is None:
            return
        self._context.fleet.mark_leaving(server, "told by another gateway")
        evacuation = self._evacuations.get(server_id)
        if evacuation is not None:
            evacuation.add(runs)

    def take_peer_end(self, server_id: str, run_id: str) -> None:
        """Note that another gateway's run no longer needs the server's link."""
        evacuation = self._evacuations.get(server_id)
        if evacuation is not None:
            evacuation.end(run_id)

    def _drop_target(self, stream: RunningStream) -> None:
        """Let the target of a move that came to nothing count the run no more."""
        target, stream.target = stream.target, None
        if target is not None:
            self._context.fleet.run_ended(target, stream.job.request_id)

    def _copy_s_per_token(self, server: BackendServer, engine: EngineProfile) -> float:
        """Return the time of a token's copy to the nearest possible target."""
        targets = self._context.fleet.candidates(server.registration.service)
        has_near = any(
            one.availability_zone == server.availability_zone for one in targets
        )
        factor = 1.0 if has_near else self._settings.zone_factor
        return factor * copy_time_s(1.0, engine)

    async def _ask_for_end(self, server: BackendServer, evacuation: Evacuation) -> None:
        """Learn from the server when it ends."""
        while server.server_id in self._tasks:
            try:
                report = await self._context.calls.fetch_report(server)
            except ForwardingError as error:
                self._context.log.belief(
                    "report_missing", server=server.server_id, reason=str(error)
                )
                return
            if report.leaves_in_s is not None:
                left_s = report.leaves_in_s - self._settings.report_age_s
                evacuation.ends_at_s = report.reported_at_s + left_s
                self._context.log.belief(
                    "server_end_known", server=server.server_id, in_s=round(left_s, 3)
                )
                return
            await asyncio.sleep(self._settings.ask_pause_s)

    def _end(self, server_id: str, run_id: str) -> None:
        evacuation = self._evacuations.get(server_id)
        if evacuation is not None:
            evacuation.end(run_id)
            self._peers.ended(server_id, run_id)

    def _on_leave(self, server: BackendServer) -> None:
        has_streams = any(one.server is server for one in self._streams.values())
        if server.server_id in self._tasks or not has_streams:
            return
        evacuation = Evacuation(
            ends_at_s=time.monotonic() + self._settings.notice_s,
            turn_slack_s=self._settings.turn_slack_s,
        )
        self._evacuations[server.server_id] = evacuation
        task = asyncio.create_task(self._evacuate(server, evacuation))
        self._tasks[server.server_id] = task
        task.add_done_callback(lambda _: self._forget(server.server_id))

    def _forget(self, server_id: str) -> None:
        self._tasks.pop(server_id, None)
        self._evacuations.pop(server_id, None)

    async def _evacuate(self, server: BackendServer, evacuation: Evacuation) -> None:
        """Move the runs of a server, in turn with other gateways."""
        asking = asyncio.create_task(self._ask_for_end(server, evacuation))
        self._asking.add(asking)
        asking.add_done_callback(self._asking.discard)
        announced: set[str] = set()
        while any(one.server is server for one in self._streams.values()):
            ready = {
                stream.job.request_id: stream
                for stream in self._streams.values()
                if stream.server is server and self._can_move(stream)
            }
            fresh = [
                self._leaving_run(stream)
                for run_id, stream in ready.items()
                if run_id not in announced
            ]
            if fresh:
                announced.update(run.run_id for run in fresh)
                evacuation.add(fresh)
                self._peers.announce(server.server_id, fresh)
                # The others announce theirs in the same moment.
                await asyncio.sleep(self._settings.announce_wait_s)
            engines = (stream.job.service.engine for stream in ready.values())
            engine = next(filter(None, engines), None)
            if engine is not None:
                evacuation.copy_s_per_token = self._copy_s_per_token(server, engine)
            head = evacuation.head()
            stream = ready.get(head.run_id) if head is not None else None
            if head is None or stream is None:
                await asyncio.sleep(self._settings.turn_pause_s)
            elif await self._move(stream):
                self._end(server.server_id, head.run_id)
            else:
                self._put_back(server, evacuation, stream, head)

    def _put_back(
        self,
        server: BackendServer,
        evacuation: Evacuation,
        stream: RunningStream,
        run: LeavingRun,
    ) -> None:
        """Let the other runs go first after a turn that came to nothing."""
        again = evolve(run, turn=run.turn + 1)
        stream.move_after_s = time.monotonic() + self._settings.retry_pause_s
        evacuation.add([again])
        self._peers.announce(server.server_id, [again])

    def _leaving_run(self, stream: RunningStream) -> LeavingRun:
        return LeavingRun(
            run_id=stream.job.request_id,
            memory_tokens=stream.memory_tokens,
            value=value_of(stream, self._settings),
            ends_in_s=stream.tokens_left * self._settings.token_interval_s,
        )

    def _can_move(self, stream: RunningStream) -> bool:
        engine = stream.job.service.engine
        return (
            engine is not None
            and engine.can_move
            and stream.is_started
            and stream.handover is None
            and stream.move_after_s <= time.monotonic()
        )

    async def _move(self, stream: RunningStream) -> bool:
        """Move one run; return whether it needs the link no longer."""
        for _ in range(self._settings.targets_max):
            target = self._choose_target(stream)
            if target is None:
                return False
            try:
                await self._move_to(stream, target)
            except CopyRefusedError as error:
                self._note_failure(stream, target, error)
                self._refused.note(target.server_id, stream.memory_tokens)
            except ForwardingError as error:
                # The run or its server has ended, or a copy to the target hangs.
                self._note_failure(stream, target, error)
                return False
            else:
                return True
        return False

    async def _move_to(self, stream: RunningStream, target: BackendServer) -> None:
        source, run_id = stream.server, stream.job.request_id
        # The target counts the run from now on, here and at other gateways.
        target.runs[run_id] = stream.load
        stream.target = target
        self._context.tell_loads()
        started_s = time.monotonic()
        try:
            copies = await self._copy_while_running(stream, target)
            await self._hand_over(stream, target)
        except ForwardingError:
            self._drop_target(stream)
            raise
        self._refused.forget(target.server_id)
        self._context.metrics.moved("moved")
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
        self._context.metrics.moved("failed")
        self._context.log.failure(
            "move_failed",
            stream.job.request_id,
            source=stream.server.server_id,
            target=target.server_id,
            memory_tokens=stream.memory_tokens,
            target_runs=target.load.runs,
            target_memory_tokens=round(target.load.memory_tokens),
            reason=f"{type(error).__name__}: {error}",
        )

    async def _copy_while_running(
        self, stream: RunningStream, target: BackendServer
    ) -> int:
        """Copy until little is new, while the run goes on."""
        source, run_id = stream.server, stream.job.request_id
        for copies in range(1, self._settings.copies_max + 1):
            begun_s = time.monotonic()
            copy = await self._context.calls.copy_run(
                source, run_id, target.address, False
            )
            stream.copy = Handover(source, target, copy.copy_id)
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
        evacuation = self._evacuations.get(server.server_id)
        return evacuation is None or time.monotonic() > evacuation.ends_at_s - 0.3

    def _choose_target(self, stream: RunningStream) -> BackendServer | None:
        engine = stream.job.service.engine
        assert engine is not None
        now_s = time.monotonic()
        servers = [
            server
            for server in self._context.fleet.candidates(stream.job.service.name)
            if server is not stream.server
            and not server.is_suspected(now_s)
            and not self._refused.refuses(server.server_id, stream.memory_tokens)
        ]
        view = PlacementView(servers, stream.server.availability_zone, now_s)
        left = PromptShape(stream.memory_tokens, round(stream.tokens_left))
        placement = evolve(
            self._context.placement,
            zone_penalty_s=self._zone_penalty_s(stream.server, engine),
        )
        return choose_server(EngineLoad(left, engine), view, placement)

    def _zone_penalty_s(self, source: BackendServer, engine: EngineProfile) -> float:
        """Return the cost of a copy to another availability zone.

        It is high where such copies of all runs would not be complete in time.
        """
        evacuation = self._evacuations.get(source.server_id)
        token_s = self._settings.zone_factor * copy_time_s(1.0, engine)
        if evacuation is not None and evacuation.is_short(token_s):
            return self._settings.zone_penalty_short_s
        return self._settings.zone_penalty_s
