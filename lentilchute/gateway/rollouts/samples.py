"""What one answer says about the software version that gave it."""

from enum import Enum

from ...ids import UpstreamId
from ...util.lean_dataclasses import dataclass


class VersionRole(Enum):
    """Which side of a roll-out an upstream is on."""

    BASELINE = "baseline"
    CANDIDATE = "candidate"


class SampleOutcome(Enum):
    """How an attempt ended, as far as its upstream's version can be blamed."""

    SUCCESS = "success"
    FAILURE = "failure"
    EXCUSED = "excused"
    """Not the version's doing: a crash of the upstream, a poisoned prompt, a caller's deadline."""


@dataclass(frozen=True, slots=True)
class VersionSample:
    """One finished attempt.

    ``load`` is the share of the upstream's slots that were in use when the request was placed. The
    ratios are measured time over the time that the baseline's means explain by the request's size
    and the load; None if there was nothing to measure.
    """

    role: VersionRole
    route: str
    upstream: UpstreamId
    load: float
    outcome: SampleOutcome
    first_event_ratio: float | None = None
    gap_ratio: float | None = None
