"""Apply changes in the platform's store to the catalog and the fleet."""

from collections.abc import Callable, Sequence

from boragespring.catalog import CatalogHolder
from boragespring.decisions import DecisionLog
from boragespring.external_values import excerpt
from boragespring.fleet import Fleet, Registration
from boragespring.platform.catalog_codec import CatalogUnreadableError, decode_catalog
from boragespring.platform.names import DRAINED_ZONE_PREFIX
from boragespring.platform.registration_codec import (
    RegistrationUnreadableError,
    decode_registration,
    server_id_of,
)
from boragespring.store import KeyValue
from boragespring.store.store import WatchEvent

__all__ = ["CatalogFeed", "DrainFeed", "FleetFeed", "StoreContactLog"]

#: Number of characters of a reason that are logged.
REASON_MAX_CHARACTERS = 300


class StoreContactLog:
    """Log when the store stops responding, responds again or lost changes.

    Parameters
    ----------
    log : DecisionLog
        Log for these events.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log

    def on_lost(self, reason: str) -> None:
        """Log that the store does not respond."""
        self._log.lifecycle("store_lost", reason=reason)

    def on_regained(self, away_s: float) -> None:
        """Log that the store responds again."""
        self._log.lifecycle("store_regained", away_s=round(away_s, 3))

    def on_restored(self, era_before: int, era: int) -> None:
        """Log that the store returned without changes that it had acknowledged."""
        self._log.state_change("store_restored", era_before=era_before, era=era)


class CatalogFeed:
    """Apply the operator's configuration to the catalog.

    The catalog is decoded from the configuration that the operator has stored.

    Parameters
    ----------
    holder : CatalogHolder
        Holder of the active catalog.
    log : DecisionLog
        Log for configurations that cannot be decoded.
    """

    def __init__(self, holder: CatalogHolder, log: DecisionLog) -> None:
        self._log = log
        self._holder = holder

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Apply the configuration from a snapshot of the store."""
        for item in items:
            self._apply(item)

    def on_change(self, event: WatchEvent) -> None:
        """Apply a changed configuration; a deleted one stays active."""
        if event.item is not None:
            self._apply(event.item)

    def on_confirmed(self, complete_at_s: float) -> None:
        """Record that no newer configuration existed at that time."""
        self._holder.confirm(complete_at_s)

    def _apply(self, item: KeyValue) -> None:
        try:
            self._holder.offer(decode_catalog(item.value), "store")
        except CatalogUnreadableError as error:
            self._log.state_change("catalog_unreadable", reason=str(error))


class FleetFeed:
    """Apply the registrations of backend servers to the fleet.

    An entry that cannot be used comes from another writer. It says nothing of a server
    that is known by an earlier entry under the same key: that one stays until the key
    is removed.

    Parameters
    ----------
    fleet : Fleet
        Backend servers known to this gateway.
    log : DecisionLog
        Log for registrations that cannot be used, one line each time that one changes.
    """

    def __init__(self, fleet: Fleet, log: DecisionLog) -> None:
        self._log = log
        self._fleet = fleet
        #: Reasons for which entries cannot be used, by key.
        self._unusable: dict[str, str] = {}

    @property
    def unusable_count(self) -> int:
        """Number of registrations in the store that cannot be used."""
        return len(self._unusable)

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Replace all registrations by those of a snapshot."""
        for key in self._unusable.keys() - {item.key for item in items}:
            del self._unusable[key]
        registrations = [self._decode(item) for item in items]
        self._fleet.replace_all(
            [
                registration
                for registration in registrations
                if registration is not None
            ],
            is_after_outage,
            kept=[server_id_of(key) for key in self._unusable],
        )

    def on_change(self, event: WatchEvent) -> None:
        """Apply a new, changed or deleted registration."""
        if event.item is None:
            self._unusable.pop(event.key, None)
            self._fleet.unregister(server_id_of(event.key), "entry removed")
            return
        registration = self._decode(event.item)
        if registration is not None:
            self._fleet.register(registration)

    def on_confirmed(self, complete_at_s: float) -> None:
        """Remove servers that did not register again after an outage."""
        self._fleet.expire_lapsed()

    def _decode(self, item: KeyValue) -> Registration | None:
        try:
            registration = decode_registration(item.key, item.value)
        except RegistrationUnreadableError as error:
            self._record_unusable(item.key, str(error)[:REASON_MAX_CHARACTERS])
            return None
        self._unusable.pop(item.key, None)
        return registration

    def _record_unusable(self, key: str, reason: str) -> None:
        if self._unusable.get(key) == reason:
            # Each snapshot contains the entry again.
            return
        self._unusable[key] = reason
        self._log.state_change(
            "registration_unreadable", key=excerpt(key), reason=reason
        )


class DrainFeed:
    """Apply the operator's requests to drain availability zones to the fleet.

    Parameters
    ----------
    fleet : Fleet
        Backend servers known to this gateway.
    snapshot_age_s : callable
        Returns the age in seconds of what is known of the store.
    """

    def __init__(self, fleet: Fleet, snapshot_age_s: Callable[[], float]) -> None:
        self._fleet = fleet
        self._snapshot_age_s = snapshot_age_s

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Drain exactly the zones that a snapshot names."""
        self._apply({_drained_zone(item.key) for item in items})

    def on_change(self, event: WatchEvent) -> None:
        """Drain a zone whose key was written, or restore one whose key is gone."""
        zone = {_drained_zone(event.key)}
        zones = self._fleet.drained_zones
        self._apply(zones - zone if event.item is None else zones | zone)

    def on_confirmed(self, complete_at_s: float) -> None:
        """Do nothing; drained zones do not expire."""

    def _apply(self, zones: set[str] | frozenset[str]) -> None:
        self._fleet.drain_zones(zones, self._snapshot_age_s())


def _drained_zone(key: str) -> str:
    return key.removeprefix(DRAINED_ZONE_PREFIX)
