"""Wire an entry's part in the limits: its shares, and those it gives out."""

from collections.abc import Callable

from boragespring.composition.entry_lists import EntryLists
from boragespring.limits import Limiter, LimitHolder, LimitSettings
from boragespring.limits.errors import RequestNotSentError
from boragespring.limits.messages import ShareReply, ShareRequest
from boragespring.links import Dispatcher, Identity
from boragespring.membership import DutyManager
from boragespring.store import Instance

__all__ = ["EntryLimits"]


class EntryLimits:
    """Limiter of an entry, and the holder of the partitions that fall to it.

    Parameters
    ----------
    identity : Identity
        Identity of the process.
    lists : EntryLists
        Lists in force and links to the other entries.
    duty_manager : DutyManager
        Duties of the process.
    dispatcher : Dispatcher
        Handlers of the process's links.
    is_leaving : callable
        Whether the entry leaves.
    settings : LimitSettings or None
        Times; None for the defaults.
    """

    def __init__(
        self,
        identity: Identity,
        lists: EntryLists,
        duty_manager: DutyManager,
        dispatcher: Dispatcher,
        is_leaving: Callable[[], bool],
        settings: LimitSettings | None = None,
    ) -> None:
        self._identity = identity
        self._peers = lists.peers
        self._settings = settings or LimitSettings()
        self._listed: tuple[Instance, ...] = ()
        self._names: tuple[str, ...] = ()
        self.holder = LimitHolder(
            identity.name,
            duty_manager,
            lists.replica,
            self._entries,
            is_leaving,
            dispatcher,
            self._settings,
        )
        self.limiter = Limiter(
            identity.name, lists.replica, self._send, self._entries, self._settings
        )
        lists.peers.add_selector(self.limiter.holders)

    async def run(self) -> None:
        """Keep the shares until cancelled."""
        await self.limiter.run()

    def status(self) -> dict[str, object]:
        """Return what the status page shows of the limits."""
        return self.limiter.status() | {
            "held_partitions": list(self.holder.held_partitions())
        }

    def _entries(self) -> tuple[str, ...]:
        """Return the listed entries; the same object while they are the same."""
        entries = self._peers.entries
        if entries is not self._listed:
            self._listed = entries
            self._names = tuple(entry.name for entry in entries)
        return self._names

    async def _send(self, target: str, request: ShareRequest) -> ShareReply:
        if target == self._identity.name:
            return self.holder.handle_request(
                target, self._identity.incarnation, request
            )
        link = self._peers.link_to(target)
        if link is None:
            raise RequestNotSentError(f"no link to {target!r}")
        return await link.call(request, ShareReply, self._settings.call_timeout_s)
