"""Short use of places by nodes that own none, in turn; free of I/O.

A service with fewer places than nodes cannot give each node one. Each then uses one for a fraction
of the time: after a request it pauses until its average is back at its share. The shares of all
nodes add up to a part of the places only, since nodes that do not hear of each other collide::

    if visits.has_turn(free=18, nodes=110, now_s=now_s):
        visits.begin(key, now_s)
"""

from .tickets import TicketKey

USED_SHARE = 1 / 3
"""Fraction of the free places that all nodes together use on average. Of 4 places or more, one
visitor in 80 or fewer then finds all taken."""


USUAL_S = 0.5
"""A node that knows of no request's duration waits for its first turn as if one had lasted this
long, or a fraction of it, so that the first turns of all nodes are spread."""


class PlaceVisits:
    """The visits of one node to places of one service.

    ``first_turn`` is the fraction of a usual pause before the first visit.
    """

    def __init__(self, first_turn: float = 0.0) -> None:
        self._first_turn = first_turn
        self._key: TicketKey | None = None
        self._began_s = float("-inf")
        self._took_s = 0.0

    def has_turn(self, free: int, nodes: int, now_s: float) -> bool:
        """Return whether the node may use one of the free places now."""
        if self._key is not None or not free:
            return False
        if self._began_s == float("-inf"):
            self._began_s, self._took_s = now_s, self._first_turn * USUAL_S
        share = USED_SHARE * free / nodes
        return now_s - self._began_s >= self._took_s / share

    def begin(self, key: TicketKey, now_s: float) -> None:
        """Record a request that is sent."""
        self._key, self._began_s = key, now_s

    def end(self, key: TicketKey, now_s: float) -> None:
        """Record that a request has ended, if it is the one that was sent last."""
        if key == self._key:
            self._key, self._took_s = None, now_s - self._began_s
