"""Decides which answers are slow, by the baseline's own spread; free of I/O.

An answer is compared in two ways: with all of the baseline's answers on its route, and with the
faster answers of its own upstream at low load. The second sees a fault at a fast upstream, whose
slow answers are as quick as the normal ones of a slow upstream.
"""

from collections import defaultdict, deque
from enum import Enum

from ...ids import UpstreamId
from .samples import VersionRole, VersionSample

KEPT_RATIOS = 400
LEAST_RATIOS = 30
"""Baseline answers before a bound is drawn from them."""
BOUND_QUANTILE = 0.95
BOUND_FACTOR = 1.5
LEAST_BOUND = 1.8
KEPT_OWN_RATIOS = 32
LEAST_OWN_RATIOS = 6
OWN_ANSWERS_PER_UPDATE = 3


class _Clock(Enum):
    FIRST_EVENT = "first-event"
    GAP = "gap"


class _Bound:
    """Ratio above which an answer is slow, from the last answers of the baseline."""

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=KEPT_RATIOS)
        self._age = 0
        self.value: float | None = None

    def learn(self, ratio: float) -> None:
        self._ratios.append(ratio)
        self._age += 1
        if self._age < LEAST_RATIOS:
            return
        self._age = 0
        ordered = sorted(self._ratios)
        quantile = ordered[int(BOUND_QUANTILE * (len(ordered) - 1))]
        self.value = max(LEAST_BOUND, BOUND_FACTOR * quantile)


class _OwnRatios:
    """Recent ratios of one upstream with their loads."""

    def __init__(self) -> None:
        self._ratios: deque[tuple[float, float]] = deque(maxlen=KEPT_OWN_RATIOS)
        self._age = 0
        self.typical: float | None = None
        """Lower quartile of the ratios in the third of the answers with the lowest loads."""

    def learn(self, load: float, ratio: float) -> None:
        self._ratios.append((load, ratio))
        self._age += 1
        if len(self._ratios) < LEAST_OWN_RATIOS or self._age % OWN_ANSWERS_PER_UPDATE:
            return
        by_load = sorted(self._ratios)
        ratios = sorted(each for _, each in by_load[: len(by_load) // 3])
        self.typical = max(1e-6, ratios[len(ratios) // 4])


class Slowness:
    """Bounds by route, and the recent ratios of each upstream."""

    def __init__(self) -> None:
        self._fleet_bounds: defaultdict[tuple[str, _Clock], _Bound] = defaultdict(_Bound)
        self._own_bounds: defaultdict[tuple[str, _Clock], _Bound] = defaultdict(_Bound)
        self._own: defaultdict[tuple[UpstreamId, _Clock], _OwnRatios] = defaultdict(_OwnRatios)

    def classify(self, sample: VersionSample) -> tuple[bool | None, bool | None]:
        """Return whether an answer is slow beside the baseline's, and beside those of its own
        upstream; None where nothing can be said yet. The baseline's answers move the bounds."""
        ratios = ((_Clock.FIRST_EVENT, sample.first_event_ratio), (_Clock.GAP, sample.gap_ratio))
        beside_fleet: list[bool] = []
        beside_own: list[bool] = []
        for clock, ratio in ratios:
            if ratio is None:
                continue
            learns = sample.role is VersionRole.BASELINE
            key = (sample.route, clock)
            beside_fleet += _compare(self._fleet_bounds[key], ratio, learns)
            own = self._own[sample.upstream, clock]
            if own.typical is not None:
                beside_own += _compare(self._own_bounds[key], ratio / own.typical, learns)
            own.learn(sample.load, ratio)
        return _any(beside_fleet), _any(beside_own)


def _compare(bound: _Bound, ratio: float, learns: bool) -> list[bool]:
    known = bound.value
    if learns:
        bound.learn(ratio)
    return [] if known is None else [ratio > known]


def _any(found: list[bool]) -> bool | None:
    return any(found) if found else None
