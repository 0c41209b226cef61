"""Feed the product's catalog and fleet from the platform's store."""

from collections.abc import Sequence

from boragespring.catalog import CatalogHolder
from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, Registration
from boragespring.platform.catalog_codec import CatalogUnreadableError, decode_catalog
from boragespring.platform.registration_codec import (
    RegistrationUnreadableError,
    decode_registration,
    server_id_of,
)
from boragespring.store import KeyValue
from boragespring.store.store import WatchEvent

__all__ = ["CatalogFeed", "FleetFeed", "StoreContactLog"]


class StoreContactLog:
    """Tell the loss and return of the store."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log

    def on_lost(self, reason: str) -> None:
        """Tell that the store does not answer."""
        self._log.lifecycle("store_lost", reason=reason)

    def on_regained(self, away_s: float) -> None:
        """Tell that the store answers again."""
        self._log.lifecycle("store_regained", away_s=round(away_s, 3))


class CatalogFeed:
    """Take in the operator's configuration."""

    def __init__(self, holder: CatalogHolder, log: DecisionLog) -> None:
        self._log = log
        self._holder = holder

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Take in all keys."""
        for item in items:
            self._offer(item)

    def on_change(self, event: WatchEvent) -> None:
        """Take in one change; a removed configuration stays in force."""
        if event.item is not None:
            self._offer(event.item)

    def on_confirmed(self, complete_at_s: float) -> None:
        """Note that no newer configuration existed at that time."""
        self._holder.confirm(complete_at_s)

    def _offer(self, item: KeyValue) -> None:
        try:
            self._holder.offer(decode_catalog(item.value), "store")
        except CatalogUnreadableError as error:
            self._log.belief("catalog_unreadable", reason=str(error))


class FleetFeed:
    """Take in the entries of backend servers."""

    def __init__(self, fleet: Fleet, log: DecisionLog) -> None:
        self._log = log
        self._fleet = fleet

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Take in all entries."""
        found = [self._decode(item) for item in items]
        self._fleet.replace_all(
            [one for one in found if one is not None], is_after_outage
        )

    def on_change(self, event: WatchEvent) -> None:
        """Take in one entry, or its removal."""
        if event.item is None:
            self._fleet.unregister(server_id_of(event.key), "entry removed")
            return
        registration = self._decode(event.item)
        if registration is not None:
            self._fleet.register(registration)

    def on_confirmed(self, complete_at_s: float) -> None:
        """Give up servers that did not register again."""
        self._fleet.drop_lapsed()

    def _decode(self, item: KeyValue) -> Registration | None:
        try:
            return decode_registration(item.key, item.value)
        except RegistrationUnreadableError as error:
            self._log.belief("registration_unreadable", reason=str(error)[:300])
            return None
