"""Links between the processes of the system: msgpack messages over TCP."""

from boragespring.links.codec import MessageRegistry, evolve, message
from boragespring.links.context import LinkContext
from boragespring.links.dialer import LinkDialer
from boragespring.links.dispatcher import Dispatcher
from boragespring.links.errors import (
    CallFailedError,
    LinkClosedError,
    LinkError,
    LinkProtocolError,
)
from boragespring.links.link import Link
from boragespring.links.messages import Identity
from boragespring.links.server import LinkServer

__all__ = [
    "CallFailedError",
    "Dispatcher",
    "Identity",
    "Link",
    "LinkClosedError",
    "LinkContext",
    "LinkDialer",
    "LinkError",
    "LinkProtocolError",
    "LinkServer",
    "MessageRegistry",
    "evolve",
    "message",
]
