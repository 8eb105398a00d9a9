"""Which tiers of a service get too small a part of their requests placed; free of I/O.

Order by tier alone starves the lowest one in an overload that lasts, though its requests may be the
cheapest.
"""

from ..ids import Tier
from .estimates import DecayingSum

SHARE_HALF_LIFE_S = 4.0
"""An overload lasts for seconds; a tier that was starved is helped within as long."""
FLOOR = 0.4
"""A tier whose part placed is below this part of the service's goes first; the platform calls a
kind of request starved below a quarter."""
MIN_ASKED = 3.0
"""Fewer recent requests of a tier say nothing."""
UPDATE_INTERVAL_S = 0.1
"""Shares fade over seconds, so that they are worked out at most ten times a second."""


class TierShares:
    """Recent requests of each tier of one service, and how many of them were placed."""

    def __init__(self) -> None:
        self._asked: dict[Tier, DecayingSum] = {}
        self._placed: dict[Tier, DecayingSum] = {}
        self._starved: frozenset[Tier] = frozenset()
        self._updated_s = float("-inf")

    def note_asked(self, tier: Tier, now_s: float) -> None:
        """Count a request that arrived."""
        self._asked.setdefault(tier, DecayingSum(SHARE_HALF_LIFE_S)).add(1.0, now_s)

    def note_placed(self, tier: Tier, now_s: float) -> None:
        """Count a request that got its upstream."""
        self._placed.setdefault(tier, DecayingSum(SHARE_HALF_LIFE_S)).add(1.0, now_s)

    def starved(self, now_s: float) -> frozenset[Tier]:
        """Return the tiers that go before the others now."""
        if now_s - self._updated_s >= UPDATE_INTERVAL_S:
            self._updated_s = now_s
            self._starved = self._find_starved(now_s)
        return self._starved

    def _find_starved(self, now_s: float) -> frozenset[Tier]:
        asked = {tier: total.read(now_s) for tier, total in self._asked.items()}
        placed = {tier: total.read(now_s) for tier, total in self._placed.items()}
        all_asked = sum(asked.values())
        if all_asked < MIN_ASKED:
            return frozenset()
        floor = FLOOR * sum(placed.values()) / all_asked
        return frozenset(
            tier
            for tier, count in asked.items()
            if count >= MIN_ASKED and placed.get(tier, 0.0) < floor * count
        )
