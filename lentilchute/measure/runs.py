"""Runs cases under variants, on several processes where asked."""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from .cases import case_named
from .figures import Figures, figures_of
from .scheduled import ScheduledRouter
from .variants import router_for
from .world import World


@dataclass(frozen=True, slots=True)
class RunKey:
    """One run: a case, a variant and a seed."""

    case: str
    variant: str
    seed: int


def run_one(key: RunKey) -> Figures:
    """Run a case under a variant with a seed."""
    router = router_for(key.variant, key.seed)
    world = World(case_named(key.case), key.seed, router)
    world.run()
    decision_us = 0.0
    if isinstance(router, ScheduledRouter):
        decision_us = 1e6 * router.decision_s / max(router.calls, 1)
    return figures_of(world, decision_us)


def run_all(keys: Sequence[RunKey], jobs: int) -> dict[RunKey, Figures]:
    """Run everything; the figures do not depend on ``jobs``, but for the time of decisions."""
    if jobs == 1:
        return {key: run_one(key) for key in keys}
    with ProcessPoolExecutor(jobs) as pool:
        return dict(zip(keys, pool.map(run_one, keys), strict=True))
