"""Admission: what waits in the agent and what runs in its backend server."""

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
