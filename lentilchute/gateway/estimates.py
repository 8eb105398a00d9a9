"""What is learned about one upstream: its pace and how often it fails; free of I/O.

Every figure is a decaying sum, so that old results fade and an upstream that nobody uses drifts
back to what its service's upstreams have in common, and is tried again.
"""

from dataclasses import dataclass

PACE_HALF_LIFE_S = 15.0
"""An engine that is slow by its kind is not tried again all the time; traffic corrects sooner."""
RESULT_HALF_LIFE_S = 4.0
"""Failures come and go faster than pace; a recovered upstream is trusted again after seconds."""
DEFAULT_PACE_MS = 12.0
"""Milliseconds per thousand tokens before anything is learned: about 80 tokens a millisecond."""
DEFAULT_GAP_MS = 40.0
"""Milliseconds between two events before anything is learned."""
PRIOR_WEIGHT = 0.5
"""Weight of the service's common pace against one result of the upstream itself."""


@dataclass(slots=True)
class DecayingSum:
    """A sum whose parts lose half of their weight every ``half_life_s``."""

    half_life_s: float
    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount with full weight."""
        self.value = self.read(now_s) + amount
        self.at_s = now_s

    def read(self, now_s: float) -> float:
        """Return the sum as it has decayed until now."""
        passed_s = max(0.0, now_s - self.at_s)
        return float(self.value * 0.5 ** (passed_s / self.half_life_s))


class WeightedMean:
    """A decaying mean and the weight behind it."""

    def __init__(self, half_life_s: float) -> None:
        self._total = DecayingSum(half_life_s)
        self._weight = DecayingSum(half_life_s)

    def add(self, value: float, now_s: float) -> None:
        """Add one observation."""
        self._total.add(value, now_s)
        self._weight.add(1.0, now_s)

    def read(self, now_s: float) -> tuple[float, float]:
        """Return the mean and its weight; the mean is 0 where the weight is."""
        weight = self._weight.read(now_s)
        return (self._total.read(now_s) / weight if weight > 1e-9 else 0.0), weight


@dataclass(frozen=True, slots=True)
class UpstreamEstimate:
    """What one node has learned about an upstream by itself."""

    pace_ms: float
    """Milliseconds to the first event per thousand tokens of work."""
    pace_weight: float
    gap_ms: float
    """Milliseconds between two events of a stream."""
    gap_weight: float
    failures: float
    results: float


class UpstreamStatistics:
    """One node's own results with one run of an upstream."""

    def __init__(self) -> None:
        self._pace = WeightedMean(PACE_HALF_LIFE_S)
        self._gap = WeightedMean(PACE_HALF_LIFE_S)
        self._failures = DecayingSum(RESULT_HALF_LIFE_S)
        self._results = DecayingSum(RESULT_HALF_LIFE_S)

    def record_pace(self, pace_ms: float, now_s: float) -> None:
        """Take in the pace that one request saw."""
        self._pace.add(pace_ms, now_s)

    def record_gap(self, gap_ms: float, now_s: float) -> None:
        """Take in the mean time between the events of one stream."""
        self._gap.add(gap_ms, now_s)

    def record_result(self, failure: float, now_s: float) -> None:
        """Take in how one request ended: 0 for a good end, 1 for a failure, between for a late
        one."""
        self._results.add(1.0, now_s)
        self._failures.add(failure, now_s)

    def estimate(self, now_s: float) -> UpstreamEstimate:
        """Return what is known now."""
        pace_ms, pace_weight = self._pace.read(now_s)
        gap_ms, gap_weight = self._gap.read(now_s)
        return UpstreamEstimate(
            pace_ms=pace_ms,
            pace_weight=pace_weight,
            gap_ms=gap_ms,
            gap_weight=gap_weight,
            failures=self._failures.read(now_s),
            results=self._results.read(now_s),
        )


def merged_pace_ms(estimates: list[UpstreamEstimate], common_pace_ms: float) -> float:
    """Return the pace that several nodes' results give, pulled to ``common_pace_ms`` when few."""
    weight = sum(estimate.pace_weight for estimate in estimates)
    total = sum(estimate.pace_ms * estimate.pace_weight for estimate in estimates)
    return (total + common_pace_ms * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)


def merged_gap_ms(estimates: list[UpstreamEstimate], common_gap_ms: float) -> float:
    """Return the time between events that several nodes' results give, in the same way."""
    weight = sum(estimate.gap_weight for estimate in estimates)
    total = sum(estimate.gap_ms * estimate.gap_weight for estimate in estimates)
    return (total + common_gap_ms * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)


def merged_failure_rate(estimates: list[UpstreamEstimate]) -> float:
    """Return the part of recent requests that failed; one result alone proves little."""
    results = sum(estimate.results for estimate in estimates)
    return sum(estimate.failures for estimate in estimates) / (results + 1.0)
