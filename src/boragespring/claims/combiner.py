"""Combine the writes of many entries into few calls to the store.

Safety rests on the condition of each write alone: a combiner only gathers
them, so that one which dies is no worse than a lost answer.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from itertools import chain

import xxhash
from attrs import define, frozen

from boragespring.claims.messages import CombineWrites, WritesCombined
from boragespring.claims.packing import (
    pack_result,
    pack_write,
    unpack_result,
    unpack_write,
)
from boragespring.links import Dispatcher, Link, LinkError
from boragespring.store.store import (
    ConditionalWrite,
    KeyValueStore,
    LeaseExpiredError,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
    WriteResult,
)

__all__ = [
    "CombinerSettings",
    "CombiningStore",
    "NoCombinerError",
    "WriteCombiner",
    "choose_combiner",
]


@frozen
class CombinerSettings:
    """When and how writes are combined.

    Parameters
    ----------
    entries_min : int
        Listed entries from which their writes are combined.
    combiners : int
        Entries that combine.
    interval_s : float
        Time between two calls of a combiner.
    writes_max : int
        Most writes of one call.
    timeout_s : float
        Longest wait for a combiner's reply.
    """

    entries_min: int = 16
    combiners: int = 8
    interval_s: float = 0.04
    writes_max: int = 120
    timeout_s: float = 3.0


class NoCombinerError(LinkError):
    """No combiner can be reached; the writes surely did not leave."""


def choose_combiner(
    own_name: str, names: Sequence[str], settings: CombinerSettings
) -> str | None:
    """Return the entry that combines an entry's writes; None in a small fleet."""
    if len(names) < settings.entries_min:
        return None
    chosen = sorted(names, key=_rank)[: settings.combiners]
    if own_name in chosen:
        return own_name
    return chosen[_rank(own_name) % len(chosen)]


def _rank(name: str) -> int:
    rank: int = xxhash.xxh3_64_intdigest(f"claims\0{name}".encode())
    return rank


@define(eq=False)
class _Group:
    """Writes of one entry that wait for the next call."""

    writes: tuple[ConditionalWrite, ...]
    done: asyncio.Future[tuple[WriteResult, ...]]

    def keys(self) -> frozenset[str]:
        return frozenset(write.key for write in self.writes)


class WriteCombiner:
    """Write groups of several entries in one call each interval.

    Parameters
    ----------
    store : KeyValueStore
        The store.
    settings : CombinerSettings
        Pace and size.
    dispatcher : Dispatcher
        Links on which the groups arrive.
    """

    def __init__(
        self, store: KeyValueStore, settings: CombinerSettings, dispatcher: Dispatcher
    ) -> None:
        self._store = store
        self._settings = settings
        self._waiting: list[_Group] = []
        self._task: asyncio.Task[None] | None = None
        self.calls = 0
        dispatcher.on_call(CombineWrites, self._take_message)

    async def close(self) -> None:
        """Stop; groups that wait are not written."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply a group with the next call; raise what the store raised."""
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(_Group(tuple(writes), done))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        results: tuple[WriteResult, ...] = await done
        return results

    async def _take_message(self, _: Link, message: CombineWrites) -> WritesCombined:
        return await self.handle(message)

    async def handle(self, message: CombineWrites) -> WritesCombined:
        """Write the group of another entry; failures become part of the reply."""
        writes = tuple(map(unpack_write, message.writes))
        try:
            results = await self.write_many(writes)
        except LeaseExpiredError as error:
            return WritesCombined("lease_expired", str(error), [])
        except StoreUnavailableError as error:
            return WritesCombined("unavailable", str(error), [])
        except StoreError as error:
            return WritesCombined("unknown", str(error), [])
        return WritesCombined("", "", [pack_result(result) for result in results])

    async def _run(self) -> None:
        while self._waiting:
            await asyncio.sleep(self._settings.interval_s)
            await self._write(self._take())

    def _take(self) -> list[_Group]:
        """Take the groups that fit into one call and share no key."""
        taken: list[_Group] = []
        left: list[_Group] = []
        keys: set[str] = set()
        for group in self._waiting:
            fits = not taken or len(keys) + len(group.writes) <= (
                self._settings.writes_max
            )
            if fits and keys.isdisjoint(group.keys()):
                taken.append(group)
                keys |= group.keys()
            else:
                left.append(group)
        self._waiting = left
        return taken

    async def _write(self, groups: list[_Group]) -> None:
        writes = list(chain.from_iterable(group.writes for group in groups))
        self.calls += 1
        try:
            results = await self._store.write_many(writes)
        except LeaseExpiredError as error:
            await self._write_apart(groups, error)
        except StoreError as error:
            _fail(groups, error)
        except BaseException as error:
            # Whatever went wrong, nobody may wait for ever.
            unknown = WriteOutcomeUnknownError(f"the combiner failed: {error!r}")
            _fail([*groups, *self._waiting], unknown)
            self._waiting.clear()
            raise
        else:
            _settle(groups, results)

    async def _write_apart(
        self, groups: list[_Group], error: LeaseExpiredError
    ) -> None:
        """Write each group alone, since one expired lease fails a whole call."""
        if len(groups) == 1:
            _fail(groups, error)
            return
        for group in groups:
            await self._write([group])


def _fail(groups: list[_Group], error: StoreError) -> None:
    for group in groups:
        if not group.done.done():
            group.done.set_exception(error)


def _settle(groups: list[_Group], results: Sequence[WriteResult]) -> None:
    start = 0
    for group in groups:
        end = start + len(group.writes)
        if not group.done.done():
            group.done.set_result(tuple(results[start:end]))
        start = end


#: Sends a group to an entry by its name; raises `NoCombinerError` when it surely
#: did not leave, and another `LinkError` when no reply came.
SendGroup = Callable[[str, CombineWrites], Awaitable[WritesCombined]]


class CombiningStore:
    """Write groups through a combiner where the fleet is large.

    Parameters
    ----------
    own_name : str
        Name of this entry.
    store : KeyValueStore
        The store, for small fleets and when no combiner can be reached.
    combiner : WriteCombiner
        Combiner of this entry.
    target : callable
        Returns the name of the entry that combines; None to write directly.
    send : callable
        Sends a group to an entry.
    """

    def __init__(
        self,
        own_name: str,
        store: KeyValueStore,
        combiner: WriteCombiner,
        target: Callable[[], str | None],
        send: SendGroup,
    ) -> None:
        self._own_name = own_name
        self._store = store
        self._combiner = combiner
        self._target = target
        self._send = send

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes; see `KeyValueStore`."""
        target = self._target()
        if target is None:
            return await self._store.write_many(writes)
        if target == self._own_name:
            return await self._combiner.write_many(writes)
        request = CombineWrites([pack_write(write) for write in writes])
        try:
            reply = await self._send(target, request)
        except NoCombinerError:
            return await self._store.write_many(writes)
        except LinkError as error:
            message = f"combiner {target} did not answer"
            raise WriteOutcomeUnknownError(message) from error
        return _results_of(reply, len(writes))


def _results_of(reply: WritesCombined, count: int) -> tuple[WriteResult, ...]:
    match reply.failure:
        case "":
            if len(reply.results) != count:
                raise WriteOutcomeUnknownError("the combiner's reply is incomplete")
            return tuple(map(unpack_result, reply.results))
        case "unavailable":
            raise StoreUnavailableError(reply.reason)
        case "lease_expired":
            raise LeaseExpiredError(reply.reason)
        case _:
            raise WriteOutcomeUnknownError(reply.reason)
