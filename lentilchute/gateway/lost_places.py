"""The places that nodes out of reach may still use; free of I/O.

A coordinator cannot tell nodes that were killed from nodes that are cut off and go on with their
requests. Once upstreams turn requests away it leaves the lost nodes their places, and uses them
again in steps, since nodes that are cut off keep theirs for a limited time::

    lost.record_rejection(now_s)
    lost.reserved(model.listing.upstream, slots=7, now_s=now_s)
"""

from collections import deque
from random import Random

from ..ids import UpstreamId
from .coordination import KEEP_PLACES_S
from .own_places import OwnPlaces

SIGNS = 3
SIGN_PERIOD_S = 1.0
"""So many rejections within this time tell that lost nodes use their places."""


class LostPlaces:
    """Places of one service that are left to nodes out of reach."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._places: OwnPlaces | None = None
        self._rejections_s: deque[float] = deque(maxlen=SIGNS)
        self._since_s = float("-inf")
        self._phases: dict[UpstreamId, float] = {}

    def set_places(self, places: OwnPlaces | None) -> None:
        """Set the places of the nodes that are out of reach, if there are some."""
        self._places = places

    def record_rejection(self, now_s: float) -> None:
        """Record that an upstream which seemed to have room turned a request away."""
        if self._places is None:
            return
        self._rejections_s.append(now_s)
        if len(self._rejections_s) == SIGNS and now_s - self._rejections_s[0] < SIGN_PERIOD_S:
            self._since_s = now_s
            self._rejections_s.clear()

    def reserved(self, upstream: UpstreamId, slots: int, now_s: float) -> int:
        """Return how many of an upstream's places are left to the lost nodes."""
        if self._places is None:
            return 0
        left = 1.0 - (now_s - self._since_s) / KEEP_PLACES_S
        if left <= 0:
            return 0
        if upstream not in self._phases:
            self._phases[upstream] = self._rng.random()
        return int(self._places.count(upstream, slots) * left + self._phases[upstream])
