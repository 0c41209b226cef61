"""Check that the models have no violations and that each guard is necessary."""

import pytest
from attrs import evolve

from boragespring.modelcheck import (
    ClaimGuards,
    DutyGuards,
    Model,
    ModelCheckError,
    Step,
    claim_model,
    duty_model,
    explore,
)


def test_claimed_request_runs_at_most_once_in_every_interleaving():
    report = explore(claim_model())
    assert report.violation == "", report.trace
    assert report.states > 1000


@pytest.mark.parametrize(
    "guard",
    ["checks_incarnation", "remembers_runs", "bars_on_query", "compares_revision"],
)
def test_each_claim_guard_is_necessary(guard):
    report = explore(claim_model(evolve(ClaimGuards(), **{guard: False})))
    assert report.violation
    assert report.trace


def test_orders_take_effect_in_the_order_of_their_fencing_numbers():
    report = explore(duty_model())
    assert report.violation == "", report.trace


@pytest.mark.parametrize("guard", ["compares_fence", "reads_after_restart"])
def test_each_duty_guard_is_necessary(guard):
    report = explore(duty_model(evolve(DutyGuards(), **{guard: False})))
    assert report.violation


def test_violation_is_reported_with_a_shortest_trace():
    model = Model(
        0,
        lambda n: [Step("add", n + 1), Step("jump", n + 2)],
        lambda n: "4" if n == 4 else "",
    )
    report = explore(model)
    assert report.trace == ("jump", "jump")


def test_exploration_of_an_infinite_model_fails():
    model = Model(0, lambda n: [Step("add", n + 1)], lambda n: "")
    with pytest.raises(ModelCheckError):
        explore(model, states_max=100)
