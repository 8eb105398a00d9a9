"""Metrics of a simulated run and their targets."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from .bounds import compute_work, max_fluid_work, top_tier_bound
from .cases import Case, FaultKind
from .fake_engine import MIXED_PREFILL
from .job import Job, JobState
from .simulation import Simulation

FIRST_TOKEN_TARGET_S = 1.8
TOKEN_GAP_TARGET_S = 0.05
SHARE_WINDOW_S = 5.0
"""Window over which an engine's share of the dispatches is counted."""

TOP_TIER_TARGET = 0.99
TOTAL_TARGET = 0.90
WASTE_TARGET = 0.03
PERCENTILE_TARGET = 0.95
SHARE_CUT_TARGET_S = 5.0
SMALL_ACCOUNT_TARGET = 0.95
OVERLOAD_FACTOR = 3.0
"""Load, relative to the fleet's capacity, from which ``overload_work`` is measured."""


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """Metrics of one run; ``None`` where a metric does not apply to the case."""

    tier_goodput: tuple[float, ...]
    """Fraction of each tier's offered requests that were answered in time."""
    top_of_bound: float
    """Top-tier requests answered in time, divided by their upper bound."""
    work_of_bound: float
    """Work of the requests answered in time, divided by the fluid bound."""
    overload_work: float | None
    """Useful work completed during an overload, divided by the fleet's capacity in that time."""
    wasted_prefill: float
    """Fraction of prefilled tokens for answers that were not useful or cached by another engine."""
    first_token_in_time: float
    """Fraction of dispatched top-tier requests with a first token in ``FIRST_TOKEN_TARGET_S``.

    Prompts that the fastest engine cannot prefill in that time while it decodes are left out.
    """
    token_gap_in_time: float
    """Fraction of complete top-tier answers with a mean token gap in ``TOKEN_GAP_TARGET_S``."""
    inversions: int
    """Requests that ended without a token although a lower-tier request started meanwhile."""
    share_cut_s: float | None
    """Time from an engine's slowdown until its share of the dispatches has halved."""
    small_accounts: float | None
    """Lowest fraction of requests answered in time among all accounts but the largest."""
    crashes: int
    """Requests that were lost in a crash of their engine."""
    decision_us: float
    """Mean time of a call to the scheduler; 0 for the baselines."""


def compute_metrics(simulation: Simulation, decision_us: float) -> RunMetrics:
    """Compute the metrics of a finished run."""
    case = simulation.case
    offered = offered_jobs(simulation)
    useful = useful_origins(simulation.jobs)
    return RunMetrics(
        tuple(_useful_fraction(offered, useful, tier) for tier in range(4)),
        _top_of_bound(offered, useful, case),
        _work_of_bound(offered, useful, case),
        _overload_work(offered, simulation.jobs, case),
        wasted_prefill(simulation.jobs),
        _first_token_in_time(simulation.jobs, case),
        _token_gap_in_time(simulation.jobs),
        count_inversions(simulation.jobs),
        _share_cut_s(simulation),
        _small_accounts(offered, useful, case),
        sum(1 for job in simulation.jobs if job.state is JobState.ENGINE_CRASHED),
        decision_us,
    )


def offered_jobs(simulation: Simulation) -> list[Job]:
    """Return callers' first tries, except poison requests and those lost with their entry."""
    lost = {job.origin for job in simulation.jobs if job.state is JobState.LOST}
    return [
        job
        for job in simulation.jobs
        if job.tries == 1 and job.origin not in lost and not job.is_poison
    ]


def useful_origins(jobs: Sequence[Job]) -> set[int]:
    """Return the origins of the requests that were answered in time, on any try."""
    return {job.origin for job in jobs if job.is_useful}


def _useful_fraction(offered: Sequence[Job], useful: set[int], tier: int) -> float:
    of_tier = [job for job in offered if job.tier == tier]
    if not of_tier:
        return 1.0
    return sum(1 for job in of_tier if job.origin in useful) / len(of_tier)


def _top_of_bound(offered: Sequence[Job], useful: set[int], case: Case) -> float:
    bound = top_tier_bound(offered, case.specs)
    if not bound:
        return 1.0
    return sum(1 for job in offered if job.tier == 0 and job.origin in useful) / bound


def _work_of_bound(offered: Sequence[Job], useful: set[int], case: Case) -> float:
    work = compute_work(offered, case.specs)
    done = sum(work[job.number] for job in offered if job.origin in useful)
    return done / max_fluid_work(offered, work)


def _overload_work(offered: Sequence[Job], jobs: Sequence[Job], case: Case) -> float | None:
    """Return the useful work completed during an overload, divided by the overload's length.

    Requests that started before the overload and finish in it count in full, which offsets those
    that are still running when it ends and do not count.
    """
    from_s = next((from_s for from_s, fraction in case.load if fraction >= OVERLOAD_FACTOR), None)
    if from_s is None:
        return None
    to_s = next((end_s for end_s, _ in case.load if end_s > from_s), case.arrivals_s)
    work = compute_work(offered, case.specs)
    ended = {job.origin for job in jobs if job.is_useful and from_s <= (job.ended_s or 0) < to_s}
    return sum(work[job.number] for job in offered if job.origin in ended) / (to_s - from_s)


