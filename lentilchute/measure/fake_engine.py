"""A simulated model engine with continuous batching and chunked prefill, in virtual time.

A step decodes one token for each running stream. While prompts wait for prefill, each step also
processes a chunk of a prompt, which makes the step longer. Prompts are prefilled one at a time in
arrival order; the engine has no priorities.
"""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from ..ids import BlockHash, UpstreamId
from ..scheduler.tickets import CacheEvent, LoadReport
from .clock import VirtualClock
from .job import Job

BLOCK_TOKENS = 64

CHUNK_SHARE = 0.6
"""Time for the prefill chunk of a step, relative to the step's decoding time."""

MIXED_PREFILL = CHUNK_SHARE / (1 + CHUNK_SHARE)
"""Fraction of an engine's time spent on prefill while it also decodes."""


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed and capacity of an engine."""

    name: str
    prefill_tokens_per_s: float
    step_s: float
    """Duration of a step without prefill."""
    max_batch: int
    cache_tokens: int
    hardware: str


class BlockHolderCounter:
    """Counts the engines that cache each block, to detect prefill that another engine has done."""

    def __init__(self) -> None:
        self.holders: dict[BlockHash, int] = {}

    def add(self, block: BlockHash) -> None:
        """Add a holder of a block."""
        self.holders[block] = self.holders.get(block, 0) + 1

    def drop(self, block: BlockHash) -> None:
        """Remove a holder of a block."""
        self.holders[block] -= 1


@dataclass(frozen=True, slots=True)
class EngineCallbacks:
    """Callbacks that an engine invokes."""

    first_token: Callable[[Job], None]
    done: Callable[[Job], None]
    crashed: Callable[[Job], None]
    cache_event: Callable[[int, CacheEvent], None]


class FakeEngine:
    """A simulated engine, which queues requests beyond its batch and never rejects one while up."""

    def __init__(
        self,
        index: int,
        spec: EngineSpec,
        clock: VirtualClock,
        block_holders: BlockHolderCounter,
        callbacks: EngineCallbacks,
    ) -> None:
        self.index = index
        self.spec = spec
        self.is_up = True
        self.slowdown = 1.0
        self._clock = clock
        self._block_holders = block_holders
        self._callbacks = callbacks
        self._queue: deque[Job] = deque()
        self._prefill_queue: deque[Job] = deque()
        self._remaining_prefill_tokens = 0.0
        self._decoding: dict[Job, float] = {}
        self._finish_heap: list[tuple[float, int, Job]] = []
        self._decoded_tokens = 0.0
        self._advanced_s = 0.0
        self._wake_up_generation = 0
        self._cache: OrderedDict[BlockHash, None] = OrderedDict()
        self._cache_sequence = 0

    # Operations

    def admit(self, job: Job) -> bool:
        """Admit a request; return false, like a refused connection, if the engine is down."""
        if not self.is_up:
            return False
        self._advance()
        job.engine = self.index
        job.engine_class = self.spec.hardware
        job.started_s = self._clock.now_s
        job.ran_on.append(self.index)
        self._queue.append(job)
        self._fill_batch()
        self._schedule_wake_up()
        return True

    def cancel(self, job: Job) -> None:
        """Remove a request."""
        self._advance()
        if job in self._decoding:
            del self._decoding[job]
        elif job in self._queue:
            self._queue.remove(job)
        elif job in self._prefill_queue:
            was_first = self._prefill_queue[0] is job
            self._prefill_queue.remove(job)
            if was_first:
                self._start_prefill()
        self._fill_batch()
        self._schedule_wake_up()

    def crash(self) -> None:
        """Lose all requests and the cache, and refuse connections until the restart."""
        self._advance()
        lost = [*self._queue, *self._prefill_queue, *self._decoding]
        self._queue.clear()
        self._prefill_queue.clear()
        self._decoding.clear()
        for block in self._cache:
            self._block_holders.drop(block)
        self._cache.clear()
        self.is_up = False
        self._wake_up_generation += 1
        for job in lost:
            self._callbacks.crashed(job)

    def restart(self) -> None:
        """Accept requests again, with an empty cache."""
        self.is_up = True
        self._advanced_s = self._clock.now_s

    def set_slowdown(self, factor: float) -> None:
        """Slow the engine down by a factor from now on."""
        self._advance()
        self.slowdown = factor
        self._schedule_wake_up()

    def output_so_far(self, job: Job) -> int:
        """Return the number of tokens generated for a request."""
        self._advance()
        finish_at = self._decoding.get(job)
        if finish_at is None:
            return 0
        return max(1, int(job.output_tokens - (finish_at - self._decoded_tokens)))

    def load_report(self) -> LoadReport:
        """Return a report of the current load."""
        waiting = len(self._queue)
        tokens = sum(job.prompt_tokens for job in self._queue)
        tokens += sum(job.prompt_tokens for job in self._prefill_queue)
        running = len(self._prefill_queue) + len(self._decoding)
        return LoadReport(UpstreamId(self.spec.name), running, waiting, tokens, 0.0)

    # Progress in virtual time

    def _rates(self) -> tuple[float, float]:
        """Return the prefill rate and the decode rate of each stream, in tokens per second."""
        spec = self.spec
        scale = 1.0 / self.slowdown
        if not self._prefill_queue:
            return 0.0, scale / spec.step_s
        if not self._decoding:
            return scale * spec.prefill_tokens_per_s, 0.0
        prefill_rate = scale * spec.prefill_tokens_per_s * MIXED_PREFILL
        return prefill_rate, scale * (1 - MIXED_PREFILL) / spec.step_s

    def _advance(self) -> None:
        elapsed_s = self._clock.now_s - self._advanced_s
        self._advanced_s = self._clock.now_s
        if elapsed_s <= 0:
            return
        prefill_rate, decode_rate = self._rates()
        if self._prefill_queue:
            done = min(self._remaining_prefill_tokens, elapsed_s * prefill_rate)
            self._remaining_prefill_tokens -= done
            self._prefill_queue[0].prefilled_tokens += done
        self._decoded_tokens += elapsed_s * decode_rate

    def _schedule_wake_up(self) -> None:
        self._wake_up_generation += 1
        prefill_rate, decode_rate = self._rates()
        delays_s = []
        if self._prefill_queue:
            delays_s.append(self._remaining_prefill_tokens / prefill_rate)
        finish_at = self._next_finish()
        if finish_at is not None and decode_rate:
            delays_s.append((finish_at - self._decoded_tokens) / decode_rate)
        if delays_s:
            self._clock.after(max(min(delays_s), 0.0), self._on_wake_up, self._wake_up_generation)

    def _next_finish(self) -> float | None:
        while self._finish_heap:
            finish_at, _, job = self._finish_heap[0]
            if self._decoding.get(job) == finish_at:
                return finish_at
            heapq.heappop(self._finish_heap)
        return None

    def _on_wake_up(self, generation: int) -> None:
        if generation != self._wake_up_generation:
            return
        self._advance()
        if self._prefill_queue and self._remaining_prefill_tokens <= 1e-6:
            self._end_prefill()
        while self.is_up and (finish_at := self._next_finish()) is not None:
            if finish_at - self._decoded_tokens > 1e-6:
                break
            job = heapq.heappop(self._finish_heap)[2]
            del self._decoding[job]
            self._callbacks.done(job)
        if self.is_up:
            self._fill_batch()
            self._schedule_wake_up()

    def _fill_batch(self) -> None:
        while self._queue and len(self._prefill_queue) + len(self._decoding) < self.spec.max_batch:
            self._prefill_queue.append(self._queue.popleft())
            if len(self._prefill_queue) == 1:
                self._start_prefill()

    def _start_prefill(self) -> None:
        if not self._prefill_queue:
            return
        job = self._prefill_queue[0]
        cached = self._count_cached_prefix_blocks(job)
        job.cached_tokens = min(cached * BLOCK_TOKENS, job.prompt_tokens - 1)
        self._remaining_prefill_tokens = float(job.prompt_tokens - job.cached_tokens)
        held_elsewhere = 0
        for block in job.blocks[cached:]:
            if not self._block_holders.holders.get(block):
                break
            held_elsewhere += 1
        job.repeated_tokens = min(
            held_elsewhere * BLOCK_TOKENS, int(self._remaining_prefill_tokens)
        )

    def _count_cached_prefix_blocks(self, job: Job) -> int:
        cached = 0
        for block in job.blocks:
            if block not in self._cache:
                break
            cached += 1
        return cached

    def _end_prefill(self) -> None:
        job = self._prefill_queue.popleft()
        if job.is_poison:
            self._prefill_queue.appendleft(job)
            self.crash()
            return
        self._store_blocks(job.blocks)
        finish_at = self._decoded_tokens + job.output_tokens
        self._decoding[job] = finish_at
        heapq.heappush(self._finish_heap, (finish_at, job.number, job))
        self._start_prefill()
        self._callbacks.first_token(job)

    def _store_blocks(self, blocks: tuple[BlockHash, ...]) -> None:
        stored = []
        for block in reversed(blocks):
            if block in self._cache:
                self._cache.move_to_end(block)
                continue
            self._cache[block] = None
            self._block_holders.add(block)
            stored.append(block)
        evicted = []
        while len(self._cache) * BLOCK_TOKENS > self.spec.cache_tokens:
            block, _ = self._cache.popitem(last=False)
            self._block_holders.drop(block)
            evicted.append(block)
        self._cache_sequence += 1
        name = self.spec.name
        event = CacheEvent(UpstreamId(name), self._cache_sequence, tuple(stored), tuple(evicted))
        self._callbacks.cache_event(self.index, event)
