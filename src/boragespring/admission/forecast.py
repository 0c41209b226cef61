"""Forecast of the memory that running generations will occupy."""

from bisect import bisect_left
from collections.abc import Iterable
from math import sqrt
from statistics import NormalDist

from attrs import define, field

from boragespring.admission.lengths import HORIZONS_TOKENS, LengthModel, bucket_of
from boragespring.admission.tickets import Ticket

__all__ = ["MemoryForecast"]

#: Survival probability below which a request is assumed to have ended before a
#: horizon, so that short requests are not delayed by far horizons that only long
#: ones reach.
SURVIVAL_PROBABILITY_MIN = 0.05


@define
class _GenerationGroup:
    """Sums over generations with a similar length distribution."""

    model: LengthModel
    bucket: int
    remaining_tokens: int
    count: int = 0
    held_tokens: int = 0
    held_tokens_squared: int = 0

    def add(self, ticket: Ticket) -> None:
        """Add one generation."""
        held_tokens = ticket.held_tokens
        self.count += 1
        self.held_tokens += held_tokens
        self.held_tokens_squared += held_tokens * held_tokens


@define
class MemoryForecast:
    """Mean and variance of the used memory at several horizons.

    All generations of a batch produce tokens at the same pace, so horizons are
    measured in tokens that each of them has yet to produce. At a horizon, a
    generation has either ended or holds its prompt, the tokens that it has
    produced so far and as many more as the horizon. The sum over all generations
    is approximated by a normal distribution.

    Parameters
    ----------
    overflow_probability : float
        Permitted probability, at each horizon, that the memory overflows.
    """

    overflow_probability: float
    _z_score: float = field(init=False)
    _means: list[float] = field(init=False)
    _variances: list[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._z_score = NormalDist().inv_cdf(1.0 - self.overflow_probability)
        self._clear()

    def rebuild(self, running: Iterable[Ticket]) -> None:
        """Recompute the forecast from the running generations."""
        groups: dict[tuple[int, int, int], _GenerationGroup] = {}
        for ticket in running:
            remaining_tokens = ticket.max_tokens - ticket.produced_tokens
            key = (id(ticket.model), ticket.bucket, bucket_of(remaining_tokens))
            group = groups.get(key)
            if group is None:
                group = _GenerationGroup(ticket.model, ticket.bucket, remaining_tokens)
                groups[key] = group
            group.add(ticket)
        self._clear()
        for group in groups.values():
            self._add_group(group)

    def add(self, ticket: Ticket) -> None:
        """Add a new generation to the forecast."""
        group = _GenerationGroup(ticket.model, ticket.bucket, ticket.max_tokens)
        group.add(ticket)
        self._add_group(group)

    def fits(self, ticket: Ticket, memory_tokens: float) -> bool:
        """Return whether a request keeps the overflow probability within its bound.

        Parameters
        ----------
        ticket : Ticket
            Request that would be added to the running ones.
        memory_tokens : float
            Available memory in tokens.
        """
        held_tokens = ticket.held_tokens
        survivals = ticket.model.horizon_survivals(ticket.bucket)
        horizon_count = bisect_left(HORIZONS_TOKENS, ticket.max_tokens)
        for index, horizon_tokens in enumerate(HORIZONS_TOKENS):
            probability = survivals[index] if index < horizon_count else 0.0
            if probability < SURVIVAL_PROBABILITY_MIN:
                return True
            size_tokens = held_tokens + horizon_tokens
            mean = self._means[index] + probability * size_tokens
            variance = (
                self._variances[index]
                + probability * (1.0 - probability) * size_tokens * size_tokens
            )
            if mean + self._z_score * sqrt(variance) > memory_tokens:
                return False
        return True

    def _clear(self) -> None:
        self._means = [0.0] * len(HORIZONS_TOKENS)
        self._variances = [0.0] * len(HORIZONS_TOKENS)

    def _add_group(self, group: _GenerationGroup) -> None:
        survivals = group.model.horizon_survivals(group.bucket)
        horizon_count = bisect_left(HORIZONS_TOKENS, group.remaining_tokens)
        count, held_tokens, held_tokens_squared = (
            group.count,
            group.held_tokens,
            group.held_tokens_squared,
        )
        for index in range(horizon_count):
            probability = survivals[index]
            horizon_tokens = HORIZONS_TOKENS[index]
            self._means[index] += probability * (held_tokens + count * horizon_tokens)
            size_squares = held_tokens_squared + horizon_tokens * (
                2 * held_tokens + count * horizon_tokens
            )
            self._variances[index] += probability * (1.0 - probability) * size_squares
