"""Tracks which groups of a service's requests are starved; free of I/O.

Any strict order of the waiting requests would starve some group in a lasting overload: the lowest
tier, though its requests may be the cheapest, or the largest requests of a kind.
"""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

from .decaying_counts import DecayingCounts

Group = TypeVar("Group", bound=Hashable)

SHARE_HALF_LIFE_S = 4.0
"""Overloads last for seconds, so a starved group is preferred within seconds too."""
MIN_REQUESTS = 3.0
"""Fewer recent requests are too few to judge: such a group never counts as starved."""
NO_REQUESTS = 0.05
"""A group with fewer recent requests is forgotten."""
UPDATE_INTERVAL_S = 0.1
"""Shares decay over seconds, so they are computed at most ten times a second."""


class PlacedShares(Generic[Group]):
    """Recent requests of each group, and how many of them were placed.

    A group is starved if the placed fraction of its requests is below ``starved_below`` times that
    of all requests.
    """

    def __init__(self, starved_below: float) -> None:
        self._starved_below = starved_below
        self._requested: DecayingCounts[Group] = DecayingCounts(SHARE_HALF_LIFE_S)
        self._placed: DecayingCounts[Group] = DecayingCounts(SHARE_HALF_LIFE_S)
        self._starved: frozenset[Group] = frozenset()
        self._updated_s = float("-inf")

    def record_request(self, groups: Iterable[Group], now_s: float) -> None:
        """Count a request that arrived, under each of its groups."""
        self._requested.add(groups, now_s)

    def record_placement(self, groups: Iterable[Group], now_s: float) -> None:
        """Count a request that was placed, under each of its groups."""
        self._placed.add(groups, now_s)

    def starved(self, now_s: float) -> frozenset[Group]:
        """Return the starved groups, which go before the others."""
        if now_s - self._updated_s >= UPDATE_INTERVAL_S:
            self._updated_s = now_s
            self._starved = self._find_starved(now_s)
        return self._starved

    def shares(self, now_s: float) -> dict[Group, float]:
        """Return the placed fraction of each group with enough recent requests."""
        requested, placed = self._requested.read_all(now_s), self._placed.read_all(now_s)
        return {
            group: placed.get(group, 0.0) / count
            for group, count in requested.items()
            if count >= MIN_REQUESTS
        }

    def _find_starved(self, now_s: float) -> frozenset[Group]:
        requested, placed = self._requested.read_all(now_s), self._placed.read_all(now_s)
        for group in [group for group, count in requested.items() if count < NO_REQUESTS]:
            del requested[group]
            placed.pop(group, None)
            self._requested.forget((group,))
            self._placed.forget((group,))
        all_requested = sum(requested.values())
        if all_requested < MIN_REQUESTS:
            return frozenset()
        floor = self._starved_below * sum(placed.values()) / all_requested
        return frozenset(
            group
            for group, count in requested.items()
            if count >= MIN_REQUESTS and placed.get(group, 0.0) < floor * count
        )
