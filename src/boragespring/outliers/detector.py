"""Eject the servers of a service that fail, and let them back after trials.

Answers the load at which one of few servers fails a part of its requests while its
health is good: it answers fast, looks idle and would get more requests than others.
"""

import random
import time
from collections.abc import Callable, Iterable, Sequence
from enum import Enum, auto

from attrs import define, frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, Fleet, ServerProcess
from boragespring.outliers.evidence import (
    FailureTest,
    OutcomeCounts,
    Outcomes,
    failure_evidence,
    improbability,
    pooled_failed_share,
)

__all__ = ["OutlierDetector", "OutlierSettings"]

#: Called with each outcome at this gateway: server and whether the request failed.
OutcomeHook = Callable[[ServerProcess, bool], None]


@frozen
class OutlierSettings:
    """Thresholds for ejecting servers, and times of their return.

    Parameters
    ----------
    half_life_s : float
        Time in seconds after which an outcome weighs half as much.
    excess : float
        Share of failures beyond that of sound servers at which a server is ejected.
    score_min : float
        Score of the sequential test, beyond that of the soundest servers, from which on
        a server is ejected. A sound one gets there once in more than exp(score_min)
        requests.
    improbability_min : float
        Negative logarithm of the probability below which failures are not at all put
        down to chance.
    sound_share : float
        Fraction of the servers of a service, those with the fewest failures, by which
        all are judged.
    ejected_share_max : float
        Maximum fraction of the servers of a service that are ejected.
    ejection_s, ejection_max_s : float
        Time in seconds of the first ejection, which doubles with each further one, and
        its maximum.
    trial_interval_s : float
        Time in seconds between two trials of a server, over all gateways.
    trials_min : float
        Number of outcomes of trials below which a server returns at the end of its
        trials, whatever they show.
    trial_soundness_min : float
        Logarithm of how much likelier the outcomes of trials must be for a sound server
        than for one that fails, before it returns.
    trial_improbability_min : float
        The same as `improbability_min`, for ejecting a server again after its trials.
    trial_excess_min : float
        Share of failed trials beyond the expected ones from which on it is ejected.
    trial_max_s : float
        Time in seconds after which trials end, also for a server that gets none, as no
        request may be repeated.
    return_s : float
        Time in seconds in which a server that returns gets back its full share.
    """

    half_life_s: float = 6.0
    excess: float = 0.35
    score_min: float = 8.0
    improbability_min: float = 9.0
    sound_share: float = 0.5
    ejected_share_max: float = 0.67
    ejection_s: float = 2.0
    ejection_max_s: float = 8.0
    trial_interval_s: float = 0.25
    trials_min: float = 5.0
    trial_soundness_min: float = 2.5
    trial_improbability_min: float = 5.0
    trial_excess_min: float = 0.3
    trial_max_s: float = 6.0
    return_s: float = 3.0


class _Phase(Enum):
    """What a server gets."""

    #: All requests.
    SERVING = auto()
    #: None.
    EJECTED = auto()
    #: Single requests that may be repeated.
    ON_TRIAL = auto()


@define(eq=False)
class _Standing:
    """Outcomes and phase of one server process.

    Parameters
    ----------
    counts : OutcomeCounts
        Outcomes at all gateways; those of the trials only, while it is on trial.
    test : FailureTest
        Test whether it has begun to fail.
    phase : _Phase
        What the server gets.
    phase_ends_s : float
        Monotonic time in seconds at which the phase ends by itself.
    ejections : int
        Number of ejections since the last lasting return.
    next_trial_s : float
        Monotonic time in seconds from which on this gateway may send a trial.
    """

    counts: OutcomeCounts
    test: FailureTest
    phase: _Phase = _Phase.SERVING
    phase_ends_s: float = float("-inf")
    ejections: int = 0
    next_trial_s: float = float("-inf")


@frozen
class _Judged:
    """Server with its standing and the outcomes that count now."""

    server: BackendServer
    standing: _Standing
    seen: Outcomes


