"""Build the components by which an entry receives and grants shares of limits."""

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
    """Limiter of an entry, and the holder of the partitions whose duty it has.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    lists : EntryLists
        Active lists, and links to the other entries.
    duty_manager : DutyManager
        Manages the duties of this process.
    dispatcher : Dispatcher
        Registry for the message handlers of the holder.
    is_leaving : callable
        Returns whether the entry is leaving, in which case it acquires no
        partition.
    settings : LimitSettings or None
        Timing and partitioning; None selects the defaults.

    Attributes
    ----------
    holder : LimitHolder
        Grants shares of the partitions whose duty this entry holds.
    limiter : Limiter
        Admits requests within the shares of this entry.
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
        self._listed_entries: tuple[Instance, ...] = ()
        self._entry_names: tuple[str, ...] = ()
        self.holder = LimitHolder(
            identity.name,
            duty_manager,
            lists.replica,
            self._current_entry_names,
            is_leaving,
            dispatcher,
            self._settings,
        )
        self.limiter = Limiter(
            identity.name,
            lists.replica,
            self._send,
            self._current_entry_names,
            self._settings,
        )
        lists.peers.add_selector(self.limiter.holders)

    async def run(self) -> None:
        """Keep requesting and renewing the shares until cancelled."""
        await self.limiter.run()

    def status(self) -> dict[str, object]:
        """Return the state of the limits for the status page."""
        return self.limiter.status() | {
            "held_partitions": list(self.holder.held_partitions())
        }

    def _current_entry_names(self) -> tuple[str, ...]:
        """Return the names of the listed entries.

        The same tuple is returned until the entries change.
        """
        entries = self._peers.entries
        if entries is not self._listed_entries:
            self._listed_entries = entries
            self._entry_names = tuple(entry.name for entry in entries)
        return self._entry_names

    async def _send(self, holder_name: str, request: ShareRequest) -> ShareReply:
        """Send a request for shares to a holder, which may be this entry."""
        if holder_name == self._identity.name:
            return self.holder.handle_request(
                holder_name, self._identity.incarnation, request
            )
        link = self._peers.link_to(holder_name)
        if link is None:
            raise RequestNotSentError(f"no link to {holder_name!r}")
        return await link.call(request, ShareReply, self._settings.call_timeout_s)
