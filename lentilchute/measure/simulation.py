"""Simulates callers, entries and fake engines; a router assigns requests to engines."""

import random
from typing import Protocol

from ..scheduler.tickets import CacheEvent
from .cases import Case, Fault, FaultKind
from .clock import VirtualClock
from .fake_engine import BlockHolderCounter, EngineCallbacks, FakeEngine
from .job import Job, JobState
from .workload import RequestSample, RequestSampler, arrivals, mean_work

ENTRY_COUNT = 6
KILLED_ENTRY = 0
LISTING_LAG_S = 3.0
"""Delay until the platform's listing shows that an engine crashed or restarted."""

REPORT_INTERVAL_S = 0.5
CACHE_EVENT_LAG_S = 0.5
DRAIN_S = 95.0
"""Time after the last arrival in which requests can still finish."""

MAX_TRIES = 8
EARLY_RETRY_SHARE = 0.3
"""Share of callers that retry before the retry-after time."""

EARLY_RETRY_FRACTION = 0.2
"""Fraction of the retry-after time after which an early caller retries."""

MAX_POISON_TRIES = 6
POISON_RETRY_DELAY_S = 1.0


class Router(Protocol):
    """Assigns requests to engines; the simulation calls its methods when the events occur."""

    def start(self, simulation: "Simulation") -> None:
        """Start a run."""
        ...

    def arrive(self, job: Job) -> None:
        """Handle a request that arrived at its entry."""
        ...

    def timed_out(self, job: Job) -> None:
        """Handle a request that timed out; it has been cancelled at its engine, if dispatched."""
        ...

    def first_token(self, job: Job) -> None:
        """Handle the first token of an answer."""
        ...

    def ended(self, job: Job) -> None:
        """Handle a dispatched request that completed or whose engine crashed."""
        ...

    def node_killed(self, lost: list[Job]) -> None:
        """Handle the kill of the node of ``KILLED_ENTRY``, whose open requests are lost."""
        ...

    def list_changed(self, engine: int, is_listed: bool) -> None:
        """Handle a change in the platform's listing of engines."""
        ...

    def cache_event(self, engine: int, event: CacheEvent) -> None:
        """Handle a cache event from an engine."""
        ...


