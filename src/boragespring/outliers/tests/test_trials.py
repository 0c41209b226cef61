"""What a server must show in trials to return, without a network."""

import logging

import pytest

from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, FleetSettings, Registration, ServerAddress
from boragespring.outliers import OutlierDetector, OutlierSettings

SETTINGS = OutlierSettings()
#: Outcomes of each sound server: 14 in 100 fail by nature.
ENDED, FAILED = 100, 14


class Trials:
    """Service with one of three servers on trial."""

    def __init__(self):
        self.now_s = 0.0
        log = DecisionLog(logger=logging.Logger("quiet", 60))
        self.fleet = Fleet(FleetSettings(), log, self.clock)
        for name in ("one", "two", "three"):
            entry = Registration(name, "svc", ServerAddress("h", 1), "zone", 8)
            self.fleet.register(entry)
        self.server = self.fleet.find("three")
        self.detector = OutlierDetector(
            self.fleet, lambda: 1, SETTINGS, log, clock=self.clock
        )
        for server in self.fleet.servers:
            self.record(ENDED, FAILED, server)
        self.pass_time(0.1)
        self.record(30, 30)
        self.pass_time(0.1)
        assert self.server.is_ejected
        self.pass_time(SETTINGS.ejection_s)

    def clock(self):
        return self.now_s

    def record(self, ended, failed, server=None):
        for number in range(ended):
            self.detector.record(server or self.server, has_failed=number < failed)

    def pass_time(self, duration_s):
        self.now_s += duration_s
        self.detector.evaluate()

    def play(self, outcomes):
        """Let trials pass (.) or fail (x), one after the other."""
        for outcome in outcomes:
            self.record(1, int(outcome == "x"))
            self.pass_time(SETTINGS.trial_interval_s)


# Guards against the return of a server that fails half of its requests, by a few of
# which somewhat fewer have failed.
@pytest.mark.parametrize(
    ("outcomes", "returns"),
    [
        ("x.x..", False),
        ("x...x.", False),
        (".x..x..x.", False),
        ("......", True),
        ("..x........", True),
    ],
)
def test_server_returns_once_its_trials_show_that_it_is_sound(outcomes, returns):
    trials = Trials()
    trials.play(outcomes)
    assert trials.server.is_ejected != returns


@pytest.mark.parametrize(
    ("outcomes", "returns"),
    [("", True), (".x", True), ("x...x...", True), (".x.x.x.x", False)],
)
def test_server_whose_trials_end_undecided_is_judged_by_them(outcomes, returns):
    trials = Trials()
    before_s = SETTINGS.trial_max_s - (len(outcomes) + 1) * SETTINGS.trial_interval_s
    trials.pass_time(before_s)
    trials.play(outcomes)
    assert trials.server.is_ejected
    trials.pass_time(2 * SETTINGS.trial_interval_s)
    assert trials.server.is_ejected != returns
