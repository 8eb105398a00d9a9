"""Grant rates of the tiers, and the expected wait of a new ticket."""

import math

from ..ids import Tier

HALF_LIFE_S = 2.0
STEADY_STATE_S = 2.0
"""Age of a tier's first ticket from which the grant rate shows the shard's capacity."""

MIN_RATE_PER_S = 0.01


class DecayingRate:
    """Rate of events with exponentially decaying weights."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_s = 0.0

    def add(self, now_s: float) -> None:
        """Record an event."""
        self._count = self._decayed(now_s) + 1.0
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the current rate."""
        return self._decayed(now_s) * math.log(2) / HALF_LIFE_S

    def _decayed(self, now_s: float) -> float:
        return self._count * math.exp2((self._updated_s - now_s) / HALF_LIFE_S)


class TierGrantRates:
    """Grants per second of each tier and of all tiers together."""

    def __init__(self) -> None:
        self._all = DecayingRate()
        self._tiers: dict[Tier, DecayingRate] = {}

    def record_grant(self, tier: Tier, now_s: float) -> None:
        """Record a grant."""
        self._all.add(now_s)
        self._tiers.setdefault(tier, DecayingRate()).add(now_s)

    def wait_s(
        self, tier: Tier, ahead: int, ahead_up_to_tier: int, head_enqueued_s: float, now_s: float
    ) -> float:
        """Estimate a new ticket's wait.

        ``ahead`` is the number of tickets of its tier ahead of it; ``ahead_up_to_tier`` includes
        those of the higher tiers. ``head_enqueued_s`` is when the first ticket of its tier was
        enqueued. Without a backlog, grant rates show the demand and not the shard's capacity.
        """
        if not ahead_up_to_tier or now_s - head_enqueued_s < STEADY_STATE_S:
            return 0.0
        wait_s = ahead_up_to_tier / max(self._all.per_s(now_s), MIN_RATE_PER_S)
        if ahead:
            tier_rate_per_s = self._tiers[tier].per_s(now_s) if tier in self._tiers else 0.0
            wait_s = max(wait_s, ahead / max(tier_rate_per_s, MIN_RATE_PER_S))
        return wait_s