def wasted_prefill(jobs: Sequence[Job]) -> float:
    """Return the wasted fraction of all prefilled prompt tokens."""
    total = sum(job.prefilled_tokens for job in jobs)
    wasted = 0.0
    for job in jobs:
        wasted += job.repeated_tokens if job.is_useful else job.prefilled_tokens
    return wasted / total if total else 0.0


def _first_token_in_time(jobs: Sequence[Job], case: Case) -> float:
    fastest = max(spec.prefill_tokens_per_s for spec in case.specs) * MIXED_PREFILL
    waits = [
        job.first_token_s - job.arrival_s if job.first_token_s is not None else float("inf")
        for job in jobs
        if job.tier == 0
        and job.started_s is not None
        and job.state is not JobState.LOST
        and not job.is_poison
        and job.prompt_tokens / fastest <= FIRST_TOKEN_TARGET_S
    ]
    return _fraction_within(waits, FIRST_TOKEN_TARGET_S)


def _token_gap_in_time(jobs: Sequence[Job]) -> float:
    gaps = [job.token_gap_s for job in jobs if job.tier == 0 and job.state is JobState.DONE]
    return _fraction_within(gaps, TOKEN_GAP_TARGET_S)


def _fraction_within(values: Sequence[float], bound: float) -> float:
    if not values:
        return 1.0
    return sum(1 for value in values if value <= bound) / len(values)


def count_inversions(jobs: Sequence[Job]) -> int:
    """Count requests that ended without a token although a lower-tier request started meanwhile."""
    starts: dict[int, list[float]] = defaultdict(list)
    for job in jobs:
        if job.started_s is not None:
            starts[job.tier].append(job.started_s)
    for times in starts.values():
        times.sort()
    inversions = 0
    for job in jobs:
        shed = job.state in {JobState.REFUSED, JobState.TIMED_OUT} and job.first_token_s is None
        if shed and _lower_started(job, starts):
            inversions += 1
    return inversions


def _lower_started(job: Job, starts: dict[int, list[float]]) -> bool:
    assert job.ended_s is not None
    # Message latency: a start this close to the arrival or the end may have been decided before
    # the arrival or after the end.
    begin_s = job.arrival_s + 0.005
    end_s = job.ended_s - 0.005
    for tier, times in starts.items():
        if tier > job.tier and bisect_right(times, end_s) > bisect_left(times, begin_s):
            return True
    return False


def _share_cut_s(simulation: Simulation) -> float | None:
    slow_faults = [fault for fault in simulation.case.faults if fault.kind is FaultKind.SLOW]
    if not slow_faults:
        return None
    fault = slow_faults[0]
    before = _share(simulation, fault.engine, fault.at_s - 2 * SHARE_WINDOW_S, fault.at_s)
    step_s = 0.25
    for step in range(int((simulation.case.arrivals_s - fault.at_s) / step_s)):
        from_s = fault.at_s + step * step_s
        if _share(simulation, fault.engine, from_s, from_s + SHARE_WINDOW_S) <= before / 2:
            return step * step_s
    return float("inf")


def _share(simulation: Simulation, engine: int, from_s: float, to_s: float) -> float:
    sent = [
        dispatched_engine
        for time_s, dispatched_engine, _ in simulation.dispatches
        if from_s <= time_s < to_s
    ]
    return sent.count(engine) / len(sent) if sent else 0.0


def _small_accounts(offered: Sequence[Job], useful: set[int], case: Case) -> float | None:
    if not case.accounts:
        return None
    fractions = []
    for account, load in enumerate(case.accounts):
        if load == max(case.accounts):
            continue
        account_jobs = [job for job in offered if job.account == account]
        fractions.append(
            sum(1 for job in account_jobs if job.origin in useful) / max(len(account_jobs), 1)
        )
    return min(fractions)


def missed_targets(metrics: RunMetrics, case: Case, best_waste: float) -> list[str]:
    """Return the targets that a run misses; ``best_waste`` is the lowest waste of any baseline."""
    missed = []
    if metrics.top_of_bound < TOP_TIER_TARGET:
        missed.append("top tier")
    if metrics.overload_work is not None and metrics.overload_work < TOTAL_TARGET:
        missed.append("total")
    if metrics.inversions:
        missed.append("inversions")
    if not case.crashes_engines and metrics.wasted_prefill > WASTE_TARGET:
        missed.append("waste")
    if metrics.wasted_prefill > best_waste / 2:
        missed.append("waste of baseline")
    if metrics.first_token_in_time < PERCENTILE_TARGET:
        missed.append("first token")
    if metrics.token_gap_in_time < PERCENTILE_TARGET:
        missed.append("token gap")
    if metrics.share_cut_s is not None and metrics.share_cut_s > SHARE_CUT_TARGET_S:
        missed.append("share cut")
    if metrics.small_accounts is not None and metrics.small_accounts < SMALL_ACCOUNT_TARGET:
        missed.append("small accounts")
    return missed
