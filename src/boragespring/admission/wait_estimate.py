"""Estimates of waiting times and speeds from recently finished requests."""

from attrs import define, field

__all__ = ["WaitEstimate"]

#: Half-life of the observations of released memory.
HALF_LIFE_S = 10.0
#: Weight of a new observation in the exponential moving averages.
NEW_WEIGHT = 0.05
WAIT_MAX_S = 600.0


@define
class WaitEstimate:
    """Rate at which memory is released, token interval and output length.

    Parameters
    ----------
    token_interval_s : float
        Initial estimate of the time between tokens in seconds.
    """

    token_interval_s: float = 0.03
    mean_output_tokens: float = field(init=False, default=0.0)
    _released_tokens: float = field(init=False, default=0.0)
    _observed_s: float = field(init=False, default=0.0)
    _updated_at_s: float | None = field(init=False, default=None)

    def record_release(self, tokens: float, now_s: float) -> None:
        """Record the memory in tokens released by a finished request."""
        self._decay(now_s)
        self._released_tokens += tokens

    def record_token_interval(self, interval_s: float) -> None:
        """Record the mean time between tokens of a finished generation."""
        change_s = interval_s - self.token_interval_s
        self.token_interval_s += NEW_WEIGHT * change_s

    def record_output(self, tokens: int) -> None:
        """Record the output length of a finished generation."""
        if not self.mean_output_tokens:
            self.mean_output_tokens = float(tokens)
        self.mean_output_tokens += NEW_WEIGHT * (tokens - self.mean_output_tokens)

    def release_tokens_per_s(self, now_s: float) -> float:
        """Return the rate at which memory is released; 0 if it is unknown."""
        self._decay(now_s)
        if self._observed_s <= 0:
            return 0.0
        return self._released_tokens / self._observed_s

    def estimate_wait_s(
        self, tokens_ahead: float, fraction: float, now_s: float
    ) -> float | None:
        """Return the estimated wait until enough memory has been released.

        Parameters
        ----------
        tokens_ahead : float
            Memory in tokens that must be released first.
        fraction : float
            Fraction of the released memory that is available for this purpose.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            Estimated wait in seconds; None if no release rate is known yet.
        """
        rate = fraction * self.release_tokens_per_s(now_s)
        return min(WAIT_MAX_S, tokens_ahead / rate) if rate > 0 else None

    def _decay(self, now_s: float) -> None:
        if self._updated_at_s is None:
            self._updated_at_s = now_s
            return
        elapsed_s = now_s - self._updated_at_s
        decay_factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._released_tokens *= decay_factor
        self._observed_s = self._observed_s * decay_factor + elapsed_s
        self._updated_at_s = now_s
