"""Simulation of continuous batching with bounded key-value cache memory."""

import heapq
import math
from collections import OrderedDict
from enum import StrEnum

import xxhash
from attrs import Factory, define, field, frozen

__all__ = [
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


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt; at least 1."""
    return max(1, math.ceil(len(prompt) / CHARACTERS_PER_TOKEN))


class RunState(StrEnum):
    """State of a generation; `RUNNING` includes waiting and preempted ones."""

    RUNNING = "running"
    CANCELLED = "cancelled"
    COMPLETE = "complete"


@frozen
class EngineCoreSettings:
    """Memory, batch size and speed of a simulated engine.

    Parameters
    ----------
    memory_tokens : int
        Memory for the prompts and produced tokens of all running generations.
    prefill_tokens_per_s : float
        Rate at which prompt tokens are prefilled.
    prefill_tokens_per_step : int
        Maximum number of prompt tokens that one step prefills.
    token_interval_s : float
        Fixed duration of a step in seconds.
    token_interval_per_run_s : float
        Time in seconds that each generation in the batch adds to a step.
    max_running : int
        Maximum number of generations in the batch.
    cache_tokens : int
        Capacity of the prefix cache in prompt tokens.
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
    """One generation in the engine.

    Parameters
    ----------
    generation_id : str
        Identifier that the engine assigns to the generation.
    request_id : str
        Identifier of the request; empty if the caller sent none.
    prompt : str
        Text of the prompt.
    prompt_tokens : int
        Length of the prompt.
    output_tokens : int
        Number of tokens that the generation will produce.
    priority : int
        Priority; generations with a lower value are served first.
    max_tokens : int
        Limit that the request sets on the number of produced tokens.
    sequence : int
        Position in the order of submission.
    produced_tokens : int
        Number of tokens produced so far.
    remaining_prefill_tokens : int
        Number of tokens that must be prefilled before the next token is decoded.
    held_tokens : int
        Memory that the generation occupies.
    preemptions : int
        Number of times that the generation was preempted.
    state : RunState
        Current state.
    """

    generation_id: str
    request_id: str
    prompt: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    max_tokens: int
    sequence: int = 0
    produced_tokens: int = 0
    remaining_prefill_tokens: int = 0
    held_tokens: int = 0
    preemptions: int = 0
    state: RunState = RunState.RUNNING

    @property
    def scheduling_key(self) -> tuple[int, int]:
        """Sort key of the queue; the smallest is served first and preempted last."""
        return (self.priority, self.sequence)

    @property
    def is_length_limited(self) -> bool:
        """Whether ``max_tokens`` ends the generation."""
        return self.output_tokens >= self.max_tokens


@frozen
class EngineSnapshot:
    """Load of an engine at one point in time.

    Parameters
    ----------
    taken_at_s : float
        Time of the snapshot in seconds.
    running, waiting : int
        Number of generations in the batch and in the queue.
    used_tokens : int
        Memory that the batch occupies.
    preemptions : int
        Number of preemptions since the start.
    cache_queried_tokens, cache_hit_tokens : int
        Number of prompt tokens looked up in the prefix cache and found there
        since the start.
    """

    taken_at_s: float = 0.0
    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    preemptions: int = 0
    cache_queried_tokens: int = 0
    cache_hit_tokens: int = 0


@define
class PrefixCache:
    """Least-recently-used cache of prompt blocks.

    The key of a block is the hash of the prompt up to the end of the block.

    Parameters
    ----------
    capacity_blocks : int
        Maximum number of blocks.
    blocks : OrderedDict
        Hashes of the cached blocks; the least recently used one comes first.
    stored, removed : list of int
        Hashes added and evicted since the owner last cleared these lists.
    """

    capacity_blocks: int
    blocks: OrderedDict[int, None] = Factory(OrderedDict)
    stored: list[int] = Factory(list)
    removed: list[int] = Factory(list)

    def look_up_and_store(self, prompt: str) -> int:
        """Look up a prompt, store its blocks and return the number of tokens found."""
        block_bytes = CACHE_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
        data = prompt.encode()
        digest = xxhash.xxh3_64()
        hit_blocks = 0
        is_prefix = True
        for start in range(0, len(data) - block_bytes + 1, block_bytes):
            digest.update(data[start : start + block_bytes])
            block = digest.intdigest()
            is_prefix = is_prefix and block in self.blocks
            hit_blocks += is_prefix
            self._store(block)
        return hit_blocks * CACHE_BLOCK_TOKENS

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

    The owner calls `begin_step`, lets the returned duration pass, and then calls
    `finish_step`.

    Parameters
    ----------
    settings : EngineCoreSettings
        Memory, batch size and speed.

    Attributes
    ----------
    cache : PrefixCache
        Prefix cache.
    running : list of Run
        Generations in the batch.
    used_tokens : int
        Memory that the batch occupies.
    preemptions : int
        Number of preemptions since the start.
    cache_queried_tokens, cache_hit_tokens : int
        Number of prompt tokens looked up in the prefix cache and found there
        since the start.
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
        """Number of generations that wait for a place in the batch."""
        return sum(run.state is RunState.RUNNING for _, run in self._waiting)

    @property
    def is_idle(self) -> bool:
        """Whether no generation is running or queued."""
        return not self.running and not self._waiting

    def fits(self, run: Run) -> bool:
        """Return whether the generation fits into the memory on its own."""
        needed_tokens = run.prompt_tokens + run.output_tokens
        return needed_tokens <= self.settings.memory_tokens

    def submit(self, run: Run) -> None:
        """Add a new generation to the queue."""
        self._sequence += 1
        run.sequence = self._sequence
        heapq.heappush(self._waiting, (run.scheduling_key, run))

    def cancel(self, run: Run) -> None:
        """Cancel a generation and free its memory, unless it has ended."""
        if run.state is not RunState.RUNNING:
            return
        run.state = RunState.CANCELLED
        self._free_memory(run)
        if run in self.running:
            self.running.remove(run)

    def snapshot(self, now_s: float) -> EngineSnapshot:
        """Return the current load."""
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
        """Admit waiting runs, prefill, and return the step's duration in seconds."""
        self._admit_waiting()
        prefill_tokens = self._prefill()
        settings = self.settings
        return (
            settings.token_interval_s
            + settings.token_interval_per_run_s * len(self.running)
            + prefill_tokens / settings.prefill_tokens_per_s
        )

    def finish_step(self) -> list[Run]:
        """Decode one token of each prefilled run and return these runs."""
        self._preempt_until_step_fits()
        decoded = [run for run in self.running if not run.remaining_prefill_tokens]
        for run in decoded:
            run.produced_tokens += 1
            run.held_tokens += 1
            if run.produced_tokens >= run.output_tokens:
                run.state = RunState.COMPLETE
                self._free_memory(run)
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
            needed_tokens = run.prompt_tokens + run.produced_tokens + 1
            if self.used_tokens + needed_tokens > self.settings.memory_tokens:
                return
            heapq.heappop(self._waiting)
            self._start_run(run)

    def _start_run(self, run: Run) -> None:
        hit_tokens = self.cache.look_up_and_store(run.prompt)
        self.cache_queried_tokens += run.prompt_tokens
        self.cache_hit_tokens += hit_tokens
        run.held_tokens = run.prompt_tokens + run.produced_tokens
        run.remaining_prefill_tokens = max(1, run.held_tokens - hit_tokens)
        self.used_tokens += run.held_tokens
        self.running.append(run)

    def _prefill(self) -> int:
        budget_tokens = self.settings.prefill_tokens_per_step
        for run in self.running:
            chunk_tokens = min(run.remaining_prefill_tokens, budget_tokens)
            run.remaining_prefill_tokens -= chunk_tokens
            budget_tokens -= chunk_tokens
        return self.settings.prefill_tokens_per_step - budget_tokens

    def _preempt_until_step_fits(self) -> None:
        """Preempt the last runs in order until each one left can hold another token."""
        while (
            len(self.running) > 1
            and self.used_tokens + len(self.running) > self.settings.memory_tokens
        ):
            victim = max(self.running, key=lambda run: run.scheduling_key)
            self.running.remove(victim)
            self._free_memory(victim)
            victim.remaining_prefill_tokens = 0
            victim.preemptions += 1
            self.preemptions += 1
            heapq.heappush(self._waiting, (victim.scheduling_key, victim))

    def _free_memory(self, run: Run) -> None:
        self.used_tokens -= run.held_tokens
        run.held_tokens = 0
