"""A fake model engine: continuous batching with chunked prefill, in virtual time.

A step decodes one token for each running stream. While a prompt waits for prefill, each step also
takes a chunk of it, which makes the step longer. Prompts are prefilled one after another in the
order in which they came; the engine knows no priorities.
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
"""Time of a prefill chunk in a step, as a part of the time of the step's decoding."""

MIXED_PREFILL = CHUNK_SHARE / (1 + CHUNK_SHARE)
"""Part of an engine's time that goes to prefill while it also decodes."""


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed and size of one engine."""

    name: str
    prefill_tokens_per_s: float
    step_s: float
    """Time of a step that only decodes."""
    max_batch: int
    cache_tokens: int
    hardware: str


class BlockCensus:
    """How many engines hold each block, to tell which prefill repeats another engine's."""

    def __init__(self) -> None:
        self.holders: dict[BlockHash, int] = {}

    def add(self, block: BlockHash) -> None:
        """Count one more holder."""
        self.holders[block] = self.holders.get(block, 0) + 1

    def drop(self, block: BlockHash) -> None:
        """Count one holder less."""
        self.holders[block] -= 1


@dataclass(frozen=True, slots=True)
class EngineEvents:
    """Calls that an engine makes."""

    first_token: Callable[[Job], None]
    done: Callable[[Job], None]
    crashed: Callable[[Job], None]
    cache_event: Callable[[int, CacheEvent], None]


