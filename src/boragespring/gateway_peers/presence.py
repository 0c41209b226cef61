"""Register this gateway in the store and follow the other gateways there."""

import asyncio
import json
import random
from collections.abc import Callable, Sequence

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.external_values import (
    PORT_MAX,
    check_host,
    check_integer,
    check_name,
    check_number,
    check_text,
    excerpt,
)
from boragespring.json_document import parse_json
from boragespring.store import KeyValue, KeyValueStore, StoreError
from boragespring.store.instances import Instance, InstanceRole
from boragespring.store.store import (
    ABSENT_REVISION,
    ConditionalWrite,
    Lease,
    LeaseExpiredError,
    WatchEvent,
)

__all__ = ["PRESENCE_PREFIX", "Presence", "PresenceSettings"]

PRESENCE_PREFIX = "boragespring/gateways/"
#: Number of characters of an error that are logged.
REASON_MAX_CHARACTERS = 300


@frozen
class PresenceSettings:
    """Lease of this gateway's entry in the store.

    Parameters
    ----------
    lease_ttl_s : float
        Time to live of the lease in seconds; the entry of a dead gateway expires
        with it.
    renewal_fraction : float
        Fraction of the time to live after which the lease is renewed.
    retry_delay_s : float
        Delay in seconds after a failed call to the store.
    """

    lease_ttl_s: float = 9.0
    renewal_fraction: float = 0.33
    retry_delay_s: float = 0.5


class Presence:
    """Maintain this gateway's entry under a lease and follow those of others.

    Parameters
    ----------
    store : KeyValueStore
        Store that holds the entries.
    local_gateway : Instance
        This gateway, as other gateways reach it.
    notify_gateways : callable
        Called with all known gateways whenever an entry changes.
    settings : PresenceSettings
        Lease and delays.
    log : DecisionLog
        Log for failed writes and entries that cannot be used.
    """

    def __init__(
        self,
        store: KeyValueStore,
        local_gateway: Instance,
        notify_gateways: Callable[[tuple[Instance, ...]], None],
        settings: PresenceSettings,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._local_gateway = local_gateway
        self._notify_gateways = notify_gateways
        self._settings = settings
        self._log = log
        self._gateways: dict[str, Instance] = {}
        self._lease: Lease | None = None

    async def run(self) -> None:
        """Maintain the entry until cancelled."""
        while True:
            try:
                delay_s = await self._maintain_lease()
            except LeaseExpiredError:
                self._lease = None
                delay_s = 0.0
            except StoreError as error:
                self._log.state_change("presence_unwritten", reason=str(error))
                delay_s = self._settings.retry_delay_s
            await asyncio.sleep(delay_s * random.uniform(0.8, 1.0))

    async def withdraw(self) -> None:
        """Remove the entry, so that other gateways stop dialling this one."""
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease.lease_id)
        except StoreError as error:
            self._log.lifecycle("presence_left_to_expire", reason=str(error))

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Apply all entries.

        Parameters
        ----------
        items : sequence of KeyValue
            Every entry in the store.
        is_after_outage : bool
            Whether leases may have expired during an outage of the store.
            Gateways without an entry are then kept, so that links to them stay.
        """
        listed = {item.key for item in items}
        found = {item.key: self._parse(item) for item in items}
        known = {
            key: instance
            for key, instance in self._gateways.items()
            if is_after_outage or key in listed
        }
        self._gateways = {
            **known,
            **{key: instance for key, instance in found.items() if instance},
        }
        self._notify()

    def on_change(self, event: WatchEvent) -> None:
        """Apply a new, changed or removed entry."""
        instance = None if event.item is None else self._parse(event.item)
        if event.item is None:
            self._gateways.pop(event.key, None)
        elif instance is not None:
            self._gateways[event.key] = instance
        self._notify()

    def on_confirmed(self, complete_at_s: float) -> None:
        """Ignore contact with the store; only changed entries matter here."""

    def _parse(self, item: KeyValue) -> Instance | None:
        """Return the gateway that an entry describes; None if it cannot be used.

        A gateway that is known by an earlier entry stays until the key is removed.
        """
        try:
            return _parse_entry(item)
        except (ValueError, LookupError, TypeError) as error:
            self._log.state_change(
                "presence_unreadable",
                key=excerpt(item.key),
                reason=repr(error)[:REASON_MAX_CHARACTERS],
            )
            return None

    def _notify(self) -> None:
        self._notify_gateways(tuple(self._gateways.values()))

    async def _maintain_lease(self) -> float:
        """Grant or renew the lease; return the delay until the next renewal."""
        if self._lease is None:
            lease = await self._store.grant_lease(self._settings.lease_ttl_s)
            await self._write_entry(lease.lease_id)
            self._log.state_change("presence_written", era=lease.era)
        else:
            lease = await self._store.renew_lease(self._lease.lease_id)
            if lease.era != self._lease.era:
                raise LeaseExpiredError(f"the store began era {lease.era}")
        self._lease = lease
        return lease.ttl_s * self._settings.renewal_fraction

    async def _write_entry(self, lease_id: int) -> None:
        """Write the entry, replacing one that an earlier process left behind."""
        key = PRESENCE_PREFIX + self._local_gateway.name
        value = json.dumps(
            {
                "availability_zone": self._local_gateway.availability_zone,
                "region": self._local_gateway.region,
                "host": self._local_gateway.host,
                "link_port": self._local_gateway.link_port,
                "cpu_cores": self._local_gateway.cpu_cores,
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


def _parse_entry(item: KeyValue) -> Instance:
    fields = parse_json(item.value)
    return Instance(
        name=check_name(item.key.removeprefix(PRESENCE_PREFIX)),
        role=InstanceRole.ENTRY,
        service="",
        region=check_text(fields["region"]),
        availability_zone=check_text(fields["availability_zone"]),
        host=check_host(fields["host"]),
        link_port=check_integer(fields["link_port"], 1, PORT_MAX),
        http_port=0,
        # Gateways of an earlier version do not write this field.
        cpu_cores=check_number(fields.get("cpu_cores", 1.0)),
    )
