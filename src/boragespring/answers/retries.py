"""Budget that keeps restarts from multiplying the load."""

from collections import OrderedDict

from attrs import define, frozen

__all__ = ["RetryBudget", "RetrySettings"]


@frozen
class RetrySettings:
    """How many restarts a workspace may cause.

    Parameters
    ----------
    restarts_per_request : float
        Restarts that each request earns.
    restarts_max : float
        Most restarts that are saved up; a new workspace starts with them.
    workspaces_max : int
        Most workspaces that are remembered.
    """

    restarts_per_request: float = 0.2
    restarts_max: float = 20.0
    workspaces_max: int = 1000


@define
class _Bucket:
    restarts: float


class RetryBudget:
    """Token bucket of restarts for each workspace, filled by its requests.

    When servers fail widely, restarts add at most the earned share to the load
    instead of multiplying it by the number of attempts.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def record_request(self, workspace: str) -> None:
        """Let a new request earn its share."""
        bucket = self._bucket(workspace)
        earned = bucket.restarts + self._settings.restarts_per_request
        bucket.restarts = min(earned, self._settings.restarts_max)

    def try_spend(self, workspace: str) -> bool:
        """Spend one restart; return False when none is left."""
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
