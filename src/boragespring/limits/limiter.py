"""Enforce the plan limits of each workspace at one entry."""

import asyncio
import time
from collections.abc import Callable
from types import TracebackType
from typing import Protocol

from boragespring.limits.errors import LimitExceededError
from boragespring.limits.holder import LimitSettings, holder_candidates
from boragespring.limits.meter import Meter
from boragespring.limits.share_client import LeasedMeter, SendRequest, ShareClient
from boragespring.limits.shares import (
    NO_SHARE,
    fallback_shares,
    partition_of,
    plan_share,
)
from boragespring.lists import ListsReplica

__all__ = ["Limiter", "Permit", "RequestLimiter", "Unlimited"]


class Permit:
    """Slot of an admitted request, to which produced tokens are charged.

    The slot is released when the context manager exits.
    """

    def __init__(self, meter: Meter) -> None:
        self._meter = meter
        self._started_at_s = meter.now_s()
        self._total_tokens = 0
        self._is_open = True

    def __enter__(self) -> "Permit":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.end()

    def charge(self, tokens: int) -> None:
        """Charge produced tokens."""
        self._total_tokens += tokens
        self._meter.charge(tokens)

    def end(self) -> None:
        """Release the slot; further calls have no effect."""
        if self._is_open:
            self._is_open = False
            duration_s = self._meter.now_s() - self._started_at_s
            self._meter.end(self._total_tokens, duration_s)


class RequestLimiter(Protocol):
    """Interface through which an entry enforces limits on its requests."""

    async def admit(self, workspace: str) -> Permit:
        """Acquire a slot; raise `LimitExceededError` if a limit is reached."""
        ...

    def readmit(self, workspace: str) -> Permit:
        """Acquire a slot for a request that was admitted earlier."""
        ...


