"""Baseline routers: each entry sends a request at once, first come, first served."""

import random
from collections.abc import Callable

from ..scheduler.tickets import CacheEvent, LoadReport
from .job import Job
from .simulation import ENTRY_COUNT, REPORT_INTERVAL_S, Simulation

Chooser = Callable[["DirectRouter", Job], list[int]]
"""Returns listed engines in the order in which an entry tries them."""


class DirectRouter:
    """Sends each request to an engine by the last load reports or in turn."""

    def __init__(self, chooser: Chooser, seed: int) -> None:
        self._chooser = chooser
        self.rng = random.Random(seed + 2_000)
        self.listed: list[int] = []
        self.next_turns = [0] * ENTRY_COUNT
        self.reported_loads: dict[int, int] = {}

    def start(self, simulation: Simulation) -> None:
        """Begin a run; the load reports of all engines come at once, with their lag."""
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
        """Send a request to the first engine that accepts a connection."""
        for engine in self._chooser(self, job):
            if self._simulation.dispatch(job, engine):
                return
        self._simulation.refuse(job, 1.0)

    def list_changed(self, engine: int, is_listed: bool) -> None:
        """Follow the platform's list."""
        if is_listed:
            self.listed.append(engine)
            self.reported_loads[engine] = 0
        elif engine in self.listed:
            self.listed.remove(engine)

    def timed_out(self, job: Job) -> None:
        """Nothing is kept about requests."""

    def first_token(self, job: Job) -> None:
        """Nothing is kept about requests."""

    def ended(self, job: Job) -> None:
        """Nothing is kept about requests."""

    def node_killed(self, lost: list[Job]) -> None:
        """The other entries go on as before."""

    def cache_event(self, engine: int, event: CacheEvent) -> None:
        """Cache events are not used."""


def round_robin(router: DirectRouter, job: Job) -> list[int]:
    """Take engines in turn; each entry counts on its own."""
    turn = router.next_turns[job.entry]
    router.next_turns[job.entry] += 1
    count = len(router.listed)
    return [router.listed[(turn + step) % count] for step in range(count)]


def least_load(router: DirectRouter, job: Job) -> list[int]:
    """Take the engine with the least reported load; equals in random order."""
    shuffled = router.rng.sample(router.listed, len(router.listed))
    return sorted(shuffled, key=router.reported_loads.__getitem__)


def two_choices(router: DirectRouter, job: Job) -> list[int]:
    """Take the less loaded of two random engines, by their reports."""
    shuffled = router.rng.sample(router.listed, len(router.listed))
    return sorted(shuffled[:2], key=router.reported_loads.__getitem__) + shuffled[2:]
