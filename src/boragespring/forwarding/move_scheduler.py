"""Move runs off leaving servers in the order that preserves the most value."""

import asyncio
import time
from collections.abc import Iterable

from attrs import evolve

from boragespring.background_tasks import log_failure, start_background_task
from boragespring.catalog import EngineProfile
from boragespring.fleet import BackendServer
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import ForwardingError
from boragespring.forwarding.evacuation import (
    Evacuation,
    EvacuationPeers,
    LeavingRun,
    NoEvacuationPeers,
)
from boragespring.forwarding.move_cost import MoveSettings, copy_time_s, run_value
from boragespring.forwarding.mover import RunMover
from boragespring.forwarding.running_stream import RunningStream

__all__ = ["MoveScheduler"]


class MoveScheduler:
    """Track active streams and move those on leaving servers.

    Parameters
    ----------
    context : ForwardingContext
        Dependencies shared by all streams.
    settings : MoveSettings
        Timing, limits and weights of moves.
    peers : EvacuationPeers, optional
        Other gateways; none by default.
    """

    def __init__(
        self,
        context: ForwardingContext,
        settings: MoveSettings,
        peers: EvacuationPeers | None = None,
    ) -> None:
        self._context = context
        self._settings = settings
        self._peers = peers or NoEvacuationPeers()
        self._streams: dict[str, RunningStream] = {}
        self._evacuations: dict[str, Evacuation] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._end_queries: set[asyncio.Task[None]] = set()
        self._mover = RunMover(context, settings, self._evacuations)
        context.fleet.leave_hooks.append(self._on_leave)

    def add(self, stream: RunningStream) -> None:
        """Start tracking a stream."""
        self._streams[stream.job.request_id] = stream
        if stream.server.is_leaving:
            self._on_leave(stream.server)

    def remove(self, stream: RunningStream) -> None:
        """Stop tracking a stream that has ended."""
        run_id = stream.job.request_id
        self._streams.pop(run_id, None)
        self._end_run(stream.server.server_id, run_id)
        self._mover.release_target(stream)

    def on_peer_runs(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Add the runs that another gateway has to move off a server."""
        server = self._context.fleet.find(server_id)
        if server is None:
            return
        if not server.is_leaving:
            self._context.fleet.mark_leaving(server, "told by another gateway")
        evacuation = self._evacuations.get(server_id)
        if evacuation is not None:
            evacuation.add(runs)

    def on_peer_run_ended(self, server_id: str, run_id: str) -> None:
        """Remove another gateway's run that no longer needs the server's link."""
        evacuation = self._evacuations.get(server_id)
        if evacuation is not None:
            evacuation.remove(run_id)

    def _copy_s_per_token(self, server: BackendServer, engine: EngineProfile) -> float:
        """Return the time in seconds to copy a token to the nearest target."""
        targets = self._context.fleet.candidates(server.registration.service)
        has_local_target = any(
            target.availability_zone == server.availability_zone for target in targets
        )
        factor = 1.0 if has_local_target else self._settings.zone_factor
        return factor * copy_time_s(1.0, engine)

    async def _query_end_time(
        self, server: BackendServer, evacuation: Evacuation
    ) -> None:
        """Query the server until it reports when it will terminate.

        A server that wants no requests is not asked while it does.
        """
        while server.server_id in self._tasks:
            if server.is_paused(time.monotonic()):
                await asyncio.sleep(self._settings.query_interval_s)
                continue
            try:
                report = await self._context.calls.fetch_report(server)
            except ForwardingError as error:
                self._context.log.state_change(
                    "report_missing", server=server.server_id, reason=str(error)
                )
                return
            if report.leaves_in_s is not None:
                left_s = report.leaves_in_s - self._settings.report_age_s
                evacuation.ends_at_s = report.reported_at_s + left_s
                self._context.log.state_change(
                    "server_end_known", server=server.server_id, in_s=round(left_s, 3)
                )
                return
            await asyncio.sleep(self._settings.query_interval_s)

    def _end_run(self, server_id: str, run_id: str) -> None:
        evacuation = self._evacuations.get(server_id)
        if evacuation is not None:
            evacuation.remove(run_id)
            self._peers.notify_ended(server_id, run_id)

    def _on_leave(self, server: BackendServer) -> None:
        has_streams = any(
            candidate.server is server for candidate in self._streams.values()
        )
        if server.server_id in self._tasks or not has_streams:
            return
        evacuation = Evacuation(
            ends_at_s=time.monotonic() + self._settings.notice_s,
            head_slack_s=self._settings.head_slack_s,
        )
        self._evacuations[server.server_id] = evacuation
        task = asyncio.create_task(self._evacuate(server, evacuation))
        self._tasks[server.server_id] = task
        task.add_done_callback(lambda _: self._discard(server.server_id))
        task.add_done_callback(log_failure)

    def _discard(self, server_id: str) -> None:
        self._tasks.pop(server_id, None)
        self._evacuations.pop(server_id, None)

    async def _evacuate(self, server: BackendServer, evacuation: Evacuation) -> None:
        """Move the runs of a server in the order shared with other gateways."""
        start_background_task(
            self._query_end_time(server, evacuation), self._end_queries
        )
        announced: set[str] = set()
        moved: dict[str, LeavingRun] = {}
        while any(candidate.server is server for candidate in self._streams.values()):
            ready = {
                stream.job.request_id: stream
                for stream in self._streams.values()
                if stream.server is server and self._can_move(stream)
            }
            new_runs = [
                self._leaving_run(stream)
                for run_id, stream in ready.items()
                if run_id not in announced
            ]
            # A run whose target could not be reached has gone on here again.
            new_runs += [
                evolve(
                    self._leaving_run(stream),
                    failed_attempts=moved.pop(run_id).failed_attempts + 1,
                )
                for run_id, stream in ready.items()
                if run_id in moved
            ]
            if new_runs:
                announced.update(run.run_id for run in new_runs)
                evacuation.add(new_runs)
                self._peers.announce(server.server_id, new_runs)
                # The other gateways announce their runs at the same time.
                await asyncio.sleep(self._settings.announce_delay_s)
            engines = (stream.job.service.engine for stream in ready.values())
            engine = next(filter(None, engines), None)
            if engine is not None:
                evacuation.copy_s_per_token = self._copy_s_per_token(server, engine)
            head = evacuation.head()
            stream = ready.get(head.run_id) if head is not None else None
            if head is None or stream is None:
                await asyncio.sleep(self._settings.poll_interval_s)
            elif await self._mover.move(stream):
                moved[head.run_id] = head
                self._end_run(server.server_id, head.run_id)
            else:
                self._requeue(server, evacuation, stream, head)

    def _requeue(
        self,
        server: BackendServer,
        evacuation: Evacuation,
        stream: RunningStream,
        run: LeavingRun,
    ) -> None:
        """Move a run behind the others after a failed attempt."""
        requeued = evolve(run, failed_attempts=run.failed_attempts + 1)
        stream.move_after_s = time.monotonic() + self._settings.retry_delay_s
        evacuation.add([requeued])
        self._peers.announce(server.server_id, [requeued])

    def _leaving_run(self, stream: RunningStream) -> LeavingRun:
        return LeavingRun(
            run_id=stream.job.request_id,
            memory_tokens=stream.memory_tokens,
            value=run_value(stream, self._settings),
            ends_in_s=stream.tokens_left * self._settings.token_interval_s,
        )

    def _can_move(self, stream: RunningStream) -> bool:
        engine = stream.job.service.engine
        return (
            engine is not None
            and engine.can_move
            and stream.is_started
            and stream.handover is None
            and not stream.is_reply_broken
            and not self._context.must_stay(stream.server, stream.job)
            and stream.move_after_s <= time.monotonic()
        )
