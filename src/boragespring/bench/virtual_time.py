"""Event loop whose clock jumps to the next timer instead of waiting.

Code that waits only on timers, such as policies and engine stand-ins, runs on it
as fast as the CPU allows and gives the same result in every run.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from functools import partial
from typing import Any, TypeVar

from boragespring.event_loop import tick_phase_s

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and return the files that are ready."""
        if timeout is None:
            return super().select(timeout)
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that runs in virtual time.

    Parameters
    ----------
    phase_s : float, default=0.0
        Offset in seconds of its ticks.
    """

    def __init__(self, phase_s: float = 0.0) -> None:
        self.phase_s = phase_s
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


@tick_phase_s.register
def _(loop: VirtualTimeLoop) -> float:
    # Drawn at random, it would make the results of two runs differ.
    return loop.phase_s


def run_in_virtual_time(main: Coroutine[Any, Any, T], phase_s: float = 0.0) -> T:
    """Run a coroutine on a new virtual clock and return its result.

    Parameters
    ----------
    main : coroutine
        What to run.
    phase_s : float, default=0.0
        Offset in seconds of the ticks.
    """
    with asyncio.Runner(loop_factory=partial(VirtualTimeLoop, phase_s)) as runner:
        return runner.run(main)
