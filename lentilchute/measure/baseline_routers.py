"""Baseline routers, which dispatch each request on arrival without queueing at the entry."""

import random
from collections.abc import Callable

from ..scheduler.tickets import CacheEvent, LoadReport
from .job import Job
from .simulation import ENTRY_COUNT, REPORT_INTERVAL_S, Simulation

Chooser = Callable[["DirectRouter", Job], list[int]]
"""Returns listed engines in the order in which the entry tries them."""


class DirectRouter:
    """Dispatches each request directly to an engine that a ``Chooser`` selects."""

    def __init__(self, chooser: Chooser, seed: int) -> None:
        self._chooser = chooser
        self.rng = random.Random(seed + 2_000)
        self.listed: list[int] = []
        self.next_turns = [0] * ENTRY_COUNT
        self.reported_loads: dict[int, int] = {}

    def start(self, simulation: Simulation) -> None:
        """Start a run; all engines report their load at the same time, with the case's lag."""
        self._simulation = simulation
        self.listed = list(range(len(simulation.engines)))
        self.reported_loads = dict.fromkeys(self.listed, 0)
        simulation.clock.after(REPORT_INTERVAL_S, self._report)

    def _report(self) -> None:
        simulation = self._simulation
        for engine in simulation.engines:
            if engine.is_up:
                report = engine.load_report()
                simulation.clock.after(
                    simulation.case.report_lag_s, self._record_load, engine.index, report
                )
        simulation.clock.after(REPORT_INTERVAL_S, self._report)

    def _record_load(self, engine: int, report: LoadReport) -> None:
        self.reported_loads[engine] = report.running + report.waiting

    def arrive(self, job: Job) -> None:
        """Dispatch a request to the first chosen engine that accepts the connection."""
        for engine in self._chooser(self, job):
            if self._simulation.dispatch(job, engine):
                return
        self._simulation.refuse(job, 1.0)

    def list_changed(self, engine: int, is_listed: bool) -> None:
        """Add or remove an engine when the platform's listing changes."""
        if is_listed:
            self.listed.append(engine)
            self.reported_loads[engine] = 0
        elif engine in self.listed:
            self.listed.remove(engine)

    def timed_out(self, job: Job) -> None:
        """Do nothing; the router has no state per request."""

    def first_token(self, job: Job) -> None:
        """Do nothing; the router has no state per request."""

    def ended(self, job: Job) -> None:
        """Do nothing; the router has no state per request."""

    def node_killed(self, lost: list[Job]) -> None:
        """Do nothing; the other entries are not affected."""

    def cache_event(self, engine: int, event: CacheEvent) -> None:
        """Do nothing; baselines ignore cache events."""


def round_robin(router: DirectRouter, job: Job) -> list[int]:
    """Choose engines in rotation; each entry has its own counter."""
    turn = router.next_turns[job.entry]
    router.next_turns[job.entry] += 1
    count = len(router.listed)
    return [router.listed[(turn + step) % count] for step in range(count)]


def least_load(router: DirectRouter, job: Job) -> list[int]:
    """Choose the engine with the least reported load; ties are broken at random."""
    shuffled = router.rng.sample(router.listed, len(router.listed))
    return sorted(shuffled, key=router.reported_loads.__getitem__)


def two_choices(router: DirectRouter, job: Job) -> list[int]:
    """Choose the engine with the lower reported load out of two random engines."""
    shuffled = router.rng.sample(router.listed, len(router.listed))
    return sorted(shuffled[:2], key=router.reported_loads.__getitem__) + shuffled[2:]
