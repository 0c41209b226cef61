"""Budget that limits the load caused by restarts."""

from collections import OrderedDict

from attrs import define, frozen

__all__ = ["RetryBudget", "RetrySettings"]


@frozen
class RetrySettings:
    """Limits on the restarts of each workspace.

    Parameters
    ----------
    restarts_per_request : float
        Number of restarts that each request adds to the budget.
    restarts_max : float
        Capacity of the budget; a new workspace starts with a full one.
    workspaces_max : int
        Number of workspaces to track; the least recently used is evicted.
    """

    restarts_per_request: float = 0.2
    restarts_max: float = 20.0
    workspaces_max: int = 1000


@define
class _Bucket:
    restarts: float


class RetryBudget:
    """Token bucket of restarts for each workspace, refilled by its requests.

    When many servers fail, restarts increase the load by at most the fraction
    `restarts_per_request` instead of multiplying it by the number of attempts.

    Parameters
    ----------
    settings : RetrySettings
        Limits on the restarts of each workspace.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def record_request(self, workspace: str) -> None:
        """Add the restarts that a new request earns to the budget."""
        bucket = self._bucket(workspace)
        earned = bucket.restarts + self._settings.restarts_per_request
        bucket.restarts = min(earned, self._settings.restarts_max)

    def try_spend(self, workspace: str) -> bool:
        """Spend one restart; return False if none is left."""
        bucket = self._bucket(workspace)
        if bucket.restarts < 1.0:
            return False
        bucket.restarts -= 1.0
        return True

    def _bucket(self, workspace: str) -> _Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            if len(self._buckets) >= self._settings.workspaces_max:
                self._buckets.popitem(last=False)
            bucket = _Bucket(self._settings.restarts_max)
            self._buckets[workspace] = bucket
        self._buckets.move_to_end(workspace)
        return bucket