class FakeEngine:
    """One engine; ``admit`` takes every request while it is up."""

    def __init__(
        self,
        index: int,
        spec: EngineSpec,
        clock: VirtualClock,
        census: BlockCensus,
        events: EngineEvents,
    ) -> None:
        self.index = index
        self.spec = spec
        self.is_up = True
        self.slowdown = 1.0
        self._clock = clock
        self._census = census
        self._events = events
        self._queue: deque[Job] = deque()
        self._prefill: deque[Job] = deque()
        self._prefill_left = 0.0
        self._decoding: dict[Job, float] = {}
        self._finish: list[tuple[float, int, Job]] = []
        self._decoded = 0.0
        self._updated_s = 0.0
        self._wake = 0
        self._cache: OrderedDict[BlockHash, None] = OrderedDict()
        self._cache_sequence = 0

    # What the outside may do

    def admit(self, job: Job) -> bool:
        """Take a request; false when the engine is down, as a refused connection shows."""
        if not self.is_up:
            return False
        self._advance()
        job.engine = self.index
        job.engine_class = self.spec.hardware
        job.started_s = self._clock.now_s
        job.ran_on.append(self.index)
        self._queue.append(job)
        self._fill_batch()
        self._plan()
        return True

    def cancel(self, job: Job) -> None:
        """Drop a request."""
        self._advance()
        if job in self._decoding:
            del self._decoding[job]
        elif job in self._queue:
            self._queue.remove(job)
        elif job in self._prefill:
            was_first = self._prefill[0] is job
            self._prefill.remove(job)
            if was_first:
                self._start_prefill()
        self._fill_batch()
        self._plan()

    def crash(self) -> None:
        """Lose everything in flight and the cache; connections are refused from now on."""
        self._advance()
        lost = [*self._queue, *self._prefill, *self._decoding]
        self._queue.clear()
        self._prefill.clear()
        self._decoding.clear()
        for block in self._cache:
            self._census.drop(block)
        self._cache.clear()
        self.is_up = False
        self._wake += 1
        for job in lost:
            self._events.crashed(job)

    def restart(self) -> None:
        """Come up with an empty cache."""
        self.is_up = True
        self._updated_s = self._clock.now_s

    def set_slowdown(self, factor: float) -> None:
        """Take ``factor`` times as long for everything from now on."""
        self._advance()
        self.slowdown = factor
        self._plan()

    def output_so_far(self, job: Job) -> int:
        """Return how many tokens of a request's answer exist."""
        self._advance()
        target = self._decoding.get(job)
        if target is None:
            return 0
        return max(1, int(job.output_tokens - (target - self._decoded)))

    def load_report(self) -> LoadReport:
        """Describe the load as it is now."""
        waiting = len(self._queue)
        tokens = sum(job.prompt_tokens for job in self._queue)
        tokens += sum(job.prompt_tokens for job in self._prefill)
        running = len(self._prefill) + len(self._decoding)
        return LoadReport(UpstreamId(self.spec.name), running, waiting, tokens, 0.0)

    # How time passes

    def _rates(self) -> tuple[float, float]:
        """Return prefill tokens a second, and decoded tokens a second of each stream."""
        spec = self.spec
        scale = 1.0 / self.slowdown
        if not self._prefill:
            return 0.0, scale / spec.step_s
        if not self._decoding:
            return scale * spec.prefill_tokens_per_s, 0.0
        prefill = scale * spec.prefill_tokens_per_s * MIXED_PREFILL
        return prefill, scale * (1 - MIXED_PREFILL) / spec.step_s

    def _advance(self) -> None:
        elapsed_s = self._clock.now_s - self._updated_s
        self._updated_s = self._clock.now_s
        if elapsed_s <= 0:
            return
        prefill, decode = self._rates()
        if self._prefill:
            done = min(self._prefill_left, elapsed_s * prefill)
            self._prefill_left -= done
            self._prefill[0].prefilled_tokens += done
        self._decoded += elapsed_s * decode

    def _plan(self) -> None:
        self._wake += 1
        prefill, decode = self._rates()
        delays_s = []
        if self._prefill:
            delays_s.append(self._prefill_left / prefill)
        target = self._next_finish()
        if target is not None and decode:
            delays_s.append((target - self._decoded) / decode)
        if delays_s:
            self._clock.after(max(min(delays_s), 0.0), self._on_wake, self._wake)

    def _next_finish(self) -> float | None:
        while self._finish:
            target, _, job = self._finish[0]
            if self._decoding.get(job) == target:
                return target
            heapq.heappop(self._finish)
        return None

    def _on_wake(self, wake: int) -> None:
        if wake != self._wake:
            return
        self._advance()
        if self._prefill and self._prefill_left <= 1e-6:
            self._end_prefill()
        while self.is_up and (target := self._next_finish()) is not None:
            if target - self._decoded > 1e-6:
                break
            job = heapq.heappop(self._finish)[2]
            del self._decoding[job]
            self._events.done(job)
        if self.is_up:
            self._fill_batch()
            self._plan()

    def _fill_batch(self) -> None:
        while self._queue and len(self._prefill) + len(self._decoding) < self.spec.max_batch:
            self._prefill.append(self._queue.popleft())
            if len(self._prefill) == 1:
                self._start_prefill()

    def _start_prefill(self) -> None:
        if not self._prefill:
            return
        job = self._prefill[0]
        held = self._held_blocks(job)
        job.cached_tokens = min(held * BLOCK_TOKENS, job.prompt_tokens - 1)
        self._prefill_left = float(job.prompt_tokens - job.cached_tokens)
        elsewhere = 0
        for block in job.blocks[held:]:
            if not self._census.holders.get(block):
                break
            elsewhere += 1
        job.repeated_tokens = min(elsewhere * BLOCK_TOKENS, int(self._prefill_left))

    def _held_blocks(self, job: Job) -> int:
        held = 0
        for block in job.blocks:
            if block not in self._cache:
                break
            held += 1
        return held

    def _end_prefill(self) -> None:
        job = self._prefill.popleft()
        if job.is_poison:
            self._prefill.appendleft(job)
            self.crash()
            return
        self._store(job.blocks)
        target = self._decoded + job.output_tokens
        self._decoding[job] = target
        heapq.heappush(self._finish, (target, job.number, job))
        self._start_prefill()
        self._events.first_token(job)

    def _store(self, blocks: tuple[BlockHash, ...]) -> None:
        stored = []
        for block in reversed(blocks):
            if block in self._cache:
                self._cache.move_to_end(block)
                continue
            self._cache[block] = None
            self._census.add(block)
            stored.append(block)
        evicted = []
        while len(self._cache) * BLOCK_TOKENS > self.spec.cache_tokens:
            block, _ = self._cache.popitem(last=False)
            self._census.drop(block)
            evicted.append(block)
        self._cache_sequence += 1
        name = self.spec.name
        event = CacheEvent(UpstreamId(name), self._cache_sequence, tuple(stored), tuple(evicted))
        self._events.cache_event(self.index, event)
