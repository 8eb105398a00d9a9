"""Runs simulations, optionally in several worker processes."""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from .cases import find_case
from .run_metrics import RunMetrics, compute_metrics
from .scheduled_router import ScheduledRouter
from .simulation import Simulation
from .variants import create_router


@dataclass(frozen=True, slots=True)
class RunKey:
    """Identifies a run by its case, variant and seed."""

    case: str
    variant: str
    seed: int


def simulate(key: RunKey) -> RunMetrics:
    """Run one simulation and return its metrics."""
    router = create_router(key.variant, key.seed)
    simulation = Simulation(find_case(key.case), key.seed, router)
    simulation.run()
    decision_us = 0.0
    if isinstance(router, ScheduledRouter):
        decision_us = 1e6 * router.decision_s / max(router.call_count, 1)
    return compute_metrics(simulation, decision_us)


def simulate_all(keys: Sequence[RunKey], jobs: int) -> dict[RunKey, RunMetrics]:
    """Run all simulations in ``jobs`` processes.

    Of the metrics, only the decision time depends on the number of processes.
    """
    if jobs == 1:
        return {key: simulate(key) for key in keys}
    with ProcessPoolExecutor(jobs) as pool:
        return dict(zip(keys, pool.map(simulate, keys), strict=True))
