"""Limit on the number of distinct values of a metric label."""

__all__ = ["OTHER_LABEL", "LabelBound"]

#: Label value that replaces all values beyond the limit.
OTHER_LABEL = "other"


class LabelBound:
    """Keep a limited number of label values and fold all others into one.

    Values are kept in the order in which they first occur. The limit protects
    against an unbounded number of time series.

    Parameters
    ----------
    values_max : int
        Maximum number of distinct values.
    """

    def __init__(self, values_max: int) -> None:
        self._values_max = values_max
        self._values: set[str] = set()

    def fold(self, value: str) -> str:
        """Return the value itself, or `OTHER_LABEL` beyond the limit."""
        if value in self._values:
            return value
        if len(self._values) >= self._values_max:
            return OTHER_LABEL
        self._values.add(value)
        return value
