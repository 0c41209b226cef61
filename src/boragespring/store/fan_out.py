"""Distribute the changes of one watch among several listeners."""

from collections.abc import Callable, Mapping, Sequence
from typing import ParamSpec

from absl import logging

from boragespring.store.follower import PrefixListener
from boragespring.store.store import KeyValue, WatchEvent

__all__ = ["PrefixFanOut"]

P = ParamSpec("P")


class PrefixFanOut:
    """`PrefixListener` that forwards each key to the listener for its prefix.

    Keys without a listener are ignored. All listeners of a process share one watch,
    because the store counts every open watch against the rate limits. An exception in
    a listener is logged and does not reach the others or the watch.

    Parameters
    ----------
    listeners : mapping of str to PrefixListener
        Listeners by prefix; no prefix may be a prefix of another one.
    """

    def __init__(self, listeners: Mapping[str, PrefixListener]) -> None:
        self._listeners = listeners

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Forward to each listener the keys under its prefix."""
        for prefix, listener in self._listeners.items():
            matching_items = [item for item in items if item.key.startswith(prefix)]
            _call(prefix, listener.on_snapshot, matching_items, is_after_outage)

    def on_change(self, event: WatchEvent) -> None:
        """Forward a change to the listener for its prefix."""
        for prefix, listener in self._listeners.items():
            if event.key.startswith(prefix):
                _call(prefix, listener.on_change, event)
                return

    def on_confirmed(self, complete_at_s: float) -> None:
        """Notify all listeners."""
        for prefix, listener in self._listeners.items():
            _call(prefix, listener.on_confirmed, complete_at_s)


def _call(
    prefix: str, handle: Callable[P, None], *args: P.args, **kwargs: P.kwargs
) -> None:
    try:
        handle(*args, **kwargs)
    except Exception:
        logging.exception("event=store_listener_failed prefix=%s", prefix)
