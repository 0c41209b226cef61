"""Recent loads of an engine, from which delayed load reports are taken."""

from collections import deque

from attrs import define, field

from boragespring.standins.engine_core import EngineCore, EngineSnapshot

__all__ = ["LoadHistory"]

SNAPSHOT_INTERVAL_S = 0.02


@define
class LoadHistory:
    """Load snapshots of the last ``lag_s`` seconds.

    Parameters
    ----------
    lag_s : float
        Age of the reported load in seconds.
    """

    lag_s: float
    _snapshots: deque[EngineSnapshot] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._snapshots = deque([EngineSnapshot()])

    def add_if_due(self, core: EngineCore, now_s: float) -> None:
        """Record the current load unless the last snapshot is recent.

        Parameters
        ----------
        core : EngineCore
            Engine whose load is recorded.
        now_s : float
            Current time in seconds.
        """
        if now_s - self._snapshots[-1].taken_at_s >= SNAPSHOT_INTERVAL_S:
            self.add(core.snapshot(now_s))

    def add(self, load: EngineSnapshot) -> None:
        """Record a snapshot and remove those that are too old to be reported."""
        snapshots = self._snapshots
        snapshots.append(load)
        horizon_s = load.taken_at_s - self.lag_s
        while len(snapshots) > 1 and snapshots[1].taken_at_s <= horizon_s:
            snapshots.popleft()

    def lagged_load(self, now_s: float) -> EngineSnapshot:
        """Return the newest load that is at least ``lag_s`` old.

        If no snapshot is that old, the oldest one is returned.
        """
        horizon_s = now_s - self.lag_s
        old_enough = [load for load in self._snapshots if load.taken_at_s <= horizon_s]
        return old_enough[-1] if old_enough else self._snapshots[0]
