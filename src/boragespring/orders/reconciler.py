"""Reconcile the backend servers of a region with the active lists.

For each service, the entry that holds the duty of sending orders compares the
desired state with the reports of the agents and orders what is missing.
"""

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
from boragespring.membership import AgentPeer, Duty, DutyManager
from boragespring.orders.fencing import orders_duty_name
from boragespring.orders.messages import (
    OrderReply,
    OrderRequest,
    ServerReport,
    ServerReportQuery,
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

__all__ = ["DesiredState", "OrderReconciler", "OrderSettings", "OrderStatus"]

JITTER_LOW, JITTER_HIGH = 0.75, 1.25


class DesiredState(Protocol):
    """Desired state of the services, taken from the active lists."""

    @property
    def version(self) -> int:
        """Version of the active lists; 0 for none."""
        ...

    def services(self) -> Mapping[str, ServiceEntry]:
        """Return the services by name."""
        ...


class OrderTargets(Protocol):
    """Agents to which orders are sent."""

    def pin(self, services: frozenset[str]) -> None:
        """Keep links open to all agents of these services in the local region."""
        ...

    def pinned(self, service: str) -> list[AgentPeer]:
        """Return all agents of a pinned service."""
        ...


@frozen
class OrderSettings:
    """Settings of an `OrderReconciler`.

    Parameters
    ----------
    round_interval_s : float
        Mean time, in seconds, between the end of a round and the next one.
    call_timeout_s : float
        Timeout, in seconds, of a call to an agent.
    plan : PlanSettings
        Limits that a plan observes.
    retries : RetrySettings
        Backoff and rate limit of orders.
    """

    round_interval_s: float = 5.0
    call_timeout_s: float = 2.0
    plan: PlanSettings = Factory(PlanSettings)
    retries: RetrySettings = Factory(RetrySettings)


@define(eq=False)
class OrderStatus:
    """Reconciliation status of one service, for the status page.

    Parameters
    ----------
    service : str
        Name of the service.
    holder_name : str
        Entry that holds the duty; empty if none is known.
    fence : int
        Fencing number while this entry holds the duty, otherwise 0.
    lists_version : int
        Version of the lists used in the last round.
    servers : int
        Number of agents of the service in the region.
    reporting : int
        Number of agents that reported their state in the last round.
    gaps : tuple of Gap
        Differences between desired and actual state.
    failures : dict
        Error of the last order, by agent, where it failed.
    waits_for_weights : bool
        Whether orders are delayed by the rate limit of the weight store.
    sent : int
        Number of orders sent by this entry.
    refused : int
        Number of these orders that were rejected or got no reply.
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
    """State of one service that is kept between rounds."""

    name: str
    duty: Duty
    retries: OrderRetries
    status: OrderStatus


class OrderReconciler:
    """Send orders that bring services to their desired state.

    Orders are sent only for services whose duty this entry holds.

    Parameters
    ----------
    region : str
        Region of this entry.
    desired : DesiredState
        Desired state of the services.
    duty_manager : DutyManager
        Duties of this process.
    targets : OrderTargets
        Agents of the region.
    weights : WeightStore or None
        Weight store whose load rate the fleet shares; None if there is none.
    is_candidate : callable
        Returns whether this entry is allowed to hold the duty with a given name.
    settings : OrderSettings, optional
        Intervals and limits.
    clock : callable, default=time.monotonic
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        region: str,
        desired: DesiredState,
        duty_manager: DutyManager,
        targets: OrderTargets,
        weights: WeightStore | None,
        is_candidate: Callable[[str], bool],
        settings: OrderSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._region = region
        self._desired = desired
        self._duty_manager = duty_manager
        self._targets = targets
        self._weights = weights
        self._is_candidate = is_candidate
        self._settings = settings or OrderSettings()
        self._clock = clock
        self._services: dict[str, _Service] = {}
        self._weights_available_at_s = float("-inf")

    def status(self) -> list[OrderStatus]:
        """Return the status of each service, sorted by name."""
        for service in self._services.values():
            service.status.holder_name = service.duty.holder_name
            service.status.fence = service.duty.fence
        return [service.status for _, service in sorted(self._services.items())]

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            try:
                await self.run_round()
            except Exception:
                # An error in one round must not end the orders of all services.
                logging.exception("event=orders_round_failed")
            jitter = random.uniform(JITTER_LOW, JITTER_HIGH)
            await asyncio.sleep(self._settings.round_interval_s * jitter)

    async def run_round(self) -> None:
        """Reconcile all services whose duty this entry holds."""
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
            *(self._reconcile(each, desired[each.name], version) for each in held)
        )

    def _register(self, names: Iterable[str]) -> None:
        for name in set(names) - self._services.keys():
            duty_name = orders_duty_name(self._region, name)
            duty = self._duty_manager.register(
                duty_name, self._make_candidate_check(name, duty_name)
            )
            retries = OrderRetries(self._settings.retries, self._clock)
            self._services[name] = _Service(name, duty, retries, OrderStatus(name))

    def _make_candidate_check(self, service: str, duty_name: str) -> Callable[[], bool]:
        def is_duty_candidate() -> bool:
            is_listed = service in self._desired.services()
            return is_listed and self._is_candidate(duty_name)

        return is_duty_candidate

    async def _reconcile(
        self, service: _Service, desired: ServiceEntry, version: int
    ) -> None:
        peers = {peer.name: peer for peer in self._targets.pinned(service.name)}
        reports = await asyncio.gather(
            *(self._query_report(peer) for peer in peers.values())
        )
        states = [
            _to_server_state(peer, report)
            for peer, report in zip(peers.values(), reports, strict=True)
            if report is not None
        ]
        plan = plan_orders(
            desired,
            states,
            self._settings.plan,
            service.retries.get_orders_in_backoff(),
        )
        self._update_status(service, plan, version, len(peers), len(states))
        service.status.failures = {
            peer.name: report.failure
            for peer, report in zip(peers.values(), reports, strict=True)
            if report is not None and report.failure
        }
        for order in plan.orders:
            if not await self._send_order(service, order, peers[order.server], version):
                return

    def _update_status(
        self, service: _Service, plan: Plan, version: int, servers: int, reporting: int
    ) -> None:
        status = service.status
        status.lists_version = version
        status.servers = servers
        status.reporting = reporting
        if plan.gaps != status.gaps:
            gaps_text = ",".join(
                f"{gap.name}:{gap.actual}/{gap.wanted}:{gap.reason}"
                for gap in plan.gaps
            )
            logging.info("event=orders_gap service=%s gaps=%s", service.name, gaps_text)
        status.gaps = plan.gaps

    async def _query_report(self, peer: AgentPeer) -> ServerReport | None:
        link = peer.link
        if link is None or peer.is_suspect:
            return None
        try:
            return await link.call(
                ServerReportQuery(self._region),
                ServerReport,
                self._settings.call_timeout_s,
            )
        except LinkError:
            return None

    async def _send_order(
        self, service: _Service, order: PlannedOrder, peer: AgentPeer, version: int
    ) -> bool:
        """Send one order; return whether to continue with the next one."""
        if not service.retries.can_send(order):
            return True
        if not await self._reserve_load(service, order):
            return False
        link = peer.link
        # Checked last: if this process was paused past its lease before this line,
        # it sends nothing.
        fence = service.duty.fence
        if not fence or link is None:
            return fence != 0
        message = OrderRequest(
            str(order.kind.value), order.name, order.version, fence, version
        )
        service.retries.record_attempt(order)
        service.status.sent += 1
        try:
            reply = await link.call(message, OrderReply, self._settings.call_timeout_s)
        except LinkError as error:
            reply = OrderReply(False, "no_reply", str(error))
        if not reply.is_accepted:
            service.status.refused += 1
            logging.info(
                "event=order_refused service=%s agent=%s code=%s reason=%r",
                service.name,
                peer.name,
                reply.code,
                reply.reason,
            )
        return True

    async def _reserve_load(self, service: _Service, order: PlannedOrder) -> bool:
        """Reserve a load at the weight store; return whether the order can be sent."""
        if self._weights is None or order.kind is OrderKind.SET_ROLE:
            return True
        status = service.status
        status.waits_for_weights = True
        if self._clock() < self._weights_available_at_s:
            return False
        try:
            await self._weights.start_load(order.name)
        except WeightStoreBusyError as error:
            # Holders of other services are waiting too; jitter spreads their retries.
            backoff_s = error.retry_after_s * random.uniform(1.0, 2.0)
            self._weights_available_at_s = self._clock() + backoff_s
            return False
        except WeightStoreError as error:
            logging.log_every_n(
                logging.WARNING, "event=weight_store_failed error=%r", 10, error
            )
            return False
        status.waits_for_weights = False
        return True


def _to_server_state(peer: AgentPeer, report: ServerReport) -> ServerState:
    return ServerState(
        peer.name,
        report.models,
        report.adapters,
        report.role,
        report.loading,
        peer.accepts_work,
    )
