"""Refuse requests with traits that are held to crash servers."""

import itertools
import time
from collections.abc import Callable, Iterable
from typing import Any

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.quarantine.clearances import Clearance
from boragespring.quarantine.crash_index import ServiceTrait
from boragespring.quarantine.crashes import Crash, Traits, request_traits
from boragespring.quarantine.culprits import Culprit, CulpritSettings, find_culprits
from boragespring.quarantine.evidence import CrashEvidence
from boragespring.quarantine.recent_answers import RecentAnswers
from boragespring.quarantine.request_identity import RequestIdentity

__all__ = ["RequestQuarantine", "QuarantineDecision", "QuarantineSettings"]

#: Maximum number of traits that are logged of those that are held together.
LOGGED_TRAITS_MAX = 32
#: Called with crashes and clearances that were not known before.
NewsHook = Callable[[Iterable[Crash], Iterable[Clearance]], None]
#: Called with each crash that was not known before, whichever gateway detected it.
CrashHook = Callable[[Crash], None]
#: Called with traits of runs that are held to crash servers from now on.
CulpritHook = Callable[[Culprit], None]


@frozen
class QuarantineSettings:
    """Number of crashes needed, and times between two trials.

    Parameters
    ----------
    culprit : CulpritSettings
        Crashes after which requests are refused.
    suspect : CulpritSettings
        Crashes after which a run is not repeated or resumed on another server.
    trial_interval_s : float
        Time in seconds from the last crash to the first trial; it doubles with each
        further crash, and with each trial, whatever became of it.
    trial_interval_max_s : float
        Maximum time in seconds between two trials.
    retry_after_min_s : float
        Minimum retry delay in seconds while another gateway can send the trial.
    """

    culprit: CulpritSettings = CulpritSettings(crashes_min=3)
    suspect: CulpritSettings = CulpritSettings(crashes_min=2)
    trial_interval_s: float = 60.0
    trial_interval_max_s: float = 600.0
    retry_after_min_s: float = 1.0


@frozen
class QuarantineDecision:
    """Decision not to send a request to any server.

    Parameters
    ----------
    culprit : Culprit
        Traits of the request on which it is based.
    trial_in_s : float
        Time in seconds until one request with these traits is sent as a trial.
    """

    culprit: Culprit
    trial_in_s: float


@frozen
class _Trial:
    """Request that was sent to find out whether its traits still crash servers."""

    request_id: str
    started_at_s: float
    number: int


