"""Acquire, renew and release the duties of one process."""

import asyncio
import json
import random
import secrets
from collections.abc import Callable

from absl import logging
from attrs import define

from boragespring.json_document import parse_json
from boragespring.membership.duties import (
    DUTY_PREFIX,
    Duty,
    DutySettings,
    LeaseState,
    lease_clock,
)
from boragespring.store.store import (
    ABSENT_REVISION,
    ConditionalWrite,
    KeyValue,
    KeyValueStore,
    LeaseExpiredError,
    StoreError,
    WriteResult,
)

__all__ = ["DutyCounters", "DutyManager"]

#: Fraction of the lease's time to live after which it is renewed.
RENEWAL_FRACTION = 1 / 3
#: Range of the random factor applied to intervals.
JITTER_LOW, JITTER_HIGH = 0.75, 1.0
#: Maximum number of keys that one store call creates or deletes.
WRITES_PER_CALL_MAX = 100


def _always_candidate() -> bool:
    return True


@define(eq=False)
class DutyCounters:
    """Numbers of store calls for duties.

    Parameters
    ----------
    reads : int
        Reads of the duty keys.
    lease_calls : int
        Calls that grant or renew the lease.
    writes : int
        Calls that create or delete duty keys.
    failures : int
        Rounds that ended with an error.
    """

    reads: int = 0
    lease_calls: int = 0
    writes: int = 0
    failures: int = 0


