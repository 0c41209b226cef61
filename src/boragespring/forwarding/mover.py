"""Move one run to another server: where to, and in which steps."""

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
from boragespring.forwarding.moves import RelocationSettings, copy_time_s
from boragespring.forwarding.placement import (
    EngineLoad,
    PlacementView,
    choose_server,
)
from boragespring.forwarding.running import Handover, RunningStream
from boragespring.forwarding.targets import RefusedTargets

__all__ = ["RunMover"]


class RunMover:
    """Copy a run while it goes on, then stop it and hand it over.

    Parameters
    ----------
    context : ForwardingContext
        Fleet, calls and log.
    settings : RelocationSettings
        How runs are moved.
    evacuations : mapping of str to Evacuation
        Servers that are being left, by identity.
    """

    def __init__(
        self,
        context: ForwardingContext,
        settings: RelocationSettings,
        evacuations: Mapping[str, Evacuation],
    ) -> None:
        self._context = context
        self._settings = settings
        self._evacuations = evacuations
        self._refused = RefusedTargets(
            settings.refusal_memory_s, settings.refusal_memory_max_s
        )

    async def move(self, stream: RunningStream) -> bool:
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

    def drop_target(self, stream: RunningStream) -> None:
        """Let the target of a move that came to nothing count the run no more."""
        target, stream.target = stream.target, None
        if target is not None:
            self._context.fleet.run_ended(target, stream.job.request_id)

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
            self.drop_target(stream)
            raise
        self._refused.forget(target.server_id)
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

    def _note_failure(
        self, stream: RunningStream, target: BackendServer, error: ForwardingError
    ) -> None:
        if isinstance(error, RunNotFoundError):
            # The run has ended meanwhile, or has been preempted and waits.
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
        if server.left_at_s is None:
            return False
        evacuation = self._evacuations.get(server.server_id)
        end_s = self._settings.notice_end_s
        return evacuation is None or time.monotonic() > evacuation.ends_at_s - end_s

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
