"""Combine the writes of many entries into few calls to the store.

Correctness depends only on the condition of each write. A combiner merely
batches writes, so its failure has the same effect as a lost reply from the store.
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
    """Settings for combining writes.

    Parameters
    ----------
    entries_min : int
        Number of listed entries from which writes are combined.
    combiners : int
        Number of entries that act as combiners.
    interval_s : float
        Time, in seconds, for which a combiner collects writes before each call.
    writes_max : int
        Largest number of writes in one call.
    timeout_s : float
        Timeout, in seconds, for a combiner's reply.
    """

    entries_min: int = 16
    combiners: int = 8
    interval_s: float = 0.04
    writes_max: int = 120
    timeout_s: float = 3.0


class NoCombinerError(LinkError):
    """The combiner is unreachable; the writes are known not to have been sent."""


def choose_combiner(
    local_name: str, names: Sequence[str], settings: CombinerSettings
) -> str | None:
    """Return the name of the entry that combines an entry's writes.

    Parameters
    ----------
    local_name : str
        Name of the entry whose writes are combined.
    names : sequence of str
        Names of all listed entries.
    settings : CombinerSettings
        Number of combiners and smallest fleet that uses them.

    Returns
    -------
    str or None
        Name of the combiner; None if the fleet is too small to combine writes.
    """
    if len(names) < settings.entries_min:
        return None
    chosen = sorted(names, key=_rank)[: settings.combiners]
    if local_name in chosen:
        return local_name
    return chosen[_rank(local_name) % len(chosen)]


def _rank(name: str) -> int:
    rank: int = xxhash.xxh3_64_intdigest(f"claims\0{name}".encode())
    return rank


@define(eq=False)
class _Group:
    """Writes of one entry that are waiting for the next call."""

    writes: tuple[ConditionalWrite, ...]
    future: asyncio.Future[tuple[WriteResult, ...]]

    def keys(self) -> frozenset[str]:
        return frozenset(write.key for write in self.writes)


class WriteCombiner:
    """Write the groups of several entries with one store call per interval.

    Parameters
    ----------
    store : KeyValueStore
        Store that applies the writes.
    settings : CombinerSettings
        Interval and size of the calls.
    dispatcher : Dispatcher
        Dispatcher of the links on which groups arrive.

    Attributes
    ----------
    calls : int
        Number of calls to the store so far.
    """

    def __init__(
        self, store: KeyValueStore, settings: CombinerSettings, dispatcher: Dispatcher
    ) -> None:
        self._store = store
        self._settings = settings
        self._waiting: list[_Group] = []
        self._task: asyncio.Task[None] | None = None
        self.calls = 0
        dispatcher.on_call(CombineWrites, self._on_combine_writes)

    async def close(self) -> None:
        """Stop the combiner; waiting groups are not written."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply a group of writes with the next call to the store.

        Raises
        ------
        StoreError
            If the call that contained the group failed.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(_Group(tuple(writes), future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_batches())
        results: tuple[WriteResult, ...] = await future
        return results

    async def _on_combine_writes(
        self, _: Link, message: CombineWrites
    ) -> WritesCombined:
        return await self.handle(message)

    async def handle(self, message: CombineWrites) -> WritesCombined:
        """Write the group of another entry and report a failure in the reply."""
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

    async def _write_batches(self) -> None:
        while self._waiting:
            await asyncio.sleep(self._settings.interval_s)
            await self._write(self._take_batch())

    def _take_batch(self) -> list[_Group]:
        """Remove and return waiting groups that fit into one call and share no key.

        The oldest group is always included, whatever its size.
        """
        batch: list[_Group] = []
        remaining: list[_Group] = []
        keys: set[str] = set()
        for group in self._waiting:
            fits = not batch or len(keys) + len(group.writes) <= (
                self._settings.writes_max
            )
            if fits and keys.isdisjoint(group.keys()):
                batch.append(group)
                keys |= group.keys()
            else:
                remaining.append(group)
        self._waiting = remaining
        return batch

    async def _write(self, groups: list[_Group]) -> None:
        writes = list(chain.from_iterable(group.writes for group in groups))
        self.calls += 1
        try:
            results = await self._store.write_many(writes)
        except LeaseExpiredError as error:
            await self._write_separately(groups, error)
        except StoreError as error:
            _fail(groups, error)
        except BaseException as error:
            # Complete all futures on any error, or their callers would wait forever.
            unknown = WriteOutcomeUnknownError(f"the write combiner failed: {error!r}")
            _fail([*groups, *self._waiting], unknown)
            self._waiting.clear()
            raise
        else:
            _complete(groups, results)

    async def _write_separately(
        self, groups: list[_Group], error: LeaseExpiredError
    ) -> None:
        """Write each group on its own, as one expired lease fails the entire call."""
        if len(groups) == 1:
            _fail(groups, error)
            return
        for group in groups:
            await self._write([group])


def _fail(groups: list[_Group], error: StoreError) -> None:
    for group in groups:
        if not group.future.done():
            group.future.set_exception(error)


def _complete(groups: list[_Group], results: Sequence[WriteResult]) -> None:
    start = 0
    for group in groups:
        end = start + len(group.writes)
        if not group.future.done():
            group.future.set_result(tuple(results[start:end]))
        start = end


#: Sends a group to the entry with the given name. Raises `NoCombinerError` if the
#: group is known not to have been sent, and another `LinkError` if no reply arrived.
SendGroup = Callable[[str, CombineWrites], Awaitable[WritesCombined]]


class CombiningStore:
    """Write groups through a combiner if the fleet is large enough.

    Parameters
    ----------
    local_name : str
        Name of this entry.
    store : KeyValueStore
        Store that is written directly in small fleets and when the combiner is
        unreachable.
    combiner : WriteCombiner
        Combiner of this entry, used when this entry is chosen as a combiner.
    find_combiner : callable
        Returns the name of the entry that combines this entry's writes, or None
        to write directly.
    send : callable
        Sends a group to another entry, see `SendGroup`.
    """

    def __init__(
        self,
        local_name: str,
        store: KeyValueStore,
        combiner: WriteCombiner,
        find_combiner: Callable[[], str | None],
        send: SendGroup,
    ) -> None:
        self._local_name = local_name
        self._store = store
        self._combiner = combiner
        self._find_combiner = find_combiner
        self._send = send

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes.

        See `KeyValueStore.write_many` for results and errors.
        """
        combiner_name = self._find_combiner()
        if combiner_name is None:
            return await self._store.write_many(writes)
        if combiner_name == self._local_name:
            return await self._combiner.write_many(writes)
        request = CombineWrites([pack_write(write) for write in writes])
        try:
            reply = await self._send(combiner_name, request)
        except NoCombinerError:
            return await self._store.write_many(writes)
        except LinkError as error:
            message = f"combiner {combiner_name} did not reply"
            raise WriteOutcomeUnknownError(message) from error
        return _unpack_reply(reply, len(writes))


def _unpack_reply(reply: WritesCombined, count: int) -> tuple[WriteResult, ...]:
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
