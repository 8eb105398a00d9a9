"""Tests of the engine stand-in's timing, batching and prefix cache, in virtual time."""

import random
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from lentilchute.ids import BlockHash
from lentilchute.standins.engine_batching import (
    BatchSimulator,
    EngineRecord,
    GenerationRequest,
    answer_text,
)
from lentilchute.standins.engine_cache import PrefixCache
from lentilchute.standins.engine_settings import EngineControl, EngineStandinSettings

SETTINGS = EngineStandinSettings(
    prefill_tokens_per_s=100, decode_tokens_per_s=10, max_batch=2, cache_tokens=256, load_lag_s=5
)
HASHES = (BlockHash(1), BlockHash(2))
PROMPT_TOKENS = 200


def request(number: int, hashes: tuple[BlockHash, ...] = ()) -> GenerationRequest:
    return GenerationRequest(f"e.1/{number}", b"prompt", PROMPT_TOKENS, hashes, 10, True, True)


def simulate(test: Callable[[BatchSimulator, trio.Nursery], Awaitable[None]]) -> None:
    async def main() -> None:
        async with trio.open_nursery() as tasks:
            await test(BatchSimulator(SETTINGS, lambda: None, EngineRecord()), tasks)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_prefill_is_serial_decoding_is_shared_and_a_cached_prefix_is_skipped() -> None:
    async def test(simulator: BatchSimulator, tasks: trio.Nursery) -> None:
        first = simulator.accept(request(1, HASHES), tasks)
        await trio.testing.wait_all_tasks_blocked()
        second = simulator.accept(request(2, HASHES), tasks)
        await trio.sleep(3.01)
        assert first.is_ended and "".join(first.tokens) == answer_text(b"prompt", 10)
        # 128 of the second prompt's 200 tokens are cached, so its prefill takes 0.72 s after the
        # first one's 2 s.
        assert second.cached_tokens == 128 and len(second.tokens) == 2
        await trio.sleep(0.72)
        assert second.is_ended

    simulate(test)


def test_the_batch_is_bounded_and_others_wait_in_order() -> None:
    async def test(simulator: BatchSimulator, tasks: trio.Nursery) -> None:
        for number in (1, 2, 3):
            simulator.accept(request(number), tasks)
            await trio.testing.wait_all_tasks_blocked()
        assert simulator.record.ran == ["e.1/1", "e.1/2"]
        assert simulator.load().waiting == 0
        await trio.sleep(2.9)
        assert simulator.record.ran == ["e.1/1", "e.1/2"]
        await trio.sleep(2.2)
        # The load report lags by 5 seconds.
        assert (simulator.load().running, simulator.load().waiting) == (2, 1)
        assert simulator.load().outstanding_prompt_tokens == 3 * PROMPT_TOKENS
        assert simulator.record.ran == ["e.1/1", "e.1/2", "e.1/3"]

    simulate(test)


def test_slow_factor_and_freeze_affect_work_in_progress() -> None:
    async def test(simulator: BatchSimulator, tasks: trio.Nursery) -> None:
        slow = simulator.accept(request(1), tasks)
        await trio.sleep(1.0)
        simulator.control = EngineControl(slow_factor=4.0)
        await trio.sleep(4.5)
        assert len(slow.tokens) == 1
        simulator.thawed = trio.Event()
        await trio.sleep(100)
        assert len(slow.tokens) == 1
        simulator.thawed.set()
        await trio.sleep(9 * 0.4 + 0.1)
        assert slow.is_ended

    simulate(test)


def test_the_cache_evicts_the_end_of_the_least_recently_used_prefix_and_logs_it() -> None:
    cache = PrefixCache(3, random.Random(0))
    cache.store(HASHES, 1.0)
    cache.store((BlockHash(7), BlockHash(8)), 2.0)
    assert cache.cached_blocks(HASHES) == 1
    events = cache.events(after=1, until_s=2.0, gap_share=0.0)
    assert [(one.sequence, one.stored, one.evicted) for one in events] == [(2, (7, 8), (2,))]
    assert cache.events(after=0, until_s=1.5, gap_share=0.0)[-1].sequence == 1
    assert cache.events(after=0, until_s=9.0, gap_share=1.0) == []
