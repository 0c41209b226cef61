"""Distribution of output lengths, estimated from past generations.

For each range of lengths (bucket), a model counts the generations that reached
the bucket and those that ended in it. Generations that are still running, were
cancelled or reached their ``max_tokens`` are censored observations: they count
only for the buckets that they passed, so that long outputs are not
underestimated (Kaplan-Meier estimate).
"""

import math
import operator
from bisect import bisect_left
from collections.abc import Sequence
from itertools import accumulate, pairwise

from attrs import Factory, define, field

__all__ = ["HORIZONS_TOKENS", "LengthModel", "LengthModels", "bucket_of"]

BUCKETS_PER_OCTAVE = 4
OCTAVES = 18
BUCKET_COUNT = BUCKETS_PER_OCTAVE * OCTAVES
#: Weight of the parent model's estimate, in generations.
PARENT_WEIGHT = 8.0
#: Weight of the prior in generations; low, because the prior is wide enough for
#: any traffic.
PRIOR_WEIGHT = 2.0
#: Median length of the prior distribution.
PRIOR_MEDIAN_TOKENS = 64.0
#: Number of observations above which all counts are halved to discount old ones.
HALVING_GENERATIONS = 4096.0
#: Fraction of new observations above which the survival table is recomputed.
REBUILD_FRACTION = 0.02
#: Numbers of further tokens for which survival probabilities are cached.
HORIZONS_TOKENS = (0, 16, *(base << i for i in range(10) for base in (24, 32)))

_EDGES: tuple[float, ...] = tuple(
    2.0 ** (index / BUCKETS_PER_OCTAVE) for index in range(BUCKET_COUNT + 1)
)
#: Probability of ending in each bucket (hazard) under a Lomax distribution of shape
#: 1, whose tail is so heavy that its mean is infinite.
_PRIOR_HAZARDS: tuple[float, ...] = tuple(
    (end - start) / (PRIOR_MEDIAN_TOKENS + end) for start, end in pairwise(_EDGES)
)


def bucket_of(length_tokens: int) -> int:
    """Return the index of the bucket that contains a length."""
    if length_tokens <= 1:
        return 0
    index = int(math.log2(length_tokens) * BUCKETS_PER_OCTAVE)
    return min(index, BUCKET_COUNT - 1)


