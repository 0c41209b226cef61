"""How long gateways wait in their watches of the store, one after another.

The store answers a watch at the next change or after a wait. Gateways tell each
other how recent their copies are. Where their waits end in turn, all copies are
confirmed often while each gateway asks seldom, and an outage of the store is
noticed soon by all.
"""

from collections.abc import Callable, Iterable

from attrs import frozen

__all__ = ["WatchTurnSettings", "WatchTurns"]


@frozen
class WatchTurnSettings:
    """Waits of watches.

    Parameters
    ----------
    wait_per_gateway_s : float
        Wait for each gateway: the more there are, the longer each may wait.
    wait_min_s, wait_max_s : float
        Bounds of the wait.
    missed_turns : int
        Turns without an answer after which the store is taken to be away.
    slack_s : float
        Time for an answer and for the word of it to the other gateways.
    """

    wait_per_gateway_s: float = 0.4
    wait_min_s: float = 2.0
    wait_max_s: float = 10.0
    missed_turns: int = 2
    slack_s: float = 0.4


class WatchTurns:
    """Turns of this gateway among those that it has links to.

    Parameters
    ----------
    own_name : str
        Name of this gateway.
    peer_names : callable
        Returns the other gateways.
    settings : WatchTurnSettings, optional
        Waits.
    """

    def __init__(
        self,
        own_name: str,
        peer_names: Callable[[], Iterable[str]],
        settings: WatchTurnSettings | None = None,
    ) -> None:
        self._own_name = own_name
        self._peer_names = peer_names
        self._settings = settings or WatchTurnSettings()

    def wait_s(self, is_after_change: bool) -> float:
        """Return how long the next watch may wait.

        A change ends the waits of all gateways at once; from then on each takes
        its turn.
        """
        names = sorted({self._own_name, *self._peer_names()})
        whole_s = self._whole_s(len(names))
        if not is_after_change:
            return whole_s
        return whole_s * (1 + names.index(self._own_name)) / len(names)

    def age_limit_s(self) -> float:
        """Return the age of a copy from which the store is taken to be away."""
        count = len({self._own_name, *self._peer_names()})
        whole_s = self._whole_s(count)
        turns_s = self._settings.missed_turns * whole_s / count
        return min(turns_s, whole_s) + self._settings.slack_s

    def _whole_s(self, count: int) -> float:
        wait_s = self._settings.wait_per_gateway_s * count
        bounded_s = max(wait_s, self._settings.wait_min_s)
        return min(bounded_s, self._settings.wait_max_s)
