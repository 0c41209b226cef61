"""Distinguish crashes of backend servers from other ends of replies.

The connections of a crashed server are closed, and it refuses new ones. A server that
is cut off does neither, and one that resets a single connection accepts others. The
cause of a crash is searched among the runs that were open on the server.
"""

import asyncio
import time
from collections.abc import Callable

from attrs import define, field, frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, ServerProcess
from boragespring.forwarding.jobs import Job
from boragespring.forwarding.messages import Reachability
from boragespring.forwarding.reachability import ReachabilityCheck, try_connections
from boragespring.quarantine import Crash, RequestIdentity, Traits

__all__ = ["CrashDetector", "CrashDetectorSettings"]

#: Called with each crash that is detected.
CrashHook = Callable[[Crash], None]
#: Called with the job of each run whose prompt proved to be sound, and the monotonic
#: time in seconds at which its answer began.
SoundHook = Callable[[Job, float], None]
#: Called with the job of each run that a server has answered in whole.
AnswerHook = Callable[[Job], None]


#: Size of a body from which on a request is identified in another thread.
LARGE_BODY_BYTES = 65_536
#: Maximum number of parts of a prompt that are logged for each run at a crash.
LOGGED_PARTS_MAX = 32
#: Number of characters of an error that are logged.
REASON_MAX_CHARACTERS = 300


def _do_nothing() -> None:
    """Do nothing; the default for a run that cannot be cancelled."""


@frozen
class CrashDetectorSettings:
    """Limits for the attribution of crashes.

    Parameters
    ----------
    sound_events : int
        Number of events after which the prompt of a run proved to be sound.
    gather_s : float
        Time in seconds for which further connections of the same server may break
        before it is checked.
    tries_max : int
        Maximum number of connections that are tried while none is accepted or refused.
        A packet that is lost must not hide a crash.
    runs_max : int
        Maximum number of runs reported for one crash.
    """

    sound_events: int = 3
    gather_s: float = 0.02
    tries_max: int = 3
    runs_max: int = 64


@define(eq=False)
class _OpenRun:
    """Run that a server has not completed."""

    job: Job
    cancel: Callable[[], None]
    sound_events: int
    has_reply: bool = False
    events: int = 0
    began_at_s: float = float("inf")

    @property
    def is_starting(self) -> bool:
        """Whether the prompt has not proved to be sound."""
        return self.events < self.sound_events

    @property
    def traits(self) -> Traits:
        """Traits of the run that may still crash a server."""
        request = self.job.identity.traits
        return request | self.job.shared_prompt if self.is_starting else request


@define(eq=False)
class _ServerRuns:
    """Open runs of this gateway on one server process, by request identifier."""

    open: dict[str, _OpenRun] = field(factory=dict)
    broken: dict[str, _OpenRun] = field(factory=dict)
    check: "asyncio.Task[bool] | None" = None


