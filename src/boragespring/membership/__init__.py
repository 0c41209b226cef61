"""Known instances, links to them, and duties that one of them holds at a time."""

from boragespring.membership.candidates import duty_candidates
from boragespring.membership.duties import Duty, DutySettings
from boragespring.membership.duty_manager import DutyManager
from boragespring.membership.messages import AgentState, LeaveNotice
from boragespring.membership.peer import AgentPeer
from boragespring.membership.peers import AgentPeers, PeerStatus
from boragespring.membership.view import InstanceView, ViewSettings

__all__ = [
    "AgentPeer",
    "AgentPeers",
    "AgentState",
    "Duty",
    "DutyManager",
    "DutySettings",
    "InstanceView",
    "LeaveNotice",
    "PeerStatus",
    "ViewSettings",
    "duty_candidates",
]
