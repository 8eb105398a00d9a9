"""The evidence about a candidate as it is stored, so that another node goes on with it; free of
I/O."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CollectedTest:
    """One test of one part of the traffic. Log likelihood ratios are natural logarithms."""

    place: str
    fault: str
    samples: int
    bad_samples: int
    log_mixture: tuple[float, ...]
    clearing: float


@dataclass(frozen=True, slots=True)
class CollectedEvidence:
    """What the answers of a candidate said up to some time."""

    candidate_samples: int
    excused_samples: int
    watched_s: float
    """Time from the candidate's first answer."""
    tests: tuple[CollectedTest, ...]
    set_aside: tuple[tuple[str, str], ...] = ()
    """Kinds of fault, and the upstreams whose answers do not count for them."""
