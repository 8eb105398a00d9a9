"""Tracks which tiers of a service are starved; free of I/O.

Strict priority would starve the lowest tier in a lasting overload, though its requests may be the
cheapest.
"""

from ..ids import Tier
from .estimates import DecayingSum

SHARE_HALF_LIFE_S = 4.0
"""Overloads last for seconds, so a starved tier is preferred within seconds too."""
STARVED_BELOW = 0.4
"""A tier is starved if the placed fraction of its requests is below this fraction of the service's.
The platform calls a kind of request starved below a quarter."""
MIN_REQUESTS = 3.0
"""Fewer recent requests are too few to judge: such a tier never counts as starved."""
UPDATE_INTERVAL_S = 0.1
"""Shares decay over seconds, so they are computed at most ten times a second."""


class TierShares:
    """Recent requests of each tier of one service, and how many of them were placed."""

    def __init__(self) -> None:
        self._requested: dict[Tier, DecayingSum] = {}
        self._placed: dict[Tier, DecayingSum] = {}
        self._starved: frozenset[Tier] = frozenset()
        self._updated_s = float("-inf")

    def record_request(self, tier: Tier, now_s: float) -> None:
        """Count a request that arrived."""
        self._requested.setdefault(tier, DecayingSum(SHARE_HALF_LIFE_S)).add(1.0, now_s)

    def record_placement(self, tier: Tier, now_s: float) -> None:
        """Count a request that was placed."""
        self._placed.setdefault(tier, DecayingSum(SHARE_HALF_LIFE_S)).add(1.0, now_s)

    def starved(self, now_s: float) -> frozenset[Tier]:
        """Return the starved tiers, which go before the others."""
        if now_s - self._updated_s >= UPDATE_INTERVAL_S:
            self._updated_s = now_s
            self._starved = self._find_starved(now_s)
        return self._starved

    def _find_starved(self, now_s: float) -> frozenset[Tier]:
        requested = {tier: total.read(now_s) for tier, total in self._requested.items()}
        placed = {tier: total.read(now_s) for tier, total in self._placed.items()}
        all_requested = sum(requested.values())
        if all_requested < MIN_REQUESTS:
            return frozenset()
        floor = STARVED_BELOW * sum(placed.values()) / all_requested
        return frozenset(
            tier
            for tier, count in requested.items()
            if count >= MIN_REQUESTS and placed.get(tier, 0.0) < floor * count
        )
