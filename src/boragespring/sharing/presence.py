"""Make this gateway known to the others through the store."""

import asyncio
import json
import random
from collections.abc import Callable, Sequence

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.store import KeyValue, KeyValueStore, StoreError
from boragespring.store.instances import Instance, InstanceRole
from boragespring.store.store import (
    ABSENT_REVISION,
    ConditionalWrite,
    LeaseExpiredError,
    WatchEvent,
)

__all__ = ["PRESENCE_PREFIX", "Presence", "PresenceSettings"]

PRESENCE_PREFIX = "boragespring/gateways/"


@frozen
class PresenceSettings:
    """Lease of the entry in the store.

    Parameters
    ----------
    lease_ttl_s : float
        Time after which the entry of a dead gateway goes.
    renewal_part : float
        Part of that time between two renewals.
    retry_pause_s : float
        Pause after a failed call.
    """

    lease_ttl_s: float = 9.0
    renewal_part: float = 0.33
    retry_pause_s: float = 0.5


class Presence:
    """Keep an entry under a lease, and take in those of others.

    Parameters
    ----------
    store : KeyValueStore
        Where entries lie.
    own : Instance
        This gateway.
    take : callable
        Takes all gateways whenever they change.
    settings : PresenceSettings
        Lease.
    log : DecisionLog
        Where changes are told.
    """

    def __init__(
        self,
        store: KeyValueStore,
        own: Instance,
        take: Callable[[tuple[Instance, ...]], None],
        settings: PresenceSettings,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._own = own
        self._take = take
        self._settings = settings
        self._log = log
        self._gateways: dict[str, Instance] = {}
        self._lease_id = 0

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        while True:
            try:
                pause_s = await self._turn()
            except LeaseExpiredError:
                self._lease_id = 0
                pause_s = 0.0
            except StoreError as error:
                self._log.belief("presence_unwritten", reason=str(error))
                pause_s = self._settings.retry_pause_s
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.0))

    async def withdraw(self) -> None:
        """Remove the entry, so that the others stop dialling."""
        if not self._lease_id:
            return
        try:
            await self._store.revoke_lease(self._lease_id)
        except StoreError as error:
            self._log.lifecycle("presence_left_to_expire", reason=str(error))

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Take in all entries; links to those that lapsed are kept."""
        found = {item.key: _instance(item) for item in items}
        known = self._gateways if is_after_outage else {}
        self._gateways = {
            **known,
            **{key: instance for key, instance in found.items() if instance},
        }
        self._tell()

    def on_change(self, event: WatchEvent) -> None:
        """Take in one entry, or its removal."""
        instance = _instance(event.item) if event.item is not None else None
        if instance is None:
            self._gateways.pop(event.key, None)
        else:
            self._gateways[event.key] = instance
        self._tell()

    def on_confirmed(self, complete_at_s: float) -> None:
        """Note that the entries were complete."""

    def _tell(self) -> None:
        self._take(tuple(self._gateways.values()))

    async def _turn(self) -> float:
        if not self._lease_id:
            lease = await self._store.grant_lease(self._settings.lease_ttl_s)
            await self._write(lease.lease_id)
            self._lease_id = lease.lease_id
        else:
            lease = await self._store.renew_lease(self._lease_id)
        return lease.ttl_s * self._settings.renewal_part

    async def _write(self, lease_id: int) -> None:
        """Write the entry over one of an earlier start, if there is one."""
        key = PRESENCE_PREFIX + self._own.name
        value = json.dumps(
            {
                "availability_zone": self._own.availability_zone,
                "region": self._own.region,
                "host": self._own.host,
                "link_port": self._own.link_port,
            }
        ).encode()
        expected = ABSENT_REVISION
        while True:
            write = ConditionalWrite(key, value, expected, lease_id)
            result = await self._store.write(write)
            if result.applied:
                return
            current = result.current
            expected = current.mod_revision if current else ABSENT_REVISION


def _instance(item: KeyValue) -> Instance | None:
    """Return the gateway of an entry; None for one that cannot be read."""
    try:
        fields = json.loads(item.value)
        return Instance(
            name=item.key.removeprefix(PRESENCE_PREFIX),
            role=InstanceRole.ENTRY,
            service="",
            region=str(fields["region"]),
            availability_zone=str(fields["availability_zone"]),
            host=str(fields["host"]),
            link_port=int(fields["link_port"]),
            http_port=0,
        )
    except (ValueError, LookupError, TypeError):
        return None
