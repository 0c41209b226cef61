"""Let several readers share one copy of the store's keys."""

from collections.abc import Mapping, Sequence

from boragespring.store.follower import FollowsPrefix
from boragespring.store.store import KeyValue, WatchEvent

__all__ = ["PrefixFanOut"]


class PrefixFanOut:
    """Hand keys to the reader of their prefix; other keys go to nobody.

    One watch then serves all readers of a process, since the store counts
    each waiting watch as a call.

    Parameters
    ----------
    targets : mapping of str to FollowsPrefix
        Readers by prefix; no prefix may begin another one.
    """

    def __init__(self, targets: Mapping[str, FollowsPrefix]) -> None:
        self._targets = targets

    def on_snapshot(self, items: Sequence[KeyValue], has_lapsed: bool) -> None:
        """Hand each reader its keys."""
        for prefix, target in self._targets.items():
            own = [item for item in items if item.key.startswith(prefix)]
            target.on_snapshot(own, has_lapsed)

    def on_change(self, event: WatchEvent) -> None:
        """Hand a change to its reader."""
        for prefix, target in self._targets.items():
            if event.key.startswith(prefix):
                target.on_change(event)
                return

    def on_contact(self, complete_at_s: float) -> None:
        """Tell all readers."""
        for target in self._targets.values():
            target.on_contact(complete_at_s)
