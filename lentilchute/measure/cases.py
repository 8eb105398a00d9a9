"""The simulated cases: load, engines and injected faults."""

from dataclasses import dataclass, replace
from enum import Enum

from .fake_engine import EngineSpec
from .workload import (
    TIER_DEADLINES_S,
    Mix,
    RequestSample,
    RequestSampler,
    default_mix,
    long_short_mix,
    notary_mix,
    terminal_mix,
)

ENGINE_COUNT = 10
BASE_PREFILL_TOKENS_PER_S = 4_000.0
BASE_STEP_S = 0.03
MAX_BATCH = 32
CACHE_TOKENS = 200_000
LOWEST_TIER = 3


class FaultKind(Enum):
    """Kind of an injected fault."""

    SLOW = "an engine becomes slower without reporting it"
    CRASH = "an engine crashes and restarts later"
    NODE_KILL = "the node that is an entry and runs the scheduler is killed"
    POISON = "a request arrives that crashes its engine, and its caller retries it"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault injected at ``at_s``; each kind uses only some of the other fields."""

    kind: FaultKind
    at_s: float
    engine: int = 0
    factor: float = 1.0
    downtime_s: float = 20.0


@dataclass(frozen=True, slots=True)
class Case:
    """One case; ``load`` lists pairs of a start time in seconds and the load from then on.

    Loads are fractions of the fleet's capacity.
    """

    name: str
    mix: Mix = default_mix
    load: tuple[tuple[float, float], ...] = ((0.0, 0.7),)
    arrivals_s: float = 60.0
    speeds: tuple[float, ...] = (1.5,) * ENGINE_COUNT
    """Speed of each engine relative to the ``BASE_`` constants."""
    report_lag_s: float = 0.5
    cache_event_loss: float = 0.0
    faults: tuple[Fault, ...] = ()
    callers_retry: bool = False
    accounts: tuple[float, ...] = ()
    """Load of each account as a fraction of capacity; empty if the case does not set it."""

    @property
    def specs(self) -> tuple[EngineSpec, ...]:
        """The engines of the case."""
        return tuple(_engine_spec(index, speed) for index, speed in enumerate(self.speeds))

    @property
    def crashes_engines(self) -> bool:
        """Whether an engine crashes in the case."""
        return any(fault.kind in {FaultKind.CRASH, FaultKind.POISON} for fault in self.faults)

    def load_at(self, now_s: float) -> float:
        """Return the load at a time as a fraction of capacity."""
        load = 0.0
        for from_s, fraction in self.load:
            if now_s >= from_s:
                load = fraction
        return load


def _engine_spec(index: int, speed: float) -> EngineSpec:
    return EngineSpec(
        f"e{index}",
        BASE_PREFILL_TOKENS_PER_S * speed,
        BASE_STEP_S / speed,
        MAX_BATCH,
        CACHE_TOKENS,
        f"gen-{speed:g}",
    )


def _mix_by_account(shares: tuple[float, ...]) -> Mix:
    def mix(sampler: RequestSampler) -> RequestSample:
        return replace(default_mix(sampler), account=sampler.sample_index(shares))

    return mix


def _mix_with_bulk_account(shares: tuple[float, ...]) -> Mix:
    """Like ``_mix_by_account``, with all requests of the first account in the lowest tier."""

    def mix(sampler: RequestSampler) -> RequestSample:
        sample = replace(default_mix(sampler), account=sampler.sample_index(shares))
        if sample.account:
            return sample
        return replace(sample, tier=LOWEST_TIER, patience_s=TIER_DEADLINES_S[LOWEST_TIER])

    return mix


BURST_LOAD = ((0.0, 0.6), (10.0, 3.0), (70.0, 0.6))
LARGE_ACCOUNT_LOADS = (2.0, 0.16, 0.16, 0.16, 0.16)

CASES = (
    Case("steady"),
    Case("burst", load=BURST_LOAD, arrivals_s=90.0),
    Case("unlike", speeds=(1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 2.0, 5.0, 5.0)),
    Case("long-short", mix=long_short_mix),
    Case("slow-engine", faults=(Fault(FaultKind.SLOW, 20.0, engine=3, factor=5.0),)),
    Case("report-lag", report_lag_s=5.0),
    Case("event-loss", mix=terminal_mix, cache_event_loss=0.2),
    Case("engine-crash", faults=(Fault(FaultKind.CRASH, 20.0, engine=2),)),
    Case("node-kill", faults=(Fault(FaultKind.NODE_KILL, 20.0),)),
    Case(
        "large-account",
        mix=_mix_by_account(LARGE_ACCOUNT_LOADS),
        load=((0.0, sum(LARGE_ACCOUNT_LOADS)),),
        accounts=LARGE_ACCOUNT_LOADS,
    ),
    Case(
        "large-bulk",
        mix=_mix_with_bulk_account(LARGE_ACCOUNT_LOADS),
        load=((0.0, sum(LARGE_ACCOUNT_LOADS)),),
        accounts=LARGE_ACCOUNT_LOADS,
    ),
    Case("retry-storm", load=((0.0, 0.6), (10.0, 2.0), (40.0, 0.6)), callers_retry=True),
    Case("notary", mix=notary_mix, load=((0.0, 0.7), (20.0, 1.5), (50.0, 0.7))),
    Case("terminal", mix=terminal_mix, load=((0.0, 0.7), (20.0, 1.5), (50.0, 0.7))),
    Case("poison", faults=(Fault(FaultKind.POISON, 20.0),), callers_retry=True),
)


def find_case(name: str) -> Case:
    """Return the case with a name. Raises ``KeyError`` for an unknown name."""
    return {case.name: case for case in CASES}[name]
