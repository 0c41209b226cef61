"""Latency measurement of answers as seen by the caller."""

import time

from boragespring.metrics.answers import AnswerHistograms

__all__ = ["STALL_THRESHOLD_S", "AnswerTimer"]

#: A started answer that produces no tokens for longer than this is stalled.
STALL_THRESHOLD_S = 0.25


class AnswerTimer:
    """Measure time to first token, token intervals, stalls and length.

    One timer serves one answer.

    Parameters
    ----------
    histograms : AnswerHistograms
        Histograms of the workspace and traffic class.
    started_at_s : float
        Monotonic time in seconds at which the request arrived.
    """

    def __init__(self, histograms: AnswerHistograms, started_at_s: float) -> None:
        self._histograms = histograms
        self._last_arrival_s = started_at_s
        self._is_started = False
        self._stalled_s = 0.0

    def record_tokens(self, count: int) -> None:
        """Record a group of tokens that arrived together."""
        if not count:
            return
        now_s = time.monotonic()
        elapsed_s = now_s - self._last_arrival_s
        self._last_arrival_s = now_s
        if not self._is_started:
            self._is_started = True
            self._histograms.first_token_s.observe(elapsed_s)
            return
        self._histograms.token_interval_s.observe(elapsed_s)
        if elapsed_s > STALL_THRESHOLD_S:
            self._stalled_s += elapsed_s - STALL_THRESHOLD_S

    def record_end(self, total_tokens: int) -> None:
        """Record the stall time and length of a complete answer."""
        self._histograms.stall_s.observe(self._stalled_s)
        self._histograms.length_tokens.observe(total_tokens)
