"""Run each call with an idempotency key at most once across all entries."""

import asyncio
import time

from attrs import define

from boragespring.answers import NotRunError, RequestRunner
from boragespring.answers.messages import ServiceAnswered, SubmitCall
from boragespring.claims.errors import ClaimStoreError, KeyReusedError
from boragespring.claims.operations import AgentFinder, ClaimedRequest, ClaimOperations
from boragespring.claims.record import claim_key, request_digest
from boragespring.claims.resolution import KeyResolution
from boragespring.claims.store import ClaimStore
from boragespring.settings import ClaimSettings

__all__ = ["ClaimedCalls"]

STORE_RETRY_AFTER_S = 2.0


@define(eq=False)
class _RunningCall:
    """A call that this entry is currently running or resolving."""

    digest: bytes
    task: asyncio.Task[ServiceAnswered]


class ClaimedCalls:
    """Run each call with an idempotency key at most once across all entries.

    Before a call is sent, the entry writes a claim to the store that names the
    only agent, and the only incarnation of it, that is allowed to run the call.
    An entry that finds a claim for its key queries that agent, which either
    reports the outcome or commits to never running the call.

    Parameters
    ----------
    store : ClaimStore
        Claims of all entries.
    runner : RequestRunner
        Chooses agents and sends calls.
    find_agent : callable
        Returns the agent with a given name, or None if it is not known.
    settings : ClaimSettings
        Timeouts, retention and size limit of outcomes.
    resume_timeout_s : float
        Longest time, in seconds, to wait for a lost link to be reestablished.
    """

    def __init__(
        self,
        store: ClaimStore,
        runner: RequestRunner,
        find_agent: AgentFinder,
        settings: ClaimSettings,
        resume_timeout_s: float,
    ) -> None:
        self._operations = ClaimOperations(
            store, runner, find_agent, settings, resume_timeout_s
        )
        self._settings = settings
        self._running: dict[str, _RunningCall] = {}

    def __len__(self) -> int:
        return len(self._running) + len(self._operations.background)

    async def call(self, service: str, key: str, submit: SubmitCall) -> ServiceAnswered:
        """Return the outcome of a key, running the call if no entry has done so.

        Parameters
        ----------
        service : str
            Name of the service.
        key : str
            Idempotency key of the caller.
        submit : SubmitCall
            The call.

        Raises
        ------
        KeyReusedError
            If the key was already used for a different request.
        NotRunError
            If the request is known not to have run.
        OutcomeUnknownError
            If it cannot be determined whether the request ran.
        """
        stored_key = claim_key(submit.workspace, service, key)
        digest = request_digest(submit)
        running = self._running.get(stored_key)
        if running is None:
            # The claim must still exist when the call ends; once its retention has
            # passed, another entry could claim the key again.
            timeout_s = min(submit.deadline_in_s, self._settings.retention_s / 2)
            deadline_s = time.monotonic() + timeout_s
            request = ClaimedRequest(stored_key, service, digest, submit, deadline_s)
            running = _RunningCall(digest, asyncio.create_task(self._resolve(request)))
            self._running[stored_key] = running
            running.task.add_done_callback(lambda _: self._discard(stored_key))
        elif running.digest != digest:
            raise KeyReusedError(
                "the idempotency key was already used for a different request"
            )
        # The call may already have run, so it continues when its caller disconnects.
        return await asyncio.shield(running.task)

    async def wait_idle(self) -> None:
        """Wait until no call is in progress and every outcome is recorded."""
        while len(self):
            tasks = [running.task for running in self._running.values()]
            await asyncio.wait({*tasks, *self._operations.background})

    async def close(self) -> None:
        """Cancel all calls in progress; their claims remain in the store."""
        tasks = [running.task for running in self._running.values()]
        for task in (*tasks, *self._operations.background):
            task.cancel()
        await asyncio.gather(
            *tasks, *self._operations.background, return_exceptions=True
        )

    def _discard(self, stored_key: str) -> None:
        running = self._running.pop(stored_key)
        if not running.task.cancelled():
            # Retrieve the exception: if all callers have disconnected, asyncio
            # would otherwise log it as never retrieved.
            running.task.exception()

    async def _resolve(self, request: ClaimedRequest) -> ServiceAnswered:
        try:
            return await KeyResolution(self._operations, request).run()
        except ClaimStoreError as error:
            message = f"{error}; the request was not sent"
            raise NotRunError(
                "store_unavailable", message, STORE_RETRY_AFTER_S
            ) from error
