"""Orders of an entry that holds the duty of a service in its region."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from absl import logging
from attrs import Factory, define, frozen

from boragespring.engines import OrderKind
from boragespring.links import LinkError
from boragespring.lists.model import ServiceEntry
from boragespring.membership import AgentPeer, Duty, DutyRoster
from boragespring.orders.fencing import orders_duty_name
from boragespring.orders.messages import (
    AskServerReport,
    OrderReply,
    SendOrder,
    ServerReport,
)
from boragespring.orders.plan import (
    Gap,
    Plan,
    PlannedOrder,
    PlanSettings,
    ServerState,
    plan_orders,
)
from boragespring.orders.retries import OrderRetries, RetrySettings
from boragespring.store.weights import (
    WeightStore,
    WeightStoreBusyError,
    WeightStoreError,
)

__all__ = ["DesiredState", "OrderSettings", "OrderStatus", "OrderReconciler"]

JITTER_LOW, JITTER_HIGH = 0.75, 1.25


class DesiredState(Protocol):
    """The lists in force, as far as orders need them."""

    @property
    def version(self) -> int:
        """Version of the lists; 0 for none."""
        ...

    def services(self) -> Mapping[str, ServiceEntry]:
        """Return the services by name."""
        ...


class OrderTargets(Protocol):
    """Agents that orders go to."""

    def pin(self, services: frozenset[str]) -> None:
        """Keep links to all agents of some services of the own region."""
        ...

    def pinned(self, service: str) -> list[AgentPeer]:
        """Return all agents of a pinned service."""
        ...


@frozen
class OrderSettings:
    """Times and bounds of a holder.

    Parameters
    ----------
    round_interval_s : float
        Time between two looks at the actual state.
    call_timeout_s : float
        Bound of a call to an agent.
    plan : PlanSettings
        Bounds of a plan.
    retries : RetrySettings
        Delays and budget of retries.
    """

    round_interval_s: float = 5.0
    call_timeout_s: float = 2.0
    plan: PlanSettings = Factory(PlanSettings)
    retries: RetrySettings = Factory(RetrySettings)


@define(eq=False)
class OrderStatus:
    """Desired against actual of one service, for the status page.

    Parameters
    ----------
    service : str
        Name of the service.
    holder_name : str
        Entry that holds the duty; empty if none is known.
    fence : int
        Fencing number while this entry holds it, else 0.
    lists_version : int
        Version of the lists that was compared.
    servers, reporting : int
        Agents of the region, and those that told their state.
    gaps : tuple of Gap
        What differs, and why.
    failures : dict
        Last failure by agent.
    waits_for_weights : bool
        Whether the weight store's rate holds orders back.
    """

    service: str
    holder_name: str = ""
    fence: int = 0
    lists_version: int = 0
    servers: int = 0
    reporting: int = 0
    gaps: tuple[Gap, ...] = ()
    failures: dict[str, str] = Factory(dict)
    waits_for_weights: bool = False
    sent: int = 0
    refused: int = 0


@define(eq=False)
class _Service:
    """What the holder keeps of one service between rounds."""

    name: str
    duty: Duty
    retries: OrderRetries
    status: OrderStatus


class OrderReconciler:
    """Compare desired and actual state and send orders, while the duty is held.

    Parameters
    ----------
    region : str
        Region of this entry.
    desired : DesiredState
        The lists in force.
    roster : DutyRoster
        Duties of this process.
    targets : OrderTargets
        Agents of the region.
    weights : WeightStore or None
        Weight store whose rate the fleet shares; None where there is none.
    is_candidate : callable
        Whether this entry may hold the duty of a name.
    settings : OrderSettings or None
        Times and bounds.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        region: str,
        desired: DesiredState,
        roster: DutyRoster,
        targets: OrderTargets,
        weights: WeightStore | None,
        is_candidate: Callable[[str], bool],
        settings: OrderSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._region = region
        self._desired = desired
        self._roster = roster
        self._targets = targets
        self._weights = weights
        self._is_candidate = is_candidate
        self._settings = settings or OrderSettings()
        self._clock = clock
        self._services: dict[str, _Service] = {}
        self._weights_free_at_s = float("-inf")

    def status(self) -> list[OrderStatus]:
        """Return the state of each service in order of name."""
        for service in self._services.values():
            service.status.holder_name = service.duty.holder_name
            service.status.fence = service.duty.fence
        return [service.status for _, service in sorted(self._services.items())]

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            try:
                await self.round()
            except Exception:
                # One faulty round must not end the orders of all services.
                logging.exception("event=orders_round_failed")
            jitter = random.uniform(JITTER_LOW, JITTER_HIGH)
            await asyncio.sleep(self._settings.round_interval_s * jitter)

    async def round(self) -> None:
        """Look at all services whose duty this entry holds."""
        desired = {
            name: entry
            for name, entry in self._desired.services().items()
            if entry.models or entry.roles
        }
        self._register(desired.keys())
        held = [
            service
            for name, service in self._services.items()
            if name in desired and service.duty.is_held()
        ]
        self._targets.pin(frozenset(service.name for service in held))
        version = self._desired.version
        await asyncio.gather(
            *(self._serve(each, desired[each.name], version) for each in held)
        )

    def _register(self, names: Iterable[str]) -> None:
        for name in set(names) - self._services.keys():
            duty_name = orders_duty_name(self._region, name)
            duty = self._roster.add(duty_name, self._candidacy(name, duty_name))
            retries = OrderRetries(self._settings.retries, self._clock)
            self._services[name] = _Service(name, duty, retries, OrderStatus(name))

    def _candidacy(self, service: str, duty_name: str) -> Callable[[], bool]:
        def may_hold() -> bool:
            is_listed = service in self._desired.services()
            return is_listed and self._is_candidate(duty_name)

        return may_hold

    async def _serve(
        self, service: _Service, desired: ServiceEntry, version: int
    ) -> None:
        peers = {peer.name: peer for peer in self._targets.pinned(service.name)}
        reports = await asyncio.gather(*(self._ask(peer) for peer in peers.values()))
        states = [
            _state_of(peer, report)
            for peer, report in zip(peers.values(), reports, strict=True)
            if report is not None
        ]
        plan = plan_orders(
            desired, states, self._settings.plan, service.retries.backing_off()
        )
        self._note(service, plan, version, len(peers), len(states))
        service.status.failures = {
            peer.name: report.failure
            for peer, report in zip(peers.values(), reports, strict=True)
            if report is not None and report.failure
        }
        for order in plan.orders:
            if not await self._send(service, order, peers[order.server], version):
                return

    def _note(
        self, service: _Service, plan: Plan, version: int, servers: int, reporting: int
    ) -> None:
        status = service.status
        status.lists_version = version
        status.servers = servers
        status.reporting = reporting
        if plan.gaps != status.gaps:
            shown = ",".join(
                f"{gap.name}:{gap.actual}/{gap.wanted}:{gap.reason}"
                for gap in plan.gaps
            )
            logging.info("event=orders_gap service=%s gaps=%s", service.name, shown)
        status.gaps = plan.gaps

    async def _ask(self, peer: AgentPeer) -> ServerReport | None:
        link = peer.link
        if link is None or peer.is_suspect:
            return None
        try:
            return await link.call(
                AskServerReport(self._region),
                ServerReport,
                self._settings.call_timeout_s,
            )
        except LinkError:
            return None

    async def _send(
        self, service: _Service, order: PlannedOrder, peer: AgentPeer, version: int
    ) -> bool:
        """Send one order; return whether to go on with the next."""
        if not service.retries.may_try(order):
            return True
        if not await self._take_weights(service, order):
            return False
        link = peer.link
        # Asked last, so that a holder that was paused up to here sends nothing.
        fence = service.duty.fence
        if not fence or link is None:
            return fence != 0
        message = SendOrder(
            str(order.kind.value), order.name, order.version, fence, version
        )
        service.retries.note_try(order)
        service.status.sent += 1
        try:
            reply = await link.call(message, OrderReply, self._settings.call_timeout_s)
        except LinkError as error:
            reply = OrderReply(False, "no_reply", str(error))
        if not reply.is_taken:
            service.status.refused += 1
            logging.info(
                "event=order_refused service=%s agent=%s code=%s reason=%r",
                service.name,
                peer.name,
                reply.code,
                reply.reason,
            )
        return True

    async def _take_weights(self, service: _Service, order: PlannedOrder) -> bool:
        """Take one load of the weight store's rate; return whether there was one."""
        if self._weights is None or order.kind is OrderKind.SET_ROLE:
            return True
        status = service.status
        status.waits_for_weights = True
        if self._clock() < self._weights_free_at_s:
            return False
        try:
            await self._weights.start_load(order.name)
        except WeightStoreBusyError as error:
            # Holders of other services wait as well: the jitter parts them.
            wait_s = error.retry_after_s * random.uniform(1.0, 2.0)
            self._weights_free_at_s = self._clock() + wait_s
            return False
        except WeightStoreError as error:
            logging.log_every_n(
                logging.WARNING, "event=weight_store_failed error=%r", 10, error
            )
            return False
        status.waits_for_weights = False
        return True


def _state_of(peer: AgentPeer, report: ServerReport) -> ServerState:
    return ServerState(
        peer.name,
        report.models,
        report.adapters,
        report.role,
        report.loading,
        peer.takes_work,
    )
