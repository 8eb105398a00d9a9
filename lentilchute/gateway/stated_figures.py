"""Figures that upstreams state of themselves, and how long they stay worth anything; free of I/O.

A figure that changes many times a second says little about the moment at which a request arrives.
How much, is learned from successive figures: ``FigureMemory`` holds, for each age, how far a later
figure still resembled an earlier one. An upstream's figure is blended with its usual value
accordingly::

    figure.record(2.5, now_s)
    figure.expected(now_s + 0.1)    # still close to 2.5
    figure.expected(now_s + 5.0)    # its usual value
"""

import math
from bisect import bisect_right

from .estimates import WeightedMean

AGE_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds of the ages that are told apart."""
MAX_AGE_S = 2 * AGE_BOUNDS_S[-1]
"""Figures are worth nothing after this time, since an upstream that gets no requests for what it
said states nothing new."""
INITIAL_HALF_LIFE_S = 0.3
"""What is assumed before any figures: they change several times a second."""
INITIAL_WEIGHT = 0.5
"""Weight of that assumption, in squared deviations."""
MEMORY_DECAY = 0.995
"""Weight that older pairs of figures keep with each new one of the same age."""
USUAL_HALF_LIFE_S = 60.0
USUAL_WEIGHT = 10.0
"""Weight of the value that is usual everywhere, relative to one figure of the upstream."""


class FigureMemory:
    """How far a figure resembles an earlier one of the same upstream, by the time between them."""

    def __init__(self, usual: float) -> None:
        self._initial = usual
        self._mean = WeightedMean(USUAL_HALF_LIFE_S)
        bounds = (*AGE_BOUNDS_S, MAX_AGE_S)
        self._products = [
            INITIAL_WEIGHT * math.pow(0.5, bound_s / INITIAL_HALF_LIFE_S) for bound_s in bounds
        ]
        self._squares = [INITIAL_WEIGHT for _ in bounds]

    def record(self, earlier: float, later: float, age_s: float) -> None:
        """Record two successive deviations from an upstream's usual value."""
        age = bisect_right(AGE_BOUNDS_S, age_s)
        self._products[age] = MEMORY_DECAY * self._products[age] + earlier * later
        self._squares[age] = MEMORY_DECAY * self._squares[age] + (earlier**2 + later**2) / 2

    def record_value(self, value: float, now_s: float) -> None:
        """Record a figure of any upstream."""
        self._mean.add(value, now_s)

    def usual(self, now_s: float) -> float:
        """Return the mean of all upstreams' figures."""
        mean, weight = self._mean.read(now_s)
        return (mean * weight + self._initial * USUAL_WEIGHT) / (weight + USUAL_WEIGHT)

    def worth(self, age_s: float) -> float:
        """Return what part of a deviation is left after a time, from 0 to 1."""
        if age_s >= MAX_AGE_S:
            return 0.0
        age = bisect_right(AGE_BOUNDS_S, age_s)
        return min(1.0, max(0.0, self._products[age] / max(self._squares[age], 1e-9)))


class TrackedFigure:
    """One figure of one incarnation of an upstream."""

    def __init__(self, memory: FigureMemory, usual: float | None = None) -> None:
        """``usual`` is the value that the figure returns to, if it is not to be learned."""
        self.value: float | None = None
        """The last figure; ``None`` before any."""
        self.at_s = float("-inf")
        self._memory = memory
        self._fixed_usual = usual
        self._mean = WeightedMean(USUAL_HALF_LIFE_S)

    def record(self, value: float, now_s: float) -> None:
        """Record a figure that the upstream stated now, and learn from its change."""
        usual = self.usual(now_s)
        if self.value is not None:
            self._memory.record(self.value - usual, value - usual, now_s - self.at_s)
        self._mean.add(value, now_s)
        self._memory.record_value(value, now_s)
        self.value, self.at_s = value, now_s

    def adopt(self, value: float, at_s: float) -> None:
        """Apply a figure that another node heard of, if it is newer."""
        if at_s > self.at_s:
            self.value, self.at_s = value, at_s

    def usual(self, now_s: float) -> float:
        """Return the value that the figure returns to."""
        if self._fixed_usual is not None:
            return self._fixed_usual
        mean, weight = self._mean.read(now_s)
        everywhere = self._memory.usual(now_s)
        return (mean * weight + everywhere * USUAL_WEIGHT) / (weight + USUAL_WEIGHT)

    def expected(self, now_s: float, ahead_s: float = 0.0) -> float:
        """Return what the figure is expected to be in ``ahead_s`` seconds."""
        usual = self.usual(now_s)
        if self.value is None:
            return usual
        return usual + self._memory.worth(now_s - self.at_s + ahead_s) * (self.value - usual)
