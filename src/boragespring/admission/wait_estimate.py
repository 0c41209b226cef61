"""Estimate of waits and speeds from what the engine finished lately."""

from attrs import define, field

__all__ = ["WaitEstimate"]

HALF_LIFE_S = 10.0
#: Weight of a new observation in the running means.
NEW_WEIGHT = 0.05
WAIT_MAX_S = 600.0


@define
class WaitEstimate:
    """Rate at which memory is released, and time between tokens."""

    token_interval_s: float = 0.03
    mean_output_tokens: float = field(init=False, default=0.0)
    _released_tokens: float = field(init=False, default=0.0)
    _observed_s: float = field(init=False, default=0.0)
    _updated_at_s: float | None = field(init=False, default=None)

    def record_release(self, tokens: float, now_s: float) -> None:
        """Record that an ended generation released memory."""
        self._decay(now_s)
        self._released_tokens += tokens

    def record_token_interval(self, interval_s: float) -> None:
        """Record the mean time between tokens of an ended generation."""
        change_s = interval_s - self.token_interval_s
        self.token_interval_s += NEW_WEIGHT * change_s

    def record_output(self, tokens: int) -> None:
        """Record the length of an ended generation."""
        if not self.mean_output_tokens:
            self.mean_output_tokens = float(tokens)
        self.mean_output_tokens += NEW_WEIGHT * (tokens - self.mean_output_tokens)

    def release_tokens_per_s(self, now_s: float) -> float:
        """Return the rate at which memory is released; 0 while unknown."""
        self._decay(now_s)
        if self._observed_s <= 0:
            return 0.0
        return self._released_tokens / self._observed_s

    def estimate_wait_s(
        self, tokens_ahead: float, share: float, now_s: float
    ) -> float | None:
        """Return the wait until so much memory was released to a share.

        Returns None while too little has ended to tell.
        """
        rate = share * self.release_tokens_per_s(now_s)
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
