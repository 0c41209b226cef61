"""Hold back the head of a streamed reply until its first event."""

from collections.abc import Callable

from boragespring.forwarding.messages import CallerReply, ReplyHead

__all__ = ["HeldHead"]


def _do_nothing() -> None:
    """Do nothing."""


class HeldHead:
    """Response channel that sends the head of a stream with its first data.

    A server may send the head while the run still waits. As long as the caller has
    nothing, a stream that fails, or runs out of time, can be answered with an error.

    Parameters
    ----------
    caller : CallerReply
        Response channel to the caller.
    head : ReplyHead
        Head of the server's reply.

    Attributes
    ----------
    on_start : callable
        Called before the head is sent.
    is_started : bool
        Whether the head has been sent.
    """

    def __init__(self, caller: CallerReply, head: ReplyHead) -> None:
        self._caller = caller
        self._head = head
        self.on_start: Callable[[], None] = _do_nothing
        self.is_started = False

    async def write(self, data: bytes) -> None:
        """Send a chunk, after the head if it is the first one."""
        await self._start()
        await self._caller.write(data)

    async def finish(self) -> None:
        """End a stream that is complete."""
        await self._start()
        await self._caller.finish()

    async def _start(self) -> None:
        if self.is_started:
            return
        self.is_started = True
        self.on_start()
        await self._caller.start(self._head)
