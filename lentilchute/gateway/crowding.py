"""How much longer work takes at an upstream that runs more requests; free of I/O.

Upstreams that run requests in batches slow down gently, others sharply when they are nearly full.
The effect is learned over all upstreams of a service, from how each one's results compare with its
own mean. Work is expected to take ``exp(slope * occupancy)`` times as long as at an idle upstream.
"""

import math

MAX_SLOPE = 3.0
DECAY = 0.998
"""Weight that older results keep with each new one."""
INITIAL_SLOPE = 0.2
INITIAL_WEIGHT = 2.0
"""Weight of the initial slope, in squared deviations of the occupancy."""


class CrowdingEffect:
    """A regression of the logarithm of relative durations on the occupancy of upstreams."""

    def __init__(self) -> None:
        self._results = 0.0
        self._occupancy = 0.0
        self._log_duration = 0.0
        self._square = 0.0
        self._product = 0.0

    def record(self, occupancy: float, relative_duration: float) -> None:
        """Record a result: the part of the slots in use, and the duration relative to the
        upstream's mean."""
        log_duration = math.log(max(relative_duration, 1e-3))
        self._results = DECAY * self._results + 1
        self._occupancy = DECAY * self._occupancy + occupancy
        self._log_duration = DECAY * self._log_duration + log_duration
        self._square = DECAY * self._square + occupancy**2
        self._product = DECAY * self._product + occupancy * log_duration

    @property
    def slope(self) -> float:
        """Growth of the logarithm of a duration from an idle to a full upstream."""
        results = max(self._results, 1e-9)
        square = max(0.0, self._square - self._occupancy**2 / results)
        product = self._product - self._occupancy * self._log_duration / results
        slope = (product + INITIAL_SLOPE * INITIAL_WEIGHT) / (square + INITIAL_WEIGHT)
        return min(MAX_SLOPE, max(0.0, slope))

    def factor(self, occupancy: float) -> float:
        """Return how much longer work takes at an occupancy, relative to the mean one."""
        usual = self._occupancy / self._results if self._results >= 1 else occupancy
        return math.exp(self.slope * (min(occupancy, 2.0) - usual))
