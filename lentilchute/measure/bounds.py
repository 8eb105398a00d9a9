"""Upper bounds on what any router could have achieved with the same requests.

The bounds model the fleet as one fluid server that works at the sum of the engines' rates, can
split, preempt and resume work at no cost, and reuses every prefix that it has processed before.
"""

import heapq
from collections.abc import Iterable, Sequence

from ..ids import BlockHash
from .fake_engine import EngineSpec
from .job import Job
from .workload import uncached_tokens


def compute_work(jobs: Iterable[Job], specs: Sequence[EngineSpec]) -> dict[int, float]:
    """Return the work of each request in seconds of the full fleet, with ideal prefix reuse."""
    prefill_per_s = sum(spec.prefill_tokens_per_s for spec in specs)
    decode_per_s = sum(spec.max_batch / spec.step_s for spec in specs)
    seen: set[BlockHash] = set()
    work: dict[int, float] = {}
    for job in jobs:
        uncached = uncached_tokens(job.prompt_tokens, job.blocks, seen)
        work[job.number] = uncached / prefill_per_s + job.output_tokens / decode_per_s
    return work


def max_fluid_work(jobs: Sequence[Job], work: dict[int, float]) -> float:
    """Return the maximum work, in fleet seconds, that can be completed before the deadlines.

    Simulates preemptive earliest-deadline-first scheduling, which is optimal here because work that
    is done on a request counts even if the request is not completed.
    """
    queue: list[tuple[float, int, float]] = []
    now_s = 0.0
    done = 0.0
    pending = sorted(jobs, key=lambda job: job.arrival_s)
    position = 0
    while position < len(pending) or queue:
        if not queue:
            now_s = max(now_s, pending[position].arrival_s)
        while position < len(pending) and pending[position].arrival_s <= now_s:
            job = pending[position]
            heapq.heappush(queue, (job.deadline_s, job.number, work[job.number]))
            position += 1
        if not queue:
            continue
        next_s = pending[position].arrival_s if position < len(pending) else float("inf")
        deadline_s, number, remaining_s = heapq.heappop(queue)
        work_s = min(remaining_s, next_s - now_s, max(deadline_s - now_s, 0.0))
        done += work_s
        now_s += work_s
        if remaining_s - work_s > 1e-12 and now_s < deadline_s:
            heapq.heappush(queue, (deadline_s, number, remaining_s - work_s))
    return done


def is_feasible(job: Job, specs: Sequence[EngineSpec]) -> bool:
    """Return whether any engine, when idle and without cached prefixes, could meet the deadline."""
    patience_s = job.deadline_s - job.arrival_s
    return any(
        job.prompt_tokens / spec.prefill_tokens_per_s + job.output_tokens * spec.step_s
        <= patience_s
        for spec in specs
    )


def top_tier_bound(jobs: Sequence[Job], specs: Sequence[EngineSpec]) -> float:
    """Return the bound on answered top-tier requests if the fleet served only the top tier."""
    top_tier = [job for job in jobs if job.tier == 0 and is_feasible(job, specs)]
    if not top_tier:
        return 0.0
    work = compute_work(top_tier, specs)
    total = sum(work.values())
    return len(top_tier) * min(1.0, max_fluid_work(top_tier, work) / total)
