"""Admission control in the agent in front of its backend server.

Requests wait in a weighted fair queue until an admission policy forecasts that
the engine has enough memory for them. Requests that cannot finish before their
deadline are refused early.
"""

from boragespring.admission.errors import (
    AdmissionError,
    AdmissionRefusedError,
    RefusalCode,
)
from boragespring.admission.fair_queue import FairQueueSettings
from boragespring.admission.policies import (
    AdmissionPolicy,
    BoundedOverflow,
    NoAdmission,
    WorstCase,
    overflow_probability,
)
from boragespring.admission.queue import AdmissionQueue, AdmissionSettings
from boragespring.admission.tickets import Ticket, TicketState, TrafficClass

__all__ = [
    "AdmissionError",
    "AdmissionPolicy",
    "AdmissionQueue",
    "AdmissionRefusedError",
    "AdmissionSettings",
    "BoundedOverflow",
    "FairQueueSettings",
    "NoAdmission",
    "RefusalCode",
    "Ticket",
    "TicketState",
    "TrafficClass",
    "WorstCase",
    "overflow_probability",
]