class RequestQuarantine:
    """Decide whether a request may be sent, by the crashes that its traits explain.

    One gateway of the fleet sends a single request as a trial when some time has passed
    since the last crash. The first answer to it ends the quarantine.

    Parameters
    ----------
    evidence : CrashEvidence
        Crashes known to this gateway.
    settings : QuarantineSettings
        Number of crashes needed, and times between two trials.
    is_responsible : callable
        Returns whether this gateway sends the trials for a key.
    log : DecisionLog
        Log of the traits that are held to crash servers, and of refused requests.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        settings: QuarantineSettings,
        is_responsible: Callable[[str], bool],
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.evidence = evidence
        self._settings = settings
        self._is_responsible = is_responsible
        self._log = log
        self._clock = clock
        self._version = evidence.version
        self._culprits: tuple[Culprit, ...] = ()
        self._suspects: tuple[Culprit, ...] = ()
        self._trials: dict[Culprit, _Trial] = {}
        # Apart, so that the parts of made-up prompts do not displace requests.
        self._answered_requests = RecentAnswers()
        self._answered_parts = RecentAnswers()
        self.news_hooks: list[NewsHook] = []
        self.crash_hooks: list[CrashHook] = []
        self.culprit_hooks: list[CulpritHook] = []

    @property
    def culprits(self) -> tuple[Culprit, ...]:
        """Traits with which requests are refused."""
        self._update()
        return self._culprits

    def check(
        self, service: str, traits: Traits, request_id: str
    ) -> QuarantineDecision | None:
        """Return why a request must not be sent to a server, or None if it may.

        Parameters
        ----------
        service : str
            Service of the server.
        traits : Traits
            Traits of its run.
        request_id : str
            Identifier of the request.
        """
        if not traits:
            return None
        culprit = _find(self.culprits, service, traits)
        if culprit is None:
            return None
        trial_in_s = self._trial_at_s(culprit) - self._clock()
        if self._try(culprit, trial_in_s, request_id):
            return None
        self._log.failure(
            "quarantine_refused",
            request_id,
            trial_in_s=round(trial_in_s, 1),
            **self._describe(culprit),
        )
        return QuarantineDecision(
            culprit, max(self._settings.retry_after_min_s, trial_in_s)
        )

    def suspects(self, service: str, traits: Traits) -> list[Culprit]:
        """Return why a run must not be sent to one more server, if anything."""
        if not traits:
            return []
        self._update()
        return [each for each in self._suspects if each.matches(service, traits)]

    def record_crash(self, crash: Crash) -> None:
        """Add a crash that this gateway has detected."""
        self._announce(*self.merge([crash], []))

    def record_sound_run(self, service: str, traits: Traits, began_at_s: float) -> None:
        """Clear the parts of a prompt for which a server has written an answer.

        Parameters
        ----------
        service : str
            Service of the server.
        traits : Traits
            Parts of the prompt of the run.
        began_at_s : float
            Monotonic time in seconds at which the answer began.
        """
        for trait in traits:
            self._answered_parts.add(ServiceTrait.of(service, trait), began_at_s)
        self._clear(service, traits, began_at_s)

    def _clear(self, service: str, traits: Traits, began_at_s: float) -> None:
        clearances = list(self.evidence.clear(service, traits, began_at_s))
        if clearances:
            self._announce([], clearances)

    def record_answer(self, service: str, identity: RequestIdentity) -> None:
        """Clear a request that a server has answered in whole.

        Other requests are cleared only of what they have in common with it. What a run
        writes before its end says nothing about its request.

        Parameters
        ----------
        service : str
            Service of the server.
        identity : RequestIdentity
            What makes other requests the same.
        """
        body_max_bytes = self._answered_requests.settings.body_max_bytes
        is_large = len(identity.body) > body_max_bytes
        if is_large and not self.evidence.knows_outline(identity.outline):
            return
        now_s = self._clock()
        for trait in identity.traits:
            self._answered_requests.add(ServiceTrait.of(service, trait), now_s)
        self._clear(service, identity.traits, now_s)

    def merge(
        self, crashes: Iterable[Crash], clearances: Iterable[Clearance]
    ) -> tuple[list[Crash], list[Clearance]]:
        """Add crashes and clearances; return those that were not known before."""
        new_clearances = [
            clearance
            for clearance in clearances
            if self.evidence.add_clearance(clearance)
        ]
        new_crashes = [crash for crash in crashes if self.evidence.add_crash(crash)]
        for crash, hook in itertools.product(new_crashes, self.crash_hooks):
            hook(crash)
        answered = [
            clearance
            for crash in new_crashes
            for clearance in self._clear_answered(crash)
            if self.evidence.add_clearance(clearance)
        ]
        self._update()
        if answered:
            self._announce([], answered)
        return new_crashes, new_clearances

    def _clear_answered(self, crash: Crash) -> Iterable[Clearance]:
        """Clear the requests that were answered shortly before a crash.

        A request that many send is open on all servers, also on several that end at the
        same time for another reason.
        """
        open_requests = frozenset[str]().union(*map(request_traits, crash.suspects))
        keys = (ServiceTrait.of(crash.service, trait) for trait in open_requests)
        return [
            Clearance(key, frozenset([crash.process]))
            for key in keys
            if self._answered_requests.is_sound(key, crash.at_s)
        ]

    def _is_decided(self, culprit: Culprit) -> bool:
        """Return whether enough crashes speak against a culprit.

        A part that many prompts have is open on all servers as well. Crashes shortly
        after answers to it do not count, but are not put down to other parts either, as
        a new version of the servers may crash on what the one before has answered.
        """
        counted = sum(
            not self._was_answered(culprit, crash.at_s) for crash in culprit.crashes
        )
        return counted >= self._settings.culprit.crashes_min

    def _was_answered(self, culprit: Culprit, at_s: float) -> bool:
        keys = (ServiceTrait.of(culprit.service, trait) for trait in culprit.traits)
        return all(self._answered_parts.is_sound(key, at_s) for key in keys)

    def _announce(
        self, crashes: Iterable[Crash], clearances: Iterable[Clearance]
    ) -> None:
        for hook in self.news_hooks:
            hook(crashes, clearances)

    def _update(self) -> None:
        """Find the culprits again if the evidence has changed."""
        if self._version == self.evidence.version:
            return
        self._version = self.evidence.version
        before, settings = self._culprits, self._settings
        self._suspects = find_culprits(self.evidence, settings.suspect)
        self._culprits = tuple(filter(self._is_decided, self._suspects))
        for culprit in self._culprits:
            if culprit not in before:
                self._log.state_change("quarantined", **self._describe(culprit))
                for hook in self.culprit_hooks:
                    hook(culprit)
        for culprit in before:
            if culprit not in self._culprits:
                self._trials.pop(culprit, None)
                self._log.state_change("quarantine_ended", **self._describe(culprit))

    def _trial_at_s(self, culprit: Culprit) -> float:
        """Return the monotonic time in seconds from which a trial is allowed."""
        settings = self._settings
        surplus = len(culprit.crashes) - settings.culprit.crashes_min
        last_s, trials = culprit.last_at_s, 0
        trial = self._trials.get(culprit)
        if trial is not None:
            last_s, trials = max(last_s, trial.started_at_s), trial.number
        interval_s = min(
            settings.trial_interval_s * 2.0 ** max(surplus, trials),
            settings.trial_interval_max_s,
        )
        return last_s + interval_s

    def _try(self, culprit: Culprit, trial_in_s: float, request_id: str) -> bool:
        """Return whether a request is the trial of a culprit; start one if due."""
        trial = self._trials.get(culprit)
        if trial is not None and trial.request_id == request_id:
            return True
        key = " ".join([culprit.service, *sorted(culprit.traits)])
        if trial_in_s > 0 or not self._is_responsible(key):
            return False
        number = trial.number + 1 if trial is not None else 1
        self._trials[culprit] = _Trial(request_id, self._clock(), number)
        self._log.request("quarantine_trial", request_id, **self._describe(culprit))
        return True

    def _describe(self, culprit: Culprit) -> dict[str, Any]:
        now_s = self._clock()
        traits = sorted(culprit.traits)
        left_out = len(traits) - LOGGED_TRAITS_MAX
        return {
            "service": culprit.service or "any",
            "traits": traits[:LOGGED_TRAITS_MAX],
            **({"traits_left_out": left_out} if left_out > 0 else {}),
            "crashes": [
                {
                    "server": crash.process.server_id,
                    "service": crash.service,
                    "age_s": round(now_s - crash.at_s, 1),
                }
                for crash in culprit.crashes
            ],
        }


def _find(culprits: Iterable[Culprit], service: str, traits: Traits) -> Culprit | None:
    return next((each for each in culprits if each.matches(service, traits)), None)
