"""Simulation of request processing in an engine: batching, prefill, decoding and kept streams."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio
import xxhash

from ..ids import BlockHash
from .engine_cache import PrefixCache
from .engine_settings import EngineControl, EngineStandinSettings

WORK_SLICE_S = 0.25
"""Longest sleep between two checks of the switches."""


class GenerationState(Enum):
    """Processing state of a request."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODING = "decoding"
    DONE = "done"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A completion request, parsed from its headers and body."""

    request_id: str
    prompt: bytes
    prompt_tokens: int
    hashes: tuple[BlockHash, ...]
    output_tokens: int
    is_streamed: bool
    is_chat: bool


@dataclass(slots=True, eq=False)
class Generation:
    """A request in the engine, with the tokens generated so far."""

    request: GenerationRequest
    state: GenerationState = GenerationState.WAITING
    tokens: list[str] = field(default_factory=list)
    cached_tokens: int = 0
    changed: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def is_ended(self) -> bool:
        """Whether no more tokens will be generated."""
        return self.state in (GenerationState.DONE, GenerationState.DROPPED)

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()


@dataclass(slots=True)
class EngineRecord:
    """What the engine received and ran since its process started; survives simulated crashes."""

    received: list[str] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    completed: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    resumed: list[str] = field(default_factory=list)
    received_while_leaving: list[str] = field(default_factory=list)
    orders: list[int] = field(default_factory=list)
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The engine's reported load."""

    running: int
    waiting: int
    outstanding_prompt_tokens: int


def answer_token(prompt: bytes, number: int) -> str:
    """Return the token at index ``number`` of the answer to a prompt."""
    return f"{xxhash.xxh32_hexdigest(prompt, seed=number)} "


def answer_text(prompt: bytes, output_tokens: int) -> str:
    """Return the complete answer to a prompt, as tests expect it."""
    return "".join(answer_token(prompt, number) for number in range(output_tokens))


class BatchSimulator:
    """Simulates an engine with continuous batching, timed by trio's clock."""

    def __init__(
        self, settings: EngineStandinSettings, crash: Callable[[], None], record: EngineRecord
    ) -> None:
        self._settings = settings
        self._crash = crash
        self.record = record
        self.control = EngineControl()
        self._rng = random.Random(settings.seed)
        self.thawed = trio.Event()
        self.thawed.set()
        self.reset()

    def reset(self) -> None:
        """Discard all requests and the cache, as a crash does."""
        max_blocks = self._settings.cache_tokens // self._settings.block_tokens
        self.cache = PrefixCache(max_blocks, self._rng)
        self.generations: dict[str, Generation] = {}
        self._slots = trio.Semaphore(self._settings.max_batch)
        self._prefill = trio.StrictFIFOLock()
        self._load_history: list[tuple[float, LoadReport]] = []

    def accept(self, request: GenerationRequest, tasks: trio.Nursery) -> Generation:
        """Start a request; one with a duplicate id runs as well and appears in the record."""
        generation = Generation(request)
        self.record.received.append(request.request_id)
        if self.control.leaving:
            self.record.received_while_leaving.append(request.request_id)
        self.generations[request.request_id] = generation
        tasks.start_soon(self._run, generation)
        return generation

    def drop(self, generation: Generation) -> None:
        """Stop a request; its stream is aborted."""
        if not generation.is_ended:
            generation.state = GenerationState.DROPPED
            generation.scope.cancel()
            generation.notify()
            self._record_load()

    def load(self) -> LoadReport:
        """Return the load as it was ``load_lag_s`` ago."""
        until_s = trio.current_time() - self._settings.load_lag_s
        seen = [report for time_s, report in self._load_history if time_s <= until_s]
        return seen[-1] if seen else LoadReport(0, 0, 0)

    async def simulate_work(self, duration_s: float) -> None:
        """Sleep as long as work of ``duration_s`` takes with the current switches."""
        remaining_s = duration_s
        while remaining_s > 0:
            slice_s = min(remaining_s, WORK_SLICE_S)
            await trio.sleep(slice_s * self.control.slow_factor)
            await self.thawed.wait()
            remaining_s -= slice_s

    async def _run(self, generation: Generation) -> None:
        self._record_load()
        with generation.scope:
            async with self._slots:
                await self._generate(generation)
        self._record_load()
        generation.notify()
        await trio.sleep(self._settings.kept_stream_s)
        if self.generations.get(generation.request.request_id) is generation:
            del self.generations[generation.request.request_id]

    async def _generate(self, generation: Generation) -> None:
        request = generation.request
        self.record.ran.append(request.request_id)
        generation.state = GenerationState.PREFILL
        self._record_load()
        marker = self.control.poison_marker.encode()
        if marker and marker in request.prompt:
            self._crash()
            await trio.sleep_forever()
        await self._prefill_prompt(generation)
        generation.state = GenerationState.DECODING
        self._record_load()
        for number in range(request.output_tokens):
            await self.simulate_work(1.0 / self._settings.decode_tokens_per_s)
            generation.tokens.append(answer_token(request.prompt, number))
            generation.notify()
        generation.state = GenerationState.DONE
        self.record.completed.append(request.request_id)

    async def _prefill_prompt(self, generation: Generation) -> None:
        request = generation.request
        async with self._prefill:
            cached_blocks = self.cache.cached_blocks(request.hashes)
            generation.cached_tokens = cached_blocks * self._settings.block_tokens
            tokens = request.prompt_tokens - generation.cached_tokens
            self.record.prefilled_tokens += tokens
            self.record.cached_tokens += generation.cached_tokens
            await self.simulate_work(tokens / self._settings.prefill_tokens_per_s)
            self.cache.store(request.hashes, trio.current_time())

    def _record_load(self) -> None:
        states = [generation.state for generation in self.generations.values()]
        before_decoding = (GenerationState.WAITING, GenerationState.PREFILL)
        report = LoadReport(
            running=states.count(GenerationState.PREFILL) + states.count(GenerationState.DECODING),
            waiting=states.count(GenerationState.WAITING),
            outstanding_prompt_tokens=sum(
                generation.request.prompt_tokens
                for generation in self.generations.values()
                if generation.state in before_decoding
            ),
        )
        self._load_history.append((trio.current_time(), report))
        del self._load_history[:-1_000]
