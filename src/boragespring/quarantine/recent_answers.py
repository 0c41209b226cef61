"""Remember the traits of runs that servers have answered a moment ago."""

from collections import OrderedDict

from attrs import define, field, frozen

from boragespring.quarantine.crash_index import ServiceTrait

__all__ = ["RecentAnswers", "RecentAnswersSettings"]


@frozen
class RecentAnswersSettings:
    """Limits of what is remembered.

    Parameters
    ----------
    ttl_s : float
        Time in seconds for which an answer shows that a trait crashes no server. One
        that is open on several servers at a time is answered more often.
    traits_max : int
        Maximum number of traits.
    body_max_bytes : int
        Size of a body from which on a request is not remembered, as identifying it
        takes time for each byte.
    """

    ttl_s: float = 2.0
    traits_max: int = 4096
    body_max_bytes: int = 4096


@define
class RecentAnswers:
    """Times of the latest answers, by trait.

    Parameters
    ----------
    settings : RecentAnswersSettings
        Limits.
    """

    settings: RecentAnswersSettings = RecentAnswersSettings()
    _answered_at_s: "OrderedDict[ServiceTrait, float]" = field(factory=OrderedDict)

    def add(self, key: ServiceTrait, at_s: float) -> None:
        """Remember that a server has answered a run with a trait at a time."""
        known_at_s = self._answered_at_s.get(key, at_s)
        self._answered_at_s[key] = max(known_at_s, at_s)
        self._answered_at_s.move_to_end(key)
        if len(self._answered_at_s) > self.settings.traits_max:
            self._answered_at_s.popitem(last=False)

    def is_sound(self, key: ServiceTrait, at_s: float) -> bool:
        """Return whether a trait was answered shortly before a time, or after it."""
        answered_at_s = self._answered_at_s.get(key, float("-inf"))
        return answered_at_s >= at_s - self.settings.ttl_s
