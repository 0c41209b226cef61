"""Move one run from a leaving server to another server."""

import asyncio
import time
from collections.abc import Mapping

from attrs import evolve

from boragespring.catalog import EngineProfile
from boragespring.fleet import BackendServer
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    CopyRefusedError,
    ForwardingError,
    RunNotFoundError,
)
from boragespring.forwarding.evacuation import Evacuation
from boragespring.forwarding.messages import PromptShape
from boragespring.forwarding.move_cost import MoveSettings, copy_time_s
from boragespring.forwarding.placement import (
    GenerationCall,
    PlacementView,
    choose_server,
)
from boragespring.forwarding.refused_targets import RefusedTargets
from boragespring.forwarding.run_stop import stop_run
from boragespring.forwarding.running_stream import Handover, RunningStream

__all__ = ["RunMover"]


class RunMover:
    """Choose a target, copy a run while it executes, then stop and transfer it.

    Parameters
    ----------
    context : ForwardingContext
        Dependencies shared by all streams.
    settings : MoveSettings
        Timing, limits and weights of moves.
    evacuations : mapping of str to Evacuation
        Active evacuations by identifier of the leaving server.
    """

    def __init__(
        self,
        context: ForwardingContext,
        settings: MoveSettings,
        evacuations: Mapping[str, Evacuation],
    ) -> None:
        self._context = context
        self._settings = settings
        self._evacuations = evacuations
        self._refused_targets = RefusedTargets(
            settings.refusal_ttl_s, settings.refusal_ttl_max_s
        )

    async def move(self, stream: RunningStream) -> bool:
        """Move one run.

        Returns
        -------
        bool
            True if the run no longer needs the link of its server; False if no
            target accepted it or the move failed.
        """
        for _ in range(self._settings.targets_max):
            target = self._choose_target(stream)
            if target is None:
                return False
            try:
                await self._move_to(stream, target)
            except CopyRefusedError as error:
                self._record_failure(stream, target, error)
                self._refused_targets.record(target.server_id, stream.memory_tokens)
            except ForwardingError as error:
                # The run or its server has ended, or the copy to the target timed out.
                self._record_failure(stream, target, error)
                return False
            else:
                return True
        return False

    def release_target(self, stream: RunningStream) -> None:
        """Remove the run from the load of the target of an unfinished move."""
        target, stream.target = stream.target, None
        if target is not None:
            self._context.fleet.remove_run(target, stream.job.request_id)

    async def _move_to(self, stream: RunningStream, target: BackendServer) -> None:
        source, run_id = stream.server, stream.job.request_id
        # From now on the load of the target includes the run, also at other gateways.
        target.runs[run_id] = stream.load
        stream.target = target
        self._context.notify_loads()
        started_s = time.monotonic()
        try:
            copies = await self._copy_while_running(stream, target)
            if self._context.fleet.drained_for_s(target):
                raise CopyRefusedError("the zone of the target is drained")
            await self._stop_and_transfer(stream, source, target)
        except ForwardingError:
            self.release_target(stream)
            raise
        self._refused_targets.discard(target.server_id)
        self._context.metrics.record_move("moved")
        self._context.log.request(
            "moved",
            run_id,
            source=source.server_id,
            target=target.server_id,
            memory_tokens=stream.memory_tokens,
            copies=copies,
            took_s=round(time.monotonic() - started_s, 3),
        )

    def _record_failure(
        self, stream: RunningStream, target: BackendServer, error: ForwardingError
    ) -> None:
        if isinstance(error, RunNotFoundError):
            # The run has ended in the meantime, or was preempted and is queued.
            return
        self._context.metrics.record_move("failed")
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
        """Copy the run while it executes until a copy transfers little new data.

        Returns
        -------
        int
            Number of copies made.
        """
        source, run_id = stream.server, stream.job.request_id
        for copies in range(1, self._settings.copies_max + 1):
            started_s = time.monotonic()
            async with stream.copy_lock:
                _check_runs_at(stream, source)
                copy = await self._context.calls.copy_run(
                    source, run_id, target.address, False
                )
                if stream.server is source:
                    stream.fallback = Handover(source, target, copy.copy_id)
            if time.monotonic() - started_s < self._settings.small_copy_s:
                return copies
            if self._is_notice_ending(source):
                return copies
        return self._settings.copies_max

    async def _stop_and_transfer(
        self, stream: RunningStream, source: BackendServer, target: BackendServer
    ) -> None:
        """Stop the run, make the final copy and publish the handover."""
        result: Handover | None = None
        async with stream.copy_lock:
            _check_runs_at(stream, source)
            handover: asyncio.Future[Handover | None]
            handover = asyncio.get_running_loop().create_future()
            stream.handover = handover
            try:
                result = await stop_run(self._context, stream, target)
            finally:
                if result is None:
                    stream.handover = None
                if not handover.done():
                    handover.set_result(result)

    def _is_notice_ending(self, server: BackendServer) -> bool:
        if server.left_at_s is None:
            return False
        evacuation = self._evacuations.get(server.server_id)
        reserve_s = self._settings.notice_reserve_s
        return evacuation is None or time.monotonic() > evacuation.ends_at_s - reserve_s

    def _choose_target(self, stream: RunningStream) -> BackendServer | None:
        engine = stream.job.service.engine
        assert engine is not None
        now_s = time.monotonic()
        servers = [
            server
            for server in self._context.fleet.candidates(stream.job.service.name)
            if server is not stream.server
            and not server.is_suspected(now_s)
            and not self._refused_targets.has_refused(
                server.server_id, stream.memory_tokens
            )
        ]
        view = PlacementView(servers, stream.server.availability_zone, now_s)
        remaining = PromptShape(stream.memory_tokens, round(stream.tokens_left))
        placement = evolve(
            self._context.placement,
            zone_penalty_s=self._zone_penalty_s(stream.server, engine),
        )
        return choose_server(GenerationCall(remaining, engine), view, placement)

    def _zone_penalty_s(self, source: BackendServer, engine: EngineProfile) -> float:
        """Return the cost in seconds of a copy to another availability zone.

        The cost is higher if the remaining time does not suffice to copy all runs
        to another zone.
        """
        evacuation = self._evacuations.get(source.server_id)
        copy_s_per_token = self._settings.zone_factor * copy_time_s(1.0, engine)
        if evacuation is not None and evacuation.is_time_short(copy_s_per_token):
            return self._settings.zone_penalty_congested_s
        return self._settings.zone_penalty_s


def _check_runs_at(stream: RunningStream, server: BackendServer) -> None:
    """Raise `RunNotFoundError` unless the stream still gets its events from a server.

    During a copy the reply can break, and the run can go on elsewhere.
    """
    if stream.server is not server or stream.is_reply_broken:
        raise RunNotFoundError(f"the reply of {server.server_id} has ended")
