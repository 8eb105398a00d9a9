"""Baseline routers: each entry sends a request at once, first come, first served."""

import random
from collections.abc import Callable

from ..scheduler.tickets import CacheEvent, LoadReport
from .job import Job
from .world import ENTRY_COUNT, REPORT_INTERVAL_S, World

Chooser = Callable[["DirectRouter", Job], list[int]]
"""Returns listed engines in the order in which an entry tries them."""


class DirectRouter:
    """Sends each request to an engine by the last load reports or in turn."""

    def __init__(self, chooser: Chooser, seed: int) -> None:
        self._chooser = chooser
        self.rng = random.Random(seed + 2_000)
        self.listed: list[int] = []
        self.turns = [0] * ENTRY_COUNT
        self.reported: dict[int, int] = {}

    def start(self, world: World) -> None:
        """Begin a run; the load reports of all engines come at once, with their lag."""
        self._world = world
        self.listed = list(range(len(world.engines)))
        self.reported = dict.fromkeys(self.listed, 0)
        world.clock.after(REPORT_INTERVAL_S, self._report)

    def _report(self) -> None:
        world = self._world
        for engine in world.engines:
            if engine.is_up:
                report = engine.load_report()
                world.clock.after(world.case.report_lag_s, self._learn, engine.index, report)
        world.clock.after(REPORT_INTERVAL_S, self._report)

    def _learn(self, engine: int, report: LoadReport) -> None:
        self.reported[engine] = report.running + report.waiting

    def arrive(self, job: Job) -> None:
        """Send a request to the first engine that accepts a connection."""
        for engine in self._chooser(self, job):
            if self._world.dispatch(job, engine):
                return
        self._world.refuse(job, 1.0)

    def list_changed(self, engine: int, is_listed: bool) -> None:
        """Follow the platform's list."""
        if is_listed:
            self.listed.append(engine)
            self.reported[engine] = 0
        elif engine in self.listed:
            self.listed.remove(engine)

    def gave_up(self, job: Job) -> None:
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
    turn = router.turns[job.entry]
    router.turns[job.entry] += 1
    count = len(router.listed)
    return [router.listed[(turn + step) % count] for step in range(count)]


def least_load(router: DirectRouter, job: Job) -> list[int]:
    """Take the engine with the least reported load; equals in random order."""
    shuffled = router.rng.sample(router.listed, len(router.listed))
    return sorted(shuffled, key=router.reported.__getitem__)


def two_choices(router: DirectRouter, job: Job) -> list[int]:
    """Take the less loaded of two random engines, by their reports."""
    shuffled = router.rng.sample(router.listed, len(router.listed))
    return sorted(shuffled[:2], key=router.reported.__getitem__) + shuffled[2:]
