"""Estimates of one upstream's performance and failure rate; free of I/O.

Every figure is a decaying sum, so that old results lose weight and an upstream that gets no
requests drifts back to its service's mean and is tried again.
"""

from ..util.lean_dataclasses import dataclass

PACE_HALF_LIFE_S = 15.0
"""Long enough that an inherently slow engine is not retried all the time; under traffic, new
results correct the estimate sooner."""
RESULT_HALF_LIFE_S = 4.0
"""Failures come and go faster than performance changes; a recovered upstream gets requests again
within seconds."""
DEFAULT_PACE_MS = 12.0
"""Milliseconds per thousand tokens without any results: about 80 tokens per millisecond."""
DEFAULT_GAP_MS = 40.0
"""Milliseconds between two events without any results."""
PRIOR_WEIGHT = 0.5
"""Weight of the service's mean relative to one result of the upstream itself."""


@dataclass(slots=True)
class DecayingSum:
    """A sum whose terms lose half of their weight every ``half_life_s``."""

    half_life_s: float
    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add a term with full weight."""
        self.value = self.read(now_s) + amount
        self.at_s = now_s

    def read(self, now_s: float) -> float:
        """Return the sum, decayed until now."""
        passed_s = max(0.0, now_s - self.at_s)
        return float(self.value * 0.5 ** (passed_s / self.half_life_s))


class WeightedMean:
    """An exponentially decaying mean and its total weight."""

    def __init__(self, half_life_s: float) -> None:
        self._total = DecayingSum(half_life_s)
        self._weight = DecayingSum(half_life_s)

    def add(self, value: float, now_s: float) -> None:
        """Add one observation."""
        self._total.add(value, now_s)
        self._weight.add(1.0, now_s)

    def read(self, now_s: float) -> tuple[float, float]:
        """Return the mean and its weight; the mean is 0 if the weight is 0."""
        weight = self._weight.read(now_s)
        return (self._total.read(now_s) / weight if weight > 1e-9 else 0.0), weight


@dataclass(frozen=True, slots=True)
class UpstreamEstimate:
    """Estimates from one node's results with an upstream."""

    pace_ms: float
    """Milliseconds to the first event per thousand tokens of work."""
    pace_weight: float
    gap_ms: float
    """Milliseconds between two events of a stream."""
    gap_weight: float
    failures: float
    results: float
    pause_ms: float = 0.0
    """Longest pause between two events of a stream, on average."""
    pause_weight: float = 0.0


class UpstreamStatistics:
    """One node's results with one incarnation of an upstream."""

    def __init__(self) -> None:
        self._pace = WeightedMean(PACE_HALF_LIFE_S)
        self._gap = WeightedMean(PACE_HALF_LIFE_S)
        self._pause = WeightedMean(PACE_HALF_LIFE_S)
        self._failures = DecayingSum(RESULT_HALF_LIFE_S)
        self._results = DecayingSum(RESULT_HALF_LIFE_S)

    def record_pace(self, pace_ms: float, now_s: float) -> None:
        """Record one request's time to the first event per thousand tokens of work."""
        self._pace.add(pace_ms, now_s)

    def record_gap(self, gap_ms: float, now_s: float) -> None:
        """Record the mean time between the events of one stream."""
        self._gap.add(gap_ms, now_s)

    def record_pause(self, pause_ms: float, now_s: float) -> None:
        """Record the longest pause between two events of one stream."""
        self._pause.add(pause_ms, now_s)

    def record_result(self, failure: float, now_s: float) -> None:
        """Record the result of one request: 0 for success, 1 for a failure, a value between for a
        late success."""
        self._results.add(1.0, now_s)
        self._failures.add(failure, now_s)

    def estimate(self, now_s: float) -> UpstreamEstimate:
        """Return the current estimate."""
        pace_ms, pace_weight = self._pace.read(now_s)
        gap_ms, gap_weight = self._gap.read(now_s)
        pause_ms, pause_weight = self._pause.read(now_s)
        return UpstreamEstimate(
            pace_ms=pace_ms,
            pace_weight=pace_weight,
            gap_ms=gap_ms,
            gap_weight=gap_weight,
            failures=self._failures.read(now_s),
            results=self._results.read(now_s),
            pause_ms=pause_ms,
            pause_weight=pause_weight,
        )


def merged_pace_ms(estimates: list[UpstreamEstimate], prior_pace_ms: float) -> float:
    """Return the pace over several nodes' results, weighted towards ``prior_pace_ms`` if there are
    few."""
    weight = sum(estimate.pace_weight for estimate in estimates)
    total = sum(estimate.pace_ms * estimate.pace_weight for estimate in estimates)
    return (total + prior_pace_ms * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)


def merged_gap_ms(estimates: list[UpstreamEstimate], prior_gap_ms: float) -> float:
    """Return the time between events over several nodes' results, weighted in the same way."""
    weight = sum(estimate.gap_weight for estimate in estimates)
    total = sum(estimate.gap_ms * estimate.gap_weight for estimate in estimates)
    return (total + prior_gap_ms * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)


def merged_pause_ms(estimates: list[UpstreamEstimate], prior_pause_ms: float) -> float:
    """Return the longest pause of a stream over several nodes' results, weighted in the same
    way."""
    weight = sum(estimate.pause_weight for estimate in estimates)
    total = sum(estimate.pause_ms * estimate.pause_weight for estimate in estimates)
    return (total + prior_pause_ms * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)


def merged_failure_rate(estimates: list[UpstreamEstimate]) -> float:
    """Return the fraction of recent requests that failed, damped so that one result has little
    effect."""
    results = sum(estimate.results for estimate in estimates)
    return sum(estimate.failures for estimate in estimates) / (results + 1.0)
