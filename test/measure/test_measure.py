from dataclasses import replace

import pytest

from lentilchute.ids import BlockHash
from lentilchute.measure.bounds import compute_work, max_fluid_work, top_tier_bound
from lentilchute.measure.cases import find_case
from lentilchute.measure.clock import VirtualClock
from lentilchute.measure.fake_engine import (
    BlockHolderCounter,
    EngineCallbacks,
    EngineSpec,
    FakeEngine,
)
from lentilchute.measure.job import Job
from lentilchute.measure.run_metrics import RunMetrics, compute_metrics
from lentilchute.measure.simulation import Simulation
from lentilchute.measure.variants import create_router
from lentilchute.scheduler.tickets import CacheEvent

SPEC = EngineSpec("e0", 1_000.0, 0.02, 2, 64 * 4, "gen")


class EngineHarness:
    """A fake engine on a virtual clock; records when requests get a first token and end."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.first_token_times: dict[int, float] = {}
        self.end_times: dict[int, float] = {}
        self.crashed: list[int] = []
        callbacks = EngineCallbacks(self._first, self._done, self._crash, self._event)
        self.engine = FakeEngine(0, SPEC, self.clock, BlockHolderCounter(), callbacks)

    def _first(self, job: Job) -> None:
        self.first_token_times[job.number] = self.clock.now_s

    def _done(self, job: Job) -> None:
        self.end_times[job.number] = self.clock.now_s

    def _crash(self, job: Job) -> None:
        self.crashed.append(job.number)

    def _event(self, engine: int, event: CacheEvent) -> None:
        pass


def job(number: int, prompt: int = 500, output: int = 50, blocks: int = 0) -> Job:
    hashes = tuple(BlockHash(block) for block in range(blocks))
    return Job(number, 0, 0, 0.0, 60.0, prompt, output, output, hashes)


def test_a_single_request_is_prefilled_then_decoded() -> None:
    harness = EngineHarness()
    harness.engine.admit(job(1))
    harness.clock.run(10.0)
    assert harness.first_token_times[1] == pytest.approx(0.5)
    assert harness.end_times[1] == pytest.approx(0.5 + 50 * 0.02)


def test_a_full_batch_makes_the_next_request_wait() -> None:
    harness = EngineHarness()
    for number in range(3):
        harness.engine.admit(job(number, prompt=10))
    harness.clock.run(10.0)
    assert harness.first_token_times[2] > min(harness.end_times.values())


def test_a_cached_prefix_is_not_prefilled_again() -> None:
    harness = EngineHarness()
    first, second = job(1, prompt=256, blocks=4), job(2, prompt=256, blocks=4)
    harness.engine.admit(first)
    harness.engine.admit(second)
    harness.clock.run(10.0)
    assert first.prefilled_tokens == pytest.approx(256)
    assert second.prefilled_tokens == pytest.approx(1)


def test_a_crash_loses_requests_in_flight() -> None:
    harness = EngineHarness()
    harness.engine.admit(job(1))
    harness.clock.run(0.1)
    harness.engine.crash()
    assert harness.crashed == [1]
    assert not harness.engine.admit(job(2))


def test_the_fluid_bound_counts_only_work_done_before_deadlines() -> None:
    # Each of the 4 requests needs 1 s of prefill, and the shared deadline is after 2.5 s.
    jobs = [replace(job(number, prompt=1_000, output=0), deadline_s=2.5) for number in range(4)]
    work = compute_work(jobs, [SPEC])
    assert max_fluid_work(jobs, work) == pytest.approx(2.5)
    assert top_tier_bound(jobs, [SPEC]) == pytest.approx(2.5)


def run_small(variant: str) -> RunMetrics:
    case = replace(find_case("burst"), load=((0.0, 3.0),), arrivals_s=4.0)
    simulation = Simulation(case, 7, create_router(variant, 7))
    simulation.run()
    assert not any(request.is_open for request in simulation.jobs)
    return compute_metrics(simulation, 0.0)


def test_runs_with_the_same_seed_are_identical() -> None:
    assert run_small("policy") == run_small("policy")


def test_the_policy_keeps_the_top_tier_through_a_small_burst() -> None:
    assert run_small("policy").top_of_bound >= 0.99
    assert run_small("policy").inversions == 0
