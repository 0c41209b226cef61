"""Continuous batching with bounded memory, as the engine stand-in runs it."""

import heapq
import math
from collections import OrderedDict
from enum import StrEnum

import xxhash
from attrs import Factory, define, field, frozen

__all__ = [
    "BATCH_HISTORY_LENGTH",
    "EngineCore",
    "EngineCoreSettings",
    "EngineSnapshot",
    "PrefixCache",
    "Run",
    "RunState",
    "count_prompt_tokens",
]

CHARACTERS_PER_TOKEN = 4
CACHE_BLOCK_TOKENS = 16
BATCH_HISTORY_LENGTH = 512


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, math.ceil(len(prompt) / CHARACTERS_PER_TOKEN))


class RunState(StrEnum):
    """State of a generation in the ledger."""

    RUNNING = "running"
    CANCELLED = "cancelled"
    COMPLETE = "complete"


@frozen
class EngineCoreSettings:
    """Size and speed of an engine.

    Parameters
    ----------
    memory_tokens : int
        Memory for prompts and produced tokens of all running generations.
    prefill_tokens_per_s : float
        Rate at which prompts are computed.
    prefill_tokens_per_step : int
        Most prompt tokens computed in one step.
    token_interval_s : float
        Time of a step that decodes one generation.
    token_interval_per_run_s : float
        Time that each generation in the batch adds to a step.
    max_running : int
        Most generations in the batch.
    cache_tokens : int
        Size of the prefix cache in prompt tokens.
    """

    memory_tokens: int = 16_384
    prefill_tokens_per_s: float = 40_000.0
    prefill_tokens_per_step: int = 2_048
    token_interval_s: float = 0.01
    token_interval_per_run_s: float = 0.000_05
    max_running: int = 1_024
    cache_tokens: int = 8_192


@define(eq=False)
class Run:
    """One generation in the engine."""

    generation_id: str
    request_id: str
    prompt: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    max_tokens: int
    sequence: int = 0
    produced_tokens: int = 0
    prefill_left_tokens: int = 0
    held_tokens: int = 0
    preemptions: int = 0
    state: RunState = RunState.RUNNING

    @property
    def order(self) -> tuple[int, int]:
        """Key by which runs are served; the smallest is served first."""
        return (self.priority, self.sequence)

    @property
    def is_capped(self) -> bool:
        """Whether the length is set by ``max_tokens``."""
        return self.output_tokens >= self.max_tokens


@frozen
class EngineSnapshot:
    """Load of the engine at one time."""

    taken_at_s: float = 0.0
    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    preemptions: int = 0
    cache_queried_tokens: int = 0
    cache_hit_tokens: int = 0


@define
class PrefixCache:
    """Least-recently-used cache of prompt blocks, by hash of the whole prefix."""

    capacity_blocks: int
    blocks: OrderedDict[int, None] = Factory(OrderedDict)
    stored: list[int] = Factory(list)
    removed: list[int] = Factory(list)

    def take(self, prompt: str) -> int:
        """Look a prompt up, store its blocks and return the tokens found."""
        width = CACHE_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
        data = prompt.encode()
        digest = xxhash.xxh3_64()
        found_blocks = 0
        is_prefix = True
        for start in range(0, len(data) - width + 1, width):
            digest.update(data[start : start + width])
            block = digest.intdigest()
            is_prefix = is_prefix and block in self.blocks
            found_blocks += is_prefix
            self._store(block)
        return found_blocks * CACHE_BLOCK_TOKENS

    def _store(self, block: int) -> None:
        if block in self.blocks:
            self.blocks.move_to_end(block)
            return
        self.blocks[block] = None
        self.stored.append(block)
        if len(self.blocks) > self.capacity_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self.removed.append(evicted)