@define(eq=False)
class LengthModel:
    """Length distribution of one category of generations.

    Parameters
    ----------
    parent : LengthModel or None
        Model of a broader category, whose estimate dominates while this model has
        few observations.
    """

    parent: "LengthModel | None" = None
    _reached: list[float] = field(init=False)
    _ended: list[float] = field(init=False)
    _survival: list[float] = field(init=False, factory=list)
    _horizons: dict[int, tuple[float, ...]] = field(init=False, factory=dict)
    _new_observations: float = field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        self._reached = [0.0] * BUCKET_COUNT
        self._ended = [0.0] * BUCKET_COUNT

    def record_survival(self, first_bucket: int, last_bucket: int) -> None:
        """Record that a generation passed the buckets before ``last_bucket``."""
        for index in range(first_bucket, last_bucket):
            self._reached[index] += 1.0
        self._record_change()
        if self.parent is not None:
            self.parent.record_survival(first_bucket, last_bucket)

    def record_end(self, bucket: int) -> None:
        """Record that a generation completed in a bucket."""
        self._reached[bucket] += 1.0
        self._ended[bucket] += 1.0
        self._record_change()
        if self.parent is not None:
            self.parent.record_end(bucket)

    def survival(self, length_tokens: float) -> float:
        """Return the probability that a generation is longer than a length."""
        table = self._survival_table()
        if length_tokens <= 1:
            return 1.0
        position = math.log2(length_tokens) * BUCKETS_PER_OCTAVE
        index = int(position)
        if index >= BUCKET_COUNT:
            return 0.0
        fraction = (length_tokens - _EDGES[index]) / (_EDGES[index + 1] - _EDGES[index])
        return table[index] + (table[index + 1] - table[index]) * fraction

    def conditional_survival(self, produced_tokens: int, more_tokens: int) -> float:
        """Return the probability of ``more_tokens`` after ``produced_tokens``."""
        base_survival = self.survival(produced_tokens)
        if base_survival <= 0.0:
            return 0.0
        return self.survival(produced_tokens + more_tokens) / base_survival

    def horizon_survivals(self, bucket: int) -> tuple[float, ...]:
        """Return the probability of reaching each horizon from a bucket.

        The probabilities apply to a generation whose length so far is the
        midpoint of the bucket.
        """
        self._survival_table()
        survivals = self._horizons.get(bucket)
        if survivals is None:
            produced = round((_EDGES[bucket] + _EDGES[bucket + 1]) / 2)
            survivals = self._horizons[bucket] = tuple(
                self.conditional_survival(produced, ahead) for ahead in HORIZONS_TOKENS
            )
        return survivals

    def expected_tokens(self, produced_tokens: int, max_tokens: int) -> float:
        """Return the expected number of tokens yet to be produced."""
        base_survival = self.survival(produced_tokens)
        remaining_tokens = max_tokens - produced_tokens
        if base_survival <= 0.0 or remaining_tokens <= 0:
            return 0.0
        table = self._survival_table()
        total = 0.0
        start = float(max(1, produced_tokens))
        for index in range(bucket_of(produced_tokens), BUCKET_COUNT):
            end = min(_EDGES[index + 1], max_tokens)
            if end <= start:
                break
            total += (end - start) * (table[index] + table[index + 1]) / 2.0
            start = end
        return max(1.0, min(total / base_survival, remaining_tokens))

    def median_tokens(self, max_tokens: int) -> float:
        """Return the median length, at most ``max_tokens``."""
        table = self._survival_table()
        median_bucket = bisect_left(table, -0.5, key=operator.neg)
        return min(_EDGES[min(median_bucket, BUCKET_COUNT)], max_tokens)

    def _hazards(self) -> Sequence[float]:
        """Return the hazard of each bucket, blended with that of the parent."""
        parent_hazards = self.parent._hazards() if self.parent else _PRIOR_HAZARDS
        weight = PARENT_WEIGHT if self.parent else PRIOR_WEIGHT
        return [
            (ends + weight * hazard) / (reached + weight)
            for ends, reached, hazard in zip(
                self._ended, self._reached, parent_hazards, strict=True
            )
        ]

    def _survival_table(self) -> list[float]:
        """Return the survival probability at each bucket edge."""
        is_due = self._new_observations > REBUILD_FRACTION * self._reached[0]
        if not self._survival or is_due:
            survivals = (1.0 - hazard for hazard in self._hazards())
            self._survival = list(
                accumulate(survivals, lambda a, b: a * b, initial=1.0)
            )
            self._new_observations = 0.0
            self._horizons.clear()
        return self._survival

    def _record_change(self) -> None:
        """Count an observation and halve the counts if there are too many."""
        self._new_observations += 1.0
        if self._reached[0] > HALVING_GENERATIONS:
            self._reached = [count / 2.0 for count in self._reached]
            self._ended = [count / 2.0 for count in self._ended]


@define
class LengthModels:
    """Length models by workspace and traffic class."""

    _by_class: dict[str, LengthModel] = Factory(dict)
    _by_workspace: dict[tuple[str, str], LengthModel] = Factory(dict)

    def model(self, workspace: str, traffic_class: str) -> LengthModel:
        """Return the model of a workspace and traffic class, creating it if needed."""
        key = (workspace, traffic_class)
        model = self._by_workspace.get(key)
        if model is None:
            parent = self._by_class.setdefault(traffic_class, LengthModel())
            model = self._by_workspace[key] = LengthModel(parent)
        return model