class CrashDetector:
    """Track open runs and detect the crashes of their servers.

    Parameters
    ----------
    calls : ReachabilityCheck
        Client for the backend servers.
    settings : CrashDetectorSettings
        Limits.
    log : DecisionLog
        Log of crashes.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        calls: ReachabilityCheck,
        settings: CrashDetectorSettings,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._calls = calls
        self._settings = settings
        self._log = log
        self._clock = clock
        self._runs: dict[ServerProcess, _ServerRuns] = {}
        self.crash_hooks: list[CrashHook] = []
        self.sound_hooks: list[SoundHook] = []
        self.answer_hooks: list[AnswerHook] = []

    def run_sent(
        self,
        server: BackendServer,
        job: Job,
        cancel: Callable[[], None] = _do_nothing,
    ) -> None:
        """Start tracking a run that is sent to a server.

        Parameters
        ----------
        server : BackendServer
            Server of the run.
        job : Job
            Request of the run.
        cancel : callable, optional
            Closes the connection of the run while it has no reply.
        """
        runs = self._runs.setdefault(ServerProcess.of(server), _ServerRuns())
        run = _OpenRun(job, cancel, self._settings.sound_events)
        runs.open[job.request_id] = run

    def is_starting(self, server: BackendServer, run_id: str) -> bool:
        """Return whether a run is tracked whose prompt has not proved to be sound."""
        run = self._find(ServerProcess.of(server), run_id)
        return run is not None and run.is_starting

    def run_replied(self, server: BackendServer, run_id: str) -> None:
        """Record that the head of the reply to a run has arrived."""
        run = self._find(ServerProcess.of(server), run_id)
        if run is not None:
            run.has_reply = True

    def run_wrote(self, server: BackendServer, run_id: str) -> None:
        """Count an event of a run; after a few of them its prompt is sound."""
        run = self._find(ServerProcess.of(server), run_id)
        if run is None or not run.is_starting:
            return
        run.events += 1
        run.began_at_s = min(run.began_at_s, self._clock())
        if not run.is_starting:
            self._report_sound(run)

    def run_ended(
        self, server: BackendServer, run_id: str, *, is_sound: bool = False
    ) -> None:
        """Stop tracking a run that ended otherwise than by a broken connection.

        Parameters
        ----------
        server : BackendServer
            Server of the run.
        run_id : str
            Identifier of its request.
        is_sound : bool, default=False
            Whether the server wrote the whole answer.
        """
        run = self._remove(ServerProcess.of(server), run_id)
        if run is None or not is_sound:
            return
        if run.is_starting:
            self._report_sound(run)
        for hook in self.answer_hooks:
            hook(run.job)

    def run_broke(self, server: BackendServer, run_id: str) -> None:
        """Check the server of a run whose connection broke.

        A server that leaves with notice closes connections without a crash.
        """
        process = ServerProcess.of(server)
        runs = self._runs.get(process)
        if runs is None:
            return
        run = runs.open.pop(run_id, None)
        if run is not None and not server.leaves_with_notice:
            runs.broken[run_id] = run
        if runs.broken and runs.check is None:
            runs.check = asyncio.create_task(self._check(server, process, runs))
        self._drop_if_idle(process, runs)

    def cancel_waiting(self, is_hazardous: Callable[[Job], bool]) -> None:
        """Cancel runs without a reply, before they begin and crash their servers.

        Parameters
        ----------
        is_hazardous : callable
            Returns whether a job is held to crash its servers.
        """
        for runs in self._runs.values():
            for run in runs.open.values():
                if not run.has_reply and is_hazardous(run.job):
                    run.cancel()

    async def has_crashed(self, server: BackendServer) -> bool:
        """Wait for the check of a server that is under way, and return its result."""
        runs = self._runs.get(ServerProcess.of(server))
        if runs is None or runs.check is None:
            return False
        return await asyncio.shield(runs.check)

    async def close(self) -> None:
        """Cancel the checks that are under way."""
        checks = [runs.check for runs in self._runs.values() if runs.check is not None]
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    async def _check(
        self, server: BackendServer, process: ServerProcess, runs: _ServerRuns
    ) -> bool:
        try:
            await asyncio.sleep(self._settings.gather_s)
            if not await self._is_refusing(server) or server.leaves_with_notice:
                return False
            suspects = {**runs.broken, **runs.open}
            listed = self._select(suspects)
            for run in listed.values():
                await _identify(run.job.identity)
            self._report(server, process, listed)
            return True
        except Exception as error:
            # Nobody may be waiting for the result.
            self._log.state_change(
                "crash_check_failed",
                server=server.server_id,
                reason=repr(error)[:REASON_MAX_CHARACTERS],
            )
            return False
        finally:
            runs.check = None
            runs.broken.clear()
            self._drop_if_idle(process, runs)

    async def _is_refusing(self, server: BackendServer) -> bool:
        found = await try_connections(self._calls, server, self._settings.tries_max)
        return found is Reachability.REFUSING

    def _report_sound(self, run: _OpenRun) -> None:
        began_at_s = min(run.began_at_s, self._clock())
        for hook in self.sound_hooks:
            hook(run.job, began_at_s)

    def _select(self, suspects: dict[str, _OpenRun]) -> dict[str, _OpenRun]:
        """Return the runs to report; starting ones with a reply go first."""
        ordered = sorted(
            suspects.items(),
            key=lambda item: (item[1].is_starting, item[1].has_reply),
            reverse=True,
        )
        return dict(ordered[: self._settings.runs_max])

    def _report(
        self,
        server: BackendServer,
        process: ServerProcess,
        listed: dict[str, _OpenRun],
    ) -> None:
        self._log.state_change(
            "server_crashed",
            server=server.server_id,
            service=server.registration.service,
            open_runs=[
                {
                    "request_id": run_id,
                    "request": run.job.identity.trait,
                    "has_reply": run.has_reply,
                    "is_starting": run.is_starting,
                    "parts": sorted(run.job.shared_prompt)[:LOGGED_PARTS_MAX],
                }
                for run_id, run in listed.items()
            ],
        )
        runs = listed.values()
        crash = Crash(
            process=process,
            service=server.registration.service,
            at_s=self._clock(),
            starting=frozenset(
                run.traits for run in runs if run.is_starting and run.has_reply
            ),
            silent=frozenset(run.traits for run in runs if not run.has_reply),
            writing=frozenset(run.traits for run in runs if not run.is_starting),
        )
        for hook in self.crash_hooks:
            hook(crash)

    def _find(self, process: ServerProcess, run_id: str) -> _OpenRun | None:
        runs = self._runs.get(process)
        return runs.open.get(run_id) if runs is not None else None

    def _remove(self, process: ServerProcess, run_id: str) -> _OpenRun | None:
        runs = self._runs.get(process)
        if runs is None:
            return None
        run = runs.open.pop(run_id, None)
        self._drop_if_idle(process, runs)
        return run

    def _drop_if_idle(self, process: ServerProcess, runs: _ServerRuns) -> None:
        if not runs.open and not runs.broken and runs.check is None:
            self._runs.pop(process, None)


async def _identify(identity: RequestIdentity) -> None:
    """Find the trait of a request, which takes milliseconds for a large body."""
    if len(identity.body) > LARGE_BODY_BYTES:
        await asyncio.to_thread(getattr, identity, "trait")
