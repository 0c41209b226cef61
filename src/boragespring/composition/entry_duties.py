"""Build the components by which an entry holds duties and sends orders."""

import asyncio
from collections.abc import Callable, Mapping

from attrs import asdict

from boragespring.lists import ListsReplica
from boragespring.lists.model import ServiceEntry
from boragespring.membership import AgentPeers, DutyManager, duty_candidates
from boragespring.orders import OrderReconciler
from boragespring.settings import EntrySettings
from boragespring.store import HttpWeightStore, Instance, KeyValueStore

__all__ = ["EntryDuties"]


class _DesiredServices:
    """Desired state of the services, according to the active lists."""

    def __init__(self, replica: ListsReplica) -> None:
        self._replica = replica

    @property
    def version(self) -> int:
        """Version of the active lists, or 0 if there are none."""
        return self._replica.version

    def services(self) -> Mapping[str, ServiceEntry]:
        """Return the services by name; empty while there are no lists."""
        return self._replica.view.services() if self._replica.is_ready else {}


class EntryDuties:
    """Manage the duties of an entry, and send orders to engines through agents.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    store : KeyValueStore
        The platform's store.
    replica : ListsReplica
        Active lists.
    peers : AgentPeers
        Links to the agents, and the instance list.
    is_leaving : callable
        Returns whether the entry is leaving, in which case it releases its duties.

    Attributes
    ----------
    weights : HttpWeightStore or None
        Client of the weight store; None if the settings name none.
    duty_manager : DutyManager
        Manages the duties of this process.
    orders : OrderReconciler
        Sends orders for the services whose duty this entry holds.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: KeyValueStore,
        replica: ListsReplica,
        peers: AgentPeers,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._name = settings.name
        self._region = settings.placement.region
        self._peers = peers
        self._is_leaving = is_leaving
        self._ranked_entries: dict[str, Instance] = {}
        self._candidates: dict[str, frozenset[str]] = {}
        platform = settings.platform
        self.weights = (
            HttpWeightStore(platform.weight_store_url, platform.call_timeout_s)
            if platform.weight_store_url
            else None
        )
        self.duty_manager = DutyManager(store, settings.name)
        self.orders = OrderReconciler(
            self._region,
            _DesiredServices(replica),
            self.duty_manager,
            peers,
            self.weights,
            self.is_candidate,
        )

    def is_candidate(self, duty_name: str) -> bool:
        """Return whether this entry is a candidate for a duty of its region.

        A leaving entry is a candidate for none. The candidates are computed again
        only when the instance list changes.
        """
        if self._is_leaving():
            return False
        entries = self._peers.view.entries()
        if entries is not self._ranked_entries:
            self._ranked_entries = entries
            self._candidates.clear()
        names = self._candidates.get(duty_name)
        if names is None:
            region_entries = [
                entry for entry in entries.values() if entry.region == self._region
            ]
            names = duty_candidates(duty_name, region_entries)
            self._candidates[duty_name] = names
        return self._name in names

    async def run(self) -> None:
        """Hold duties and send orders until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.duty_manager.run())
            group.create_task(self.orders.run())

    async def close(self) -> None:
        """Close the connections to the weight store."""
        if self.weights is not None:
            await self.weights.close()

    def status(self) -> dict[str, object]:
        """Return the state of duties and orders for the status page."""
        duties = [
            {
                "name": duty.name,
                "holder": duty.holder_name,
                "fence": duty.observed_fence,
                "is_held": duty.is_held(),
            }
            for _, duty in sorted(self.duty_manager.duties.items())
        ]
        return {
            "duties": duties,
            "duty_calls": asdict(self.duty_manager.counters),
            "orders": [asdict(status) for status in self.orders.status()],
        }
