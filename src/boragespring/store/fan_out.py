"""Let several readers share one copy of the store's keys."""

from collections.abc import Mapping, Sequence

from boragespring.store.follower import PrefixListener
from boragespring.store.store import KeyValue, WatchEvent

__all__ = ["PrefixFanOut"]


class PrefixFanOut:
    """Hand keys to the reader of their prefix; other keys go to nobody.

    One watch then serves all readers of a process, since the store counts
    each waiting watch as a call.

    Parameters
    ----------
    listeners : mapping of str to PrefixListener
        Readers by prefix; no prefix may begin another one.
    """

    def __init__(self, listeners: Mapping[str, PrefixListener]) -> None:
        self._listeners = listeners

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Hand each reader its keys."""
        for prefix, listener in self._listeners.items():
            matching_items = [item for item in items if item.key.startswith(prefix)]
            listener.on_snapshot(matching_items, is_after_outage)

    def on_change(self, event: WatchEvent) -> None:
        """Hand a change to its reader."""
        for prefix, listener in self._listeners.items():
            if event.key.startswith(prefix):
                listener.on_change(event)
                return

    def on_confirmed(self, complete_at_s: float) -> None:
        """Tell all readers."""
        for listener in self._listeners.values():
            listener.on_confirmed(complete_at_s)
