"""Event loop of the gateway, and periodic waits that wake it up together.

Most of the processor time of a gateway with few requests goes into wake-ups and system
calls, so both are kept few.
"""

import asyncio
import random
import selectors
from functools import singledispatch

__all__ = [
    "POLL_ITERATIONS_MAX",
    "new_event_loop",
    "sleep_until_tick",
    "tick_phase_s",
]

#: Iterations of the loop, while callbacks are ready, between two polls of the sockets.
POLL_ITERATIONS_MAX = 4
#: Fraction of an interval below which the next tick is skipped, since timers may end
#: slightly early.
EARLY_FRACTION = 0.1
#: Offset of this process's ticks, so that not all processes act at the same time.
_PHASE_S = random.uniform(0.0, 60.0)


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that skips most polls while callbacks are ready.

    A request is handled by a chain of short callbacks, and the loop would poll the
    sockets before each of them.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready files; skip most polls that would not wait."""
        is_urgent = timeout is not None and timeout <= 0
        if is_urgent and self._skipped < POLL_ITERATIONS_MAX - 1:
            self._skipped += 1
            return []
        self._skipped = 0
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        return ready


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that polls less often while callbacks are ready."""
    return asyncio.SelectorEventLoop(_SkippingSelector())


@singledispatch
def tick_phase_s(loop: asyncio.AbstractEventLoop) -> float:
    """Return the offset in seconds of the ticks of a loop."""
    return _PHASE_S


async def sleep_until_tick(interval_s: float) -> None:
    """Sleep until the next multiple of an interval.

    Periodic tasks whose intervals have common multiples then run together.

    Parameters
    ----------
    interval_s : float
        Time in seconds between two ticks.
    """
    loop = asyncio.get_running_loop()
    passed_s = (loop.time() + tick_phase_s(loop)) % interval_s
    delay_s = interval_s - passed_s
    if delay_s < EARLY_FRACTION * interval_s:
        delay_s += interval_s
    await asyncio.sleep(delay_s)
