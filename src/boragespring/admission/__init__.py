"""Admission: what waits in the agent and what runs in its backend server."""

from boragespring.admission.errors import (
    AdmissionError,
    AdmissionRefusedError,
    RefusalCode,
)
from boragespring.admission.fair_queue import FairQueueSettings
from boragespring.admission.policies import (
    AdmissionPolicy,
    BoundedOverfill,
    NoAdmission,
    WorstCase,
    overfill_probability,
)
from boragespring.admission.queue import AdmissionQueue, AdmissionSettings
from boragespring.admission.tickets import Ticket, TicketState, TrafficClass

__all__ = [
    "AdmissionError",
    "AdmissionPolicy",
    "AdmissionQueue",
    "AdmissionRefusedError",
    "AdmissionSettings",
    "BoundedOverfill",
    "FairQueueSettings",
    "NoAdmission",
    "RefusalCode",
    "Ticket",
    "TicketState",
    "TrafficClass",
    "WorstCase",
    "overfill_probability",
]
