"""The limit that an upstream names on the requests a second that it takes; free of I/O.

The limit holds for all nodes together. The coordinator spends the share of the nodes that it places
for; a node that decides by itself spends its own. Each gets turns, one for each request of its
share. A turn lasts as long as the limit allows for one request of all nodes, and lapses if it is
not used, so that idle nodes save nothing up that they could spend all at once::

    if limit.has_turn(share, now_s):
        limit.use_turn()
"""

import math
import random

NO_LIMIT = math.inf
"""Stands for the word of an upstream that it has no limit any more."""
MIN_RATE_PER_S = 0.2
"""A limit below this is exceeded by so much, since only answers can say that it has risen."""


class UpstreamLimit:
    """What one incarnation of an upstream said last of its limit, and this node's next turn."""

    def __init__(self, rng: random.Random) -> None:
        self.per_s: float | None = None
        """Requests a second from all nodes together; ``None`` without a limit."""
        self._rng = rng
        self._named_s = math.inf
        self._rate_per_s = 0.0
        """This node's share of the limit."""
        self._turn_s = 0.0
        """When the next turn begins, or began."""

    def record(self, per_s: float, now_s: float) -> None:
        """Record what the upstream says, ``NO_LIMIT`` included."""
        if per_s == NO_LIMIT:
            self.per_s, self._named_s = None, math.inf
            return
        if self.per_s is None:
            self._named_s = now_s
        self.per_s = per_s

    def was_named_before(self, at_s: float) -> bool:
        """Return whether a request sent at a time was sent under the limit, so that its answer
        says whether the limit still holds."""
        return self._named_s < at_s

    def adopt(self, per_s: float | None, now_s: float, knows_since_s: float) -> None:
        """Apply the coordinator's knowledge as of a time, and draw turns anew.

        A limit that was named here since then is kept: the coordinator had not heard of it.
        """
        if per_s is not None:
            self.record(per_s, now_s)
        elif self.was_named_before(knows_since_s):
            self.record(NO_LIMIT, now_s)
        self._rate_per_s = 0.0

    def has_turn(self, share: float, now_s: float) -> bool:
        """Return whether a request may be sent now, by a node that spends this share."""
        if self.per_s is None:
            return True
        limit_per_s = max(self.per_s, MIN_RATE_PER_S)
        rate_per_s = limit_per_s * share
        if rate_per_s != self._rate_per_s:
            # Nodes that start together must not take their turns together.
            self._rate_per_s = rate_per_s
            self._turn_s = now_s + self._rng.random() / rate_per_s
        lapsed_s = now_s - self._turn_s - 1 / limit_per_s
        if lapsed_s > 0:
            self._turn_s += math.ceil(lapsed_s * rate_per_s) / rate_per_s
        return now_s >= self._turn_s

    def use_turn(self) -> None:
        """Count a request that is sent."""
        if self._rate_per_s:
            self._turn_s += 1 / self._rate_per_s