class Limiter:
    """Admit requests within the shares of this entry.

    Parameters
    ----------
    local_name : str
        Name of the local entry.
    replica : ListsReplica
        Active lists, which contain the plans.
    send : callable
        Sends a request for shares to the entry with the given name.
    entries : callable
        Returns the names of the listed entries.
    settings : LimitSettings or None
        Timing and partitioning; None selects the defaults.
    clock : callable, default=time.monotonic
        Returns the current time in seconds.

    Attributes
    ----------
    share_clients : tuple of ShareClient
        Client of each partition, in order of index.
    """

    def __init__(
        self,
        local_name: str,
        replica: ListsReplica,
        send: SendRequest,
        entries: Callable[[], tuple[str, ...]],
        settings: LimitSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._local_name = local_name
        self._replica = replica
        self._entries = entries
        self._clock = clock
        self._settings = settings or LimitSettings()
        self._was_ready = False
        self.share_clients = tuple(
            ShareClient(
                partition,
                send,
                lambda partition=partition: self._candidates(partition),  # type: ignore[misc]
                self._settings,
                clock,
            )
            for partition in range(self._settings.partitions)
        )

    async def admit(self, workspace: str) -> Permit:
        """Acquire a slot for a request of a workspace.

        Parameters
        ----------
        workspace : str
            Name of the workspace.

        Returns
        -------
        Permit
            Slot of the request, which must be ended by the caller.

        Raises
        ------
        LimitExceededError
            A limit of the plan is reached; the request was not run.
        """
        client = self.share_clients[partition_of(workspace, self._settings.partitions)]
        leased_meter = self._leased_meter(client, workspace)
        with leased_meter.meter.track_pending():
            return await self._admit(client, leased_meter)

    async def _admit(self, client: ShareClient, leased_meter: LeasedMeter) -> Permit:
        if leased_meter.is_first_request and self._could_gain_share(leased_meter):
            leased_meter.is_first_request = False
            await client.wait_for_round(self._settings.share_timeout_s, is_urgent=True)
        elif not leased_meter.is_leased(self._clock()) and self._could_gain_share(
            leased_meter
        ):
            await client.wait_for_round(self._settings.share_timeout_s)
        try:
            return self._start(client, leased_meter)
        except LimitExceededError:
            if not self._could_gain_share(leased_meter):
                raise
        # Other entries may have returned part of the plan since the last round.
        await client.wait_for_round(self._settings.share_timeout_s)
        return self._start(client, leased_meter)

    def readmit(self, workspace: str) -> Permit:
        """Acquire a slot for a request that was admitted earlier by any entry.

        The request counts as running at this entry and its tokens are charged,
        but no limit rejects it.
        """
        client = self.share_clients[partition_of(workspace, self._settings.partitions)]
        meter = self._leased_meter(client, workspace).meter
        meter.add_running()
        return Permit(meter)

    async def run(self) -> None:
        """Renew the shares of all partitions until cancelled."""
        async with asyncio.TaskGroup() as group:
            for client in self.share_clients:
                group.create_task(client.run())

    @property
    def is_ready(self) -> bool:
        """Whether requests could be admitted at any time since the start.

        The value never returns to False, because an outage in which all leases
        expire must not make all entries unready at once.
        """
        if not self._was_ready:
            now_s = self._clock()
            is_listed = self._local_name in self._entries()
            self._was_ready = all(
                client.can_admit(now_s, is_listed) for client in self.share_clients
            )
        return self._was_ready

    def holders(self) -> frozenset[str]:
        """Return the other entries to which requests for shares are sent."""
        targets = {client.target for client in self.share_clients}
        return frozenset(targets - {"", self._local_name})

    def status(self) -> dict[str, object]:
        """Return the section of the status page that describes the limits."""
        now_s = self._clock()
        meters = [
            meter for client in self.share_clients for meter in client.meters.values()
        ]
        return {
            "workspaces": len(meters),
            "leased": sum(leased_meter.is_leased(now_s) for leased_meter in meters),
            "running": sum(leased_meter.meter.running for leased_meter in meters),
            "requests": sum(client.counters.requests for client in self.share_clients),
            "failures": sum(client.counters.failures for client in self.share_clients),
            "stale_replies": sum(
                client.counters.stale_replies for client in self.share_clients
            ),
        }

    def _could_gain_share(self, leased_meter: LeasedMeter) -> bool:
        """Return whether a request to the holder could yield a larger share."""
        if leased_meter.meter.has_full_plan:
            return False
        return self._clock() >= leased_meter.denied_until_s

    def _candidates(self, partition: int) -> tuple[str, ...]:
        return holder_candidates(partition, self._entries(), self._settings.candidates)

    def _start(self, client: ShareClient, leased_meter: LeasedMeter) -> Permit:
        leased_meter.apply(self._clock(), client.fallback_from_s)
        leased_meter.meter.start(self._settings.renew_interval_s)
        return Permit(leased_meter.meter)

    def _leased_meter(self, client: ShareClient, name: str) -> LeasedMeter:
        """Return the meter of a workspace, updated to its current plan."""
        view = self._replica.view
        workspace = view.workspace(name)
        if workspace is None:
            # The workspace was removed after the caller was authenticated.
            return LeasedMeter(Meter.closed(self._clock), NO_SHARE)
        allowance = view.allowance(workspace)
        plan = plan_share(allowance)
        leased_meter = client.meters.get(name)
        if leased_meter is None:
            leased_meter = LeasedMeter(
                Meter(allowance, self._clock),
                NO_SHARE,
                expires_at_s=client.leased_until_s,
            )
            client.meters[name] = leased_meter
        leased_meter.meter.allowance = allowance
        leased_meter.leased_share = leased_meter.leased_share.minimum(plan)
        basis = (plan, self._entries())
        if leased_meter.fallback_basis != basis:
            leased_meter.fallback_basis = basis
            shares = fallback_shares(plan, name, basis[1])
            leased_meter.fallback = shares.get(self._local_name, NO_SHARE)
        return leased_meter


class Unlimited:
    """Limiter that admits every request, used when no lists are configured."""

    def __init__(self) -> None:
        self._meter = Meter.unlimited(time.monotonic)

    async def admit(self, workspace: str) -> Permit:
        """Acquire a slot."""
        self._meter.add_running()
        return Permit(self._meter)

    def readmit(self, workspace: str) -> Permit:
        """Acquire a slot."""
        self._meter.add_running()
        return Permit(self._meter)
