"""Fault injection into complete deployments, with a check of every request."""

from boragespring.faults.callers import (
    Attempt,
    CallerPlan,
    CallerRecord,
    Ending,
    RequestKind,
)
from boragespring.faults.deployment import FaultDeployment, fault_settings
from boragespring.faults.runner import RunReport, run_many, run_one
from boragespring.faults.schedule import Fault, FaultKind, SeededFault, generate_faults
from boragespring.faults.verdict import Breach, BreachKind, Ledgers, check_guarantees

__all__ = [
    "Attempt",
    "Breach",
    "BreachKind",
    "CallerPlan",
    "CallerRecord",
    "Ending",
    "Fault",
    "FaultDeployment",
    "FaultKind",
    "Ledgers",
    "RequestKind",
    "RunReport",
    "SeededFault",
    "check_guarantees",
    "fault_settings",
    "generate_faults",
    "run_many",
    "run_one",
]
