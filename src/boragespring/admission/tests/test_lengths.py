import random

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespring.admission.lengths import LengthModel, LengthModels, bucket_of


def observe(model, length, cancelled_at=None):
    reached = min(length, cancelled_at) if cancelled_at else length
    model.record_survival(0, bucket_of(reached))
    if reached == length:
        model.record_end(bucket_of(length))


def test_survival_follows_heavy_tail_although_long_outputs_are_cancelled():
    rng = random.Random(1)
    model = LengthModel()
    lengths = [int(20 * rng.paretovariate(1.0)) for _ in range(4_000)]
    for length in lengths:
        observe(model, length, cancelled_at=2_000)
    for length_tokens in (40, 160, 640):
        assert abs(model.survival(length_tokens) - 20 / length_tokens) < 0.08
    # After 200 tokens, another 200 follow with a probability of one half.
    assert 0.35 < model.conditional_survival(200, 200) < 0.65


def test_workspace_without_history_uses_the_estimate_of_its_class():
    models = LengthModels()
    for _ in range(200):
        observe(models.model("known", "interactive"), 12)
    new_model = models.model("fresh", "interactive")
    assert new_model.expected_tokens(0, 1_000) < 30
    assert models.model("fresh", "batch").expected_tokens(0, 1_000) > 60


@settings(max_examples=50, deadline=None)
@given(
    st.lists(st.integers(1, 50_000), max_size=60),
    st.integers(0, 3_000),
    st.integers(1, 5_000),
)
def test_estimates_stay_within_bounds(lengths, produced_tokens, more_tokens):
    model = LengthModel(LengthModel())
    for length in lengths:
        observe(model, length)
    survivals = [model.survival(n) for n in (0, 1, 2, 5, 50, 500, 5_000, 10**9)]
    assert survivals == sorted(survivals, reverse=True)
    assert 0.0 <= model.conditional_survival(produced_tokens, more_tokens) <= 1.0
    assert (
        0.0
        <= model.expected_tokens(produced_tokens, produced_tokens + more_tokens)
        <= more_tokens
    )