@define
class EngineCore:
    """Batch, queue, memory and prefix cache of one engine.

    The owner calls `step` after the time that `begin_step` returns.
    """

    settings: EngineCoreSettings
    cache: PrefixCache = field(init=False)
    running: list[Run] = field(init=False, factory=list)
    used_tokens: int = field(init=False, default=0)
    preemptions: int = field(init=False, default=0)
    cache_queried_tokens: int = field(init=False, default=0)
    cache_hit_tokens: int = field(init=False, default=0)
    _waiting: list[tuple[tuple[int, int], Run]] = field(init=False, factory=list)
    _sequence: int = field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.cache = PrefixCache(self.settings.cache_tokens // CACHE_BLOCK_TOKENS)

    @property
    def waiting(self) -> int:
        """Number of generations that wait for memory."""
        return sum(run.state is RunState.RUNNING for _, run in self._waiting)

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self.running and not self._waiting

    def fits(self, run: Run) -> bool:
        """Whether the generation fits the memory when alone."""
        needed = run.prompt_tokens + run.output_tokens
        return needed <= self.settings.memory_tokens

    def submit(self, run: Run) -> None:
        """Queue a new generation."""
        self._sequence += 1
        run.sequence = self._sequence
        heapq.heappush(self._waiting, (run.order, run))

    def cancel(self, run: Run) -> None:
        """Stop a generation and free its memory."""
        if run.state is not RunState.RUNNING:
            return
        run.state = RunState.CANCELLED
        self._release(run)
        if run in self.running:
            self.running.remove(run)

    def snapshot(self, now_s: float) -> EngineSnapshot:
        """Return the present load."""
        return EngineSnapshot(
            taken_at_s=now_s,
            running=len(self.running),
            waiting=self.waiting,
            used_tokens=self.used_tokens,
            preemptions=self.preemptions,
            cache_queried_tokens=self.cache_queried_tokens,
            cache_hit_tokens=self.cache_hit_tokens,
        )

    def begin_step(self) -> float:
        """Admit what fits and return the time of the next step."""
        self._admit_waiting()
        prefill_tokens = self._prefill()
        settings = self.settings
        return (
            settings.token_interval_s
            + settings.token_interval_per_run_s * len(self.running)
            + prefill_tokens / settings.prefill_tokens_per_s
        )

    def finish_step(self) -> list[Run]:
        """Decode one token of each prefilled run; return these runs."""
        self._make_room()
        decoded = [run for run in self.running if not run.prefill_left_tokens]
        for run in decoded:
            run.produced_tokens += 1
            run.held_tokens += 1
            if run.produced_tokens >= run.output_tokens:
                run.state = RunState.COMPLETE
                self._release(run)
        self.used_tokens = sum(run.held_tokens for run in self.running)
        if any(run.state is not RunState.RUNNING for run in decoded):
            self.running = [r for r in self.running if r.state is RunState.RUNNING]
        return decoded

    def _admit_waiting(self) -> None:
        while self._waiting and len(self.running) < self.settings.max_running:
            run = self._waiting[0][1]
            if run.state is not RunState.RUNNING:
                heapq.heappop(self._waiting)
                continue
            needed = run.prompt_tokens + run.produced_tokens + 1
            if self.used_tokens + needed > self.settings.memory_tokens:
                return
            heapq.heappop(self._waiting)
            self._start(run)

    def _start(self, run: Run) -> None:
        hit_tokens = self.cache.take(run.prompt)
        self.cache_queried_tokens += run.prompt_tokens
        self.cache_hit_tokens += hit_tokens
        run.held_tokens = run.prompt_tokens + run.produced_tokens
        run.prefill_left_tokens = max(1, run.held_tokens - hit_tokens)
        self.used_tokens += run.held_tokens
        self.running.append(run)

    def _prefill(self) -> int:
        budget_tokens = self.settings.prefill_tokens_per_step
        for run in self.running:
            part = min(run.prefill_left_tokens, budget_tokens)
            run.prefill_left_tokens -= part
            budget_tokens -= part
        return self.settings.prefill_tokens_per_step - budget_tokens

    def _make_room(self) -> None:
        """Preempt the last in order until each run can take one more token."""
        while (
            len(self.running) > 1
            and self.used_tokens + len(self.running) > self.settings.memory_tokens
        ):
            victim = max(self.running, key=lambda run: run.order)
            self.running.remove(victim)
            self._release(victim)
            victim.prefill_left_tokens = 0
            victim.preemptions += 1
            self.preemptions += 1
            heapq.heappush(self._waiting, (victim.order, victim))

    def _release(self, run: Run) -> None:
        self.used_tokens -= run.held_tokens
        run.held_tokens = 0
