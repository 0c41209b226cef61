"""Keep the crashes behind the present quarantine in the store.

Gateways that run learn of crashes from each other; the store is read by gateways that
all start at the same time, for example after a loss of power.
"""

import json
import time
from collections.abc import Callable, Sequence
from typing import Any

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.event_loop import sleep_until_tick
from boragespring.external_values import check_integer, check_string, check_text
from boragespring.fleet import ServerProcess
from boragespring.json_document import parse_json
from boragespring.quarantine.crashes import Crash
from boragespring.quarantine.quarantine import RequestQuarantine
from boragespring.store import KeyValue, KeyValueStore, StoreError
from boragespring.store.store import ABSENT_REVISION, ConditionalWrite, WatchEvent

__all__ = ["CRASHES_KEY", "CrashArchive", "CrashArchiveSettings"]

CRASHES_KEY = "boragespring/crashes"


@frozen
class CrashArchiveSettings:
    """Timing of writes.

    Parameters
    ----------
    interval_s : float
        Time in seconds between two comparisons with what the store holds.
    """

    interval_s: float = 0.5


class CrashArchive:
    """Write the crashes behind the quarantine to the store, and read them back.

    One gateway writes, and only what the store does not hold. The ages of crashes are
    not stored, as clocks of two machines are not compared: crashes that are read count
    from then on.

    Parameters
    ----------
    store : KeyValueStore
        Store of the platform.
    quarantine : RequestQuarantine
        Quarantine of this gateway.
    is_responsible : callable
        Returns whether this gateway writes a key.
    settings : CrashArchiveSettings
        Timing of writes.
    log : DecisionLog
        Log of values that cannot be read and of failed writes.
    """

    def __init__(
        self,
        store: KeyValueStore,
        quarantine: RequestQuarantine,
        is_responsible: Callable[[str], bool],
        settings: CrashArchiveSettings,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._is_responsible = is_responsible
        self._settings = settings
        self._log = log
        self._has_read = False
        self._stored: KeyValue | None = None

    async def run(self) -> None:
        """Write changes until cancelled."""
        while True:
            await sleep_until_tick(self._settings.interval_s)
            value = _encode(self._quarantine)
            if self._has_read and value != self._stored_value():
                await self._write(value)

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Apply the stored crashes, if there are any."""
        self._apply(next(iter(items), None))

    def on_change(self, event: WatchEvent) -> None:
        """Apply the stored crashes after a change."""
        self._apply(event.item)

    def on_confirmed(self, complete_at_s: float) -> None:
        """Ignore contact with the store; only changes matter here."""

    def _apply(self, item: KeyValue | None) -> None:
        self._has_read = True
        self._stored = item
        if item is None:
            return
        try:
            crashes = _decode(item.value)
        except (ValueError, LookupError, TypeError, OverflowError) as error:
            self._log.state_change("crashes_unreadable", reason=repr(error)[:300])
            return
        self._quarantine.merge(crashes, [])

    def _stored_value(self) -> bytes:
        return self._stored.value if self._stored is not None else _NOTHING

    async def _write(self, value: bytes) -> None:
        if not self._is_responsible(CRASHES_KEY):
            return
        stored = self._stored
        revision = stored.mod_revision if stored is not None else ABSENT_REVISION
        try:
            await self._store.write(ConditionalWrite(CRASHES_KEY, value, revision))
        except StoreError as error:
            self._log.state_change("crashes_unwritten", reason=str(error))


def _encode(quarantine: RequestQuarantine) -> bytes:
    rows = [
        {
            "server": crash.process.server_id,
            "started_at_ms": crash.process.started_at_ms,
            "service": crash.service,
            # What else the runs had may be cleared by now, which is not stored.
            "runs": [sorted(culprit.traits)],
        }
        for culprit in quarantine.culprits
        for crash in culprit.crashes
    ]
    rows.sort(key=lambda row: (str(row["server"]), str(row["started_at_ms"])))
    return json.dumps({"crashes": rows}).encode()


def _decode(value: bytes) -> list[Crash]:
    rows: list[dict[str, Any]] = parse_json(value)["crashes"]
    now_s = time.monotonic()
    return [
        Crash(
            process=ServerProcess(
                check_text(row["server"]), check_integer(row["started_at_ms"])
            ),
            service=check_text(row["service"]),
            at_s=now_s,
            starting=frozenset(
                frozenset(map(check_string, traits)) for traits in row["runs"]
            ),
        )
        for row in rows
    ]


#: Value of the key while there is no quarantine.
_NOTHING = json.dumps({"crashes": []}).encode()