@frozen
class _Baseline:
    """What the soundest servers of a service show.

    Parameters
    ----------
    failed_share : float
        Share of their requests that failed.
    score : float
        Lowest score of their tests.
    """

    failed_share: float
    score: float


class OutlierDetector:
    """Judge servers by the outcomes of their requests at all gateways.

    Every gateway judges by itself, by what it has seen and what the others report.

    Parameters
    ----------
    fleet : Fleet
        Servers; those that are ejected are marked there.
    gateway_count : callable
        Returns the number of gateways, which share the trials.
    settings : OutlierSettings
        Thresholds and times.
    log : DecisionLog
        Log of ejections and returns.
    is_enabled : bool, default=True
        Whether servers are judged at all.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        gateway_count: Callable[[], int],
        settings: OutlierSettings,
        log: DecisionLog,
        is_enabled: bool = True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._gateway_count = gateway_count
        self._settings = settings
        self._log = log
        self._is_enabled = is_enabled
        self._clock = clock
        self._standings: dict[ServerProcess, _Standing] = {}
        self.outcome_hooks: list[OutcomeHook] = []

    def record(self, server: BackendServer, *, has_failed: bool) -> None:
        """Count the outcome of a request of this gateway."""
        if not self._is_enabled:
            return
        process = ServerProcess.of(server)
        self.add_outcomes(process, 1, int(has_failed))
        for hook in self.outcome_hooks:
            hook(process, has_failed)

    def add_outcomes(self, process: ServerProcess, ended: int, failed: int) -> None:
        """Count outcomes of requests, such as those that another gateway reports."""
        if not self._is_enabled:
            return
        standing = self._standings.get(process)
        if standing is None:
            standing = self._standings[process] = self._new_standing()
        if standing.phase is not _Phase.EJECTED:
            standing.counts.add(self._clock(), ended, failed)
            standing.test.add(ended, failed)

    def _new_standing(self) -> _Standing:
        settings = self._settings
        return _Standing(
            OutcomeCounts(settings.half_life_s),
            FailureTest(settings.excess, 2 * settings.score_min),
        )

    def trial_server(self, service: str) -> BackendServer | None:
        """Return a server that shall get a request that may be repeated, if any."""
        if not self._standings:
            return None
        now_s = self._clock()
        for server in self._fleet.candidates(service):
            standing = self._standings.get(ServerProcess.of(server))
            if standing is None or standing.phase is not _Phase.ON_TRIAL:
                continue
            if now_s >= standing.next_trial_s and not server.is_paused(now_s):
                interval_s = self._settings.trial_interval_s * self._gateway_count()
                standing.next_trial_s = now_s + interval_s * random.uniform(0.5, 1.5)
                return server
        return None

    def evaluate(self) -> None:
        """Judge all servers; called several times a second."""
        if not self._standings:
            return
        known = {ServerProcess.of(server) for server in self._fleet.servers}
        for process in self._standings.keys() - known:
            del self._standings[process]
        services = {server.registration.service for server in self._fleet.servers}
        for service in services:
            self._evaluate_service(self._fleet.candidates(service))

    def _evaluate_service(self, servers: Sequence[BackendServer]) -> None:
        now_s = self._clock()
        judged = sorted(
            (
                _Judged(server, standing, standing.counts.at(now_s))
                for server in servers
                if (standing := self._standings.get(ServerProcess.of(server)))
            ),
            key=lambda each: each.seen.failed_share,
        )
        baseline = self._baseline(judged)
        for each in reversed(judged):
            each.standing.test.expected_share = baseline.failed_share
            if each.standing.phase is _Phase.SERVING:
                self._judge_serving(each, baseline, servers)
            elif each.standing.phase is _Phase.ON_TRIAL:
                self._judge_trials(each, baseline)
            elif now_s >= each.standing.phase_ends_s:
                self._begin_trials(each.server, each.standing)

    def _baseline(self, judged: Iterable[_Judged]) -> _Baseline:
        """Return what the soundest servers show, given all by their failures.

        Some requests fail at all servers, so that none is judged by itself.
        """
        serving = [
            each
            for each in judged
            if each.standing.phase is _Phase.SERVING and each.seen.ended >= 1
        ]
        soundest = serving[: max(1, int(self._settings.sound_share * len(serving)))]
        return _Baseline(
            pooled_failed_share(each.seen for each in soundest),
            # It rises for the soundest as well if the requests are to blame.
            min((each.standing.test.score for each in soundest), default=0.0),
        )

    def _judge_serving(
        self, each: _Judged, baseline: _Baseline, servers: Sequence[BackendServer]
    ) -> None:
        now_s = self._clock()
        settings, standing = self._settings, each.standing
        excess = max(0.0, each.seen.failed_share - baseline.failed_share)
        doubt = improbability(each.seen, baseline.failed_share)
        # A new suspicion counts by how well it is founded.
        confidence = min(1.0, doubt / settings.improbability_min)
        returning = (standing.phase_ends_s - now_s) / settings.return_s
        each.server.failure_excess = max(excess * confidence, min(1.0, returning))
        if standing.ejections and now_s > standing.phase_ends_s + settings.return_s:
            standing.ejections = 0
        if standing.test.score - baseline.score < settings.score_min:
            return
        ejected = sum(other.is_ejected for other in servers)
        most = min(settings.ejected_share_max * len(servers), len(servers) - 1)
        if ejected + 1 <= most:
            self._eject(each, baseline)

    def _judge_trials(self, each: _Judged, baseline: _Baseline) -> None:
        settings, standing, seen = self._settings, each.standing, each.seen
        doubt = improbability(seen, baseline.failed_share)
        is_bad = seen.failed_share - baseline.failed_share >= settings.trial_excess_min
        if is_bad and doubt >= settings.trial_improbability_min:
            self._eject(each, baseline)
            return
        evidence = failure_evidence(seen, baseline.failed_share, settings.excess)
        if evidence <= -settings.trial_soundness_min:
            self._readmit(each)
        elif self._clock() >= standing.phase_ends_s:
            self._end_trials(each, baseline, evidence)

    def _end_trials(self, each: _Judged, baseline: _Baseline, evidence: float) -> None:
        """Decide on a server whose trials have shown neither that it fails nor not."""
        if each.seen.ended >= self._settings.trials_min and evidence > 0:
            self._eject(each, baseline)
        else:
            self._readmit(each)

    def _eject(self, each: _Judged, baseline: _Baseline) -> None:
        settings, standing = self._settings, each.standing
        for_s = min(
            settings.ejection_s * 2**standing.ejections, settings.ejection_max_s
        )
        standing.phase = _Phase.EJECTED
        standing.phase_ends_s = self._clock() + for_s
        standing.ejections += 1
        standing.counts.clear()
        standing.test.score = 0.0
        each.server.is_ejected = True
        self._log_change(
            "server_ejected",
            each.server,
            each.seen,
            expected_share=baseline.failed_share,
            for_s=for_s,
        )

    def _begin_trials(self, server: BackendServer, standing: _Standing) -> None:
        standing.phase = _Phase.ON_TRIAL
        standing.phase_ends_s = self._clock() + self._settings.trial_max_s
        # The gateways do not all begin at once.
        interval_s = self._settings.trial_interval_s * self._gateway_count()
        standing.next_trial_s = self._clock() + random.uniform(0.0, interval_s)
        self._log_change("server_on_trial", server, Outcomes())

    def _readmit(self, each: _Judged) -> None:
        standing = each.standing
        standing.phase = _Phase.SERVING
        standing.phase_ends_s = self._clock() + self._settings.return_s
        standing.counts.clear()
        standing.test.score = 0.0
        each.server.is_ejected = False
        self._log_change("server_readmitted", each.server, each.seen)

    def _log_change(
        self, event: str, server: BackendServer, seen: Outcomes, **inputs: float
    ) -> None:
        self._log.state_change(
            event,
            server=server.server_id,
            service=server.registration.service,
            ended=round(seen.ended, 1),
            failed=round(seen.failed, 1),
            **{name: round(value, 3) for name, value in inputs.items()},
        )
