"""How long requests count as in flight at an upstream without being there; free of I/O.

A request is counted from its placement until the report of its end arrives. It is at the upstream
for a part of that time only: before, the decision travels to the request's node and a connection
is opened; afterwards, the node's next batch of reports is waited for. Where answers take no longer
than that, an upstream whose slots all count as taken is idle for much of the time.
``extra_places`` is the number of requests that may be on their way besides those in the slots.
"""

from .estimates import WeightedMean

HALF_LIFE_S = 15.0
LEAST_ANSWERS = 10.0
"""Answers without which nothing is known."""
USED_SHARE = 0.85
"""Part of the time in transit that is used, since requests do not arrive evenly."""
REJECTED_FACTOR = 0.8
"""After each request that an upstream turned away, the part that is used is so many times as
large."""
RECOVERY_PER_S = 0.25
"""The part that is used grows by this in a second, up to its usual size: many requests that set
out at once would arrive at once."""
MAX_TRANSIT_S = 0.5
"""A request that is counted for longer after its answer has left its place to another one."""
MAX_EXTRA_SHARE = 2.0
"""Most extra places, as a part of the slots."""


class TransitShare:
    """The time that plain requests of one service count as in flight, and that they are there.

    >>> transit = TransitShare()
    >>> for _ in range(20):
    ...     transit.record(counted_s=0.05, there_s=0.025, now_s=0.0)
    >>> transit.extra_places(slots=6, now_s=5.0)
    5
    """

    def __init__(self) -> None:
        self._counted_s = WeightedMean(HALF_LIFE_S)
        self._there_s = WeightedMean(HALF_LIFE_S)
        self._used_share = 0.0
        self._used_share_s = float("inf")
        self._extra_share = 0.0
        """The extra places as a part of the slots, which are the same for all upstreams."""
        self._computed_s = float("-inf")

    def record(self, counted_s: float, there_s: float, now_s: float) -> None:
        """Record an answer: how long its request was counted, and how long it was exchanged."""
        if counted_s - there_s <= MAX_TRANSIT_S:
            self._used_share_s = min(self._used_share_s, now_s)
            self._counted_s.add(max(counted_s, there_s), now_s)
            self._there_s.add(there_s, now_s)

    def extra_places(self, slots: int, now_s: float) -> int:
        """Return how many more requests than slots may be in flight at an upstream."""
        if now_s != self._computed_s:
            self._extra_share, self._computed_s = self._compute_extra_share(now_s), now_s
        return int(slots * self._extra_share)

    def is_short(self, limit_s: float, now_s: float) -> bool:
        """Return whether answers are known to take less than a limit."""
        there_s, answers = self._there_s.read(now_s)
        return answers >= LEAST_ANSWERS and there_s < limit_s

    def record_rejection(self, now_s: float) -> None:
        """Record that an upstream turned a request away for want of room."""
        if now_s >= self._used_share_s:
            self._used_share = REJECTED_FACTOR * self._used_share_at(now_s)
            self._used_share_s = now_s
            self._computed_s = float("-inf")

    def _compute_extra_share(self, now_s: float) -> float:
        counted_s, answers = self._counted_s.read(now_s)
        there_s, _ = self._there_s.read(now_s)
        if answers < LEAST_ANSWERS or there_s <= 0:
            return 0.0
        return min(self._used_share_at(now_s) * (counted_s / there_s - 1), MAX_EXTRA_SHARE)

    def _used_share_at(self, now_s: float) -> float:
        recovered = RECOVERY_PER_S * max(0.0, now_s - self._used_share_s)
        return min(USED_SHARE, self._used_share + recovered)