class Simulation:
    """One simulated run of a case."""

    def __init__(self, case: Case, seed: int, router: Router) -> None:
        self.case = case
        self.seed = seed
        self.clock = VirtualClock()
        self.rng = random.Random(seed + 1_000)
        self.jobs: list[Job] = []
        self.dispatches: list[tuple[float, int, int]] = []
        """Time, engine and tier of each dispatch, in order."""
        self.entry_is_up = [True] * ENTRY_COUNT
        callbacks = EngineCallbacks(self._first_token, self._done, self._crashed, self._cache_event)
        block_holders = BlockHolderCounter()
        self.engines = [
            FakeEngine(index, spec, self.clock, block_holders, callbacks)
            for index, spec in enumerate(case.specs)
        ]
        self.router = router
        self._next_number = 1_000_000

    def run(self) -> None:
        """Run the case until ``DRAIN_S`` after the last arrival."""
        rate = mean_work(self.case.mix, self.seed).rate_per_s(self.case.specs)
        end_s = self.case.arrivals_s
        offered = arrivals(
            self.case.mix, lambda now_s: rate * self.case.load_at(now_s), end_s, self.seed
        )
        self.router.start(self)
        for job in offered:
            self.clock.at(job.arrival_s, self.arrive, job)
        for fault in self.case.faults:
            self.clock.at(fault.at_s, self._inject_fault, fault)
        self.clock.run(end_s + DRAIN_S)

    # Callers

    def arrive(self, job: Job) -> None:
        """Deliver a request to a random live entry."""
        live = [entry for entry, is_up in enumerate(self.entry_is_up) if is_up]
        job.entry = self.rng.choice(live)
        job.state = JobState.WAITING
        self.jobs.append(job)
        self.clock.at(job.deadline_s, self._on_deadline, job)
        self.router.arrive(job)

    def _on_deadline(self, job: Job) -> None:
        if not job.is_open:
            return
        if job.state is JobState.RUNNING:
            assert job.engine is not None
            self.engines[job.engine].cancel(job)
        self._end(job, JobState.TIMED_OUT)
        self.router.timed_out(job)

    def refuse(self, job: Job, retry_after_s: float) -> None:
        """Refuse a request.

        If the callers of the case retry, this one does so after ``retry_after_s`` or too early.
        """
        self._end(job, JobState.REFUSED)
        if not self.case.callers_retry or job.tries >= MAX_TRIES:
            return
        wait_s = retry_after_s
        if self.rng.random() < EARLY_RETRY_SHARE:
            wait_s *= EARLY_RETRY_FRACTION
        if self.clock.now_s + wait_s < job.deadline_s:
            self.clock.after(wait_s, self._retry, job)

    def _retry(self, job: Job) -> None:
        self._next_number += 1
        retry_job = Job(
            self._next_number,
            job.tier,
            job.account,
            self.clock.now_s,
            job.deadline_s,
            job.prompt_tokens,
            job.output_tokens,
            job.max_output_tokens,
            job.blocks,
            origin=job.origin,
            is_poison=job.is_poison,
            tries=job.tries + 1,
        )
        self.arrive(retry_job)

    def _end(self, job: Job, state: JobState) -> None:
        job.state = state
        job.ended_s = self.clock.now_s

    # Engines

    def dispatch(self, job: Job, engine: int) -> bool:
        """Send a request to an engine; return false if the connection is refused."""
        assert job.state is JobState.WAITING
        job.state = JobState.RUNNING
        if not self.engines[engine].admit(job):
            job.state = JobState.WAITING
            return False
        self.dispatches.append((self.clock.now_s, engine, job.tier))
        return True

    def _first_token(self, job: Job) -> None:
        job.first_token_s = self.clock.now_s
        self.router.first_token(job)

    def _done(self, job: Job) -> None:
        self._end(job, JobState.DONE)
        self.router.ended(job)

    def _crashed(self, job: Job) -> None:
        self._end(job, JobState.ENGINE_CRASHED)
        self.router.ended(job)
        if job.is_poison and job.tries < MAX_POISON_TRIES:
            self.clock.after(POISON_RETRY_DELAY_S, self._retry, job)

    def _cache_event(self, engine: int, event: CacheEvent) -> None:
        if self.rng.random() >= self.case.cache_event_loss:
            self.clock.after(CACHE_EVENT_LAG_S, self.router.cache_event, engine, event)

    # Faults

    def _inject_fault(self, fault: Fault) -> None:
        if fault.kind is FaultKind.SLOW:
            self.engines[fault.engine].set_slowdown(fault.factor)
        elif fault.kind is FaultKind.CRASH:
            self.engines[fault.engine].crash()
            self._schedule_restart(fault.engine, fault.downtime_s)
        elif fault.kind is FaultKind.NODE_KILL:
            self._kill_entry_node()
        else:
            self._send_poison()

    def _schedule_restart(self, engine: int, downtime_s: float) -> None:
        self.clock.after(LISTING_LAG_S, self.router.list_changed, engine, False)
        self.clock.after(downtime_s, self.engines[engine].restart)
        self.clock.after(downtime_s + LISTING_LAG_S, self.router.list_changed, engine, True)

    def _kill_entry_node(self) -> None:
        self.entry_is_up[KILLED_ENTRY] = False
        lost = [job for job in self.jobs if job.is_open and job.entry == KILLED_ENTRY]
        for job in lost:
            if job.state is JobState.RUNNING:
                assert job.engine is not None
                self.engines[job.engine].cancel(job)
            self._end(job, JobState.LOST)
        self.router.node_killed(lost)

    def _send_poison(self) -> None:
        sample: RequestSample = self.case.mix(RequestSampler(self.rng))
        self._next_number += 1
        now_s = self.clock.now_s
        job = Job(
            self._next_number,
            0,
            0,
            now_s,
            now_s + 60.0,
            sample.prompt_tokens,
            sample.output_tokens,
            2 * sample.output_tokens,
            (),
            origin=self._next_number,
            is_poison=True,
        )
        self.arrive(job)
