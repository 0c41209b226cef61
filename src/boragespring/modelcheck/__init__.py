"""Exhaustive state exploration of small models of the protocols."""

from boragespring.modelcheck.claims import ClaimGuards, ClaimState, claim_model
from boragespring.modelcheck.duties import DutyGuards, DutyState, duty_model
from boragespring.modelcheck.explorer import (
    Model,
    ModelCheckError,
    Report,
    Step,
    explore,
)

__all__ = [
    "ClaimGuards",
    "ClaimState",
    "DutyGuards",
    "DutyState",
    "Model",
    "ModelCheckError",
    "Report",
    "Step",
    "claim_model",
    "duty_model",
    "explore",
]