class DutyManager:
    """Acquire, renew and release the duties of one process.

    A duty is held only if the store says so: its key has a value with this
    process's random token and is bound to its current lease. The next read
    therefore resolves a write whose reply was lost, whenever it took effect.

    Parameters
    ----------
    store : KeyValueStore
        Store that holds the duty keys and the lease.
    holder_name : str
        Name of this instance, shown to operators.
    settings : DutySettings or None
        Lease and polling times; None for the defaults.
    clock : callable
        Clock in seconds that keeps running while the machine is suspended.

    Attributes
    ----------
    duties : dict of str to Duty
        Registered duties by name.
    counters : DutyCounters
        Numbers of store calls.
    """

    def __init__(
        self,
        store: KeyValueStore,
        holder_name: str,
        settings: DutySettings | None = None,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self._store = store
        self._holder_name = holder_name
        self._settings = settings or DutySettings()
        self._clock = clock
        self._holder_token = secrets.token_hex(8)
        self._lease = LeaseState()
        self._next_read_at_s = float("-inf")
        self.duties: dict[str, Duty] = {}
        self.counters = DutyCounters()

    def register(
        self, name: str, is_candidate: Callable[[], bool] = _always_candidate
    ) -> Duty:
        """Return the duty with the given name, registering it on the first call.

        Parameters
        ----------
        name : str
            Name of the duty, unique in the deployment.
        is_candidate : callable
            Whether this process is allowed to hold the duty now; ignored if the
            duty is registered already.
        """
        duty = self.duties.get(name)
        if duty is None:
            duty = Duty(name, is_candidate, lease=self._lease, clock=self._clock)
            self.duties[name] = duty
            self._next_read_at_s = float("-inf")
        return duty

    async def run(self) -> None:
        """Acquire and renew duties until cancelled; then release all of them."""
        try:
            while True:
                try:
                    await self._run_round()
                except StoreError as error:
                    self._record_failure(error)
                except Exception as error:
                    # A malformed reply must not end all duties of the process.
                    logging.exception("event=duties_turn_failed")
                    self._record_failure(error)
                await asyncio.sleep(self._delay_to_next_round_s())
        finally:
            await self._revoke_lease()

    def _delay_to_next_round_s(self) -> float:
        due_at_s = self._next_read_at_s
        if self._lease.lease_id:
            due_at_s = min(due_at_s, self._lease.renew_at_s)
        max_delay_s = self._settings.poll_interval_s * RENEWAL_FRACTION
        delay_s = min(max(due_at_s - self._clock(), 0.0), max_delay_s)
        return max(delay_s, 0.01) * random.uniform(JITTER_LOW, JITTER_HIGH)

    def _record_failure(self, error: Exception) -> None:
        self.counters.failures += 1
        logging.log_every_n(
            logging.WARNING, "event=duties_store_failed error=%r", 20, error
        )
        # Postpone the next store call so as not to overload a failing store.
        delay_s = self._settings.poll_interval_s * random.uniform(0.5, 1.0)
        self._next_read_at_s = max(self._next_read_at_s, self._clock() + delay_s / 2)
        self._lease.renew_at_s = max(
            self._lease.renew_at_s, self._clock() + delay_s / 2
        )

    async def _run_round(self) -> None:
        """Renew the lease, read the keys, and acquire or release duties if due."""
        now_s = self._clock()
        if self._lease.lease_id and now_s >= self._lease.renew_at_s:
            await self._renew_lease()
        if now_s < self._next_read_at_s:
            return
        await self._read_keys()
        await self._release_unwanted()
        available = [duty for duty in self.duties.values() if self._can_acquire(duty)]
        for start in range(0, len(available), WRITES_PER_CALL_MAX):
            await self._acquire(available[start : start + WRITES_PER_CALL_MAX])

    def _can_acquire(self, duty: Duty) -> bool:
        return not duty.holder_name and duty.is_candidate()

    async def _read_keys(self) -> None:
        self.counters.reads += 1
        result = await self._store.range(DUTY_PREFIX)
        items = {item.key.removeprefix(DUTY_PREFIX): item for item in result.items}
        for name, duty in self.duties.items():
            self._apply_key(duty, items.get(name))
        is_idle = not any(duty.is_candidate() for duty in self.duties.values())
        interval_s = (
            self._settings.idle_poll_interval_s
            if is_idle
            else self._settings.poll_interval_s
        )
        delay_s = interval_s * random.uniform(JITTER_LOW, JITTER_HIGH)
        self._next_read_at_s = self._clock() + delay_s

    def _apply_key(self, duty: Duty, item: KeyValue | None) -> None:
        if item is None:
            duty.apply_key(None, "", is_local=False)
            return
        holder_name, token = _parse_value(item.value)
        is_local = token == self._holder_token and item.lease_id == self._lease.lease_id
        duty.apply_key(item, holder_name, is_local)

    async def _renew_lease(self) -> None:
        requested_at_s = self._clock()
        self.counters.lease_calls += 1
        try:
            lease = await self._store.renew_lease(self._lease.lease_id)
        except LeaseExpiredError:
            self._discard_lease()
            return
        self._apply_lease(lease.ttl_s, requested_at_s)

    def _apply_lease(self, ttl_s: float, requested_at_s: float) -> None:
        """Update the lease's validity and renewal time after a grant or renewal."""
        # The store counts the time to live from when it received the request,
        # so counting from when the request was sent is never too late.
        margin_s = min(self._settings.safety_margin_s, ttl_s / 2)
        self._lease.valid_until_s = requested_at_s + ttl_s - margin_s
        delay_s = ttl_s * RENEWAL_FRACTION * random.uniform(JITTER_LOW, JITTER_HIGH)
        self._lease.renew_at_s = requested_at_s + delay_s
        for duty in self.duties.values():
            duty.notify_waiters()

    def _discard_lease(self) -> None:
        """Treat the lease as expired and all duties as lost."""
        self._lease.lease_id = 0
        self._lease.valid_until_s = float("-inf")
        self._next_read_at_s = float("-inf")
        for duty in self.duties.values():
            duty.discard_fence()

    async def _acquire(self, duties: list[Duty]) -> None:
        if not self._lease.lease_id:
            requested_at_s = self._clock()
            self.counters.lease_calls += 1
            lease = await self._store.grant_lease(self._settings.lease_ttl_s)
            self._lease.lease_id = lease.lease_id
            self._apply_lease(lease.ttl_s, requested_at_s)
        value = json.dumps(
            {"holder": self._holder_name, "token": self._holder_token}
        ).encode()
        writes = [
            ConditionalWrite(
                DUTY_PREFIX + duty.name, value, ABSENT_REVISION, self._lease.lease_id
            )
            for duty in duties
        ]
        self.counters.writes += 1
        # Read soon if this call fails: until a read shows that the write took
        # effect, the duty counts as not held.
        self._next_read_at_s = float("-inf")
        try:
            results = await self._store.write_many(writes)
        except LeaseExpiredError:
            self._discard_lease()
            return
        delay_s = self._settings.poll_interval_s
        self._next_read_at_s = self._clock() + delay_s * random.uniform(
            JITTER_LOW, JITTER_HIGH
        )
        for duty, write, result in zip(duties, writes, results, strict=True):
            self._apply_key(duty, _key_after_write(write, result))

    async def _release_unwanted(self) -> None:
        """Delete the keys of held duties for which this process is no candidate."""
        unwanted = [
            duty
            for duty in self.duties.values()
            if duty.local_fence and not duty.is_candidate()
        ][:WRITES_PER_CALL_MAX]
        if not unwanted:
            return
        writes = [
            ConditionalWrite(DUTY_PREFIX + duty.name, None, duty.local_fence)
            for duty in unwanted
        ]
        for duty in unwanted:
            duty.discard_fence()
        self.counters.writes += 1
        await self._store.write_many(writes)
        for duty in unwanted:
            duty.apply_key(None, "", is_local=False)

    async def _revoke_lease(self) -> None:
        lease_id = self._lease.lease_id
        self._discard_lease()
        if not lease_id:
            return
        try:
            async with asyncio.timeout(self._settings.release_timeout_s):
                await self._store.revoke_lease(lease_id)
        except (StoreError, TimeoutError) as error:
            logging.info("event=duties_left_to_expire error=%r", error)


def _parse_value(value: bytes) -> tuple[str, str]:
    """Return the holder's name and token.

    A malformed value yields the name "unreadable" and an empty token.
    """
    try:
        fields = parse_json(value)
        return str(fields["holder"]), str(fields["token"])
    except (ValueError, LookupError, TypeError):
        return "unreadable", ""


def _key_after_write(write: ConditionalWrite, result: WriteResult) -> KeyValue | None:
    """Return the key as it is in the store after a conditional create."""
    if not result.applied:
        return result.current
    assert write.value is not None
    return KeyValue(
        write.key, write.value, result.revision, result.revision, write.lease_id
    )
