"""A ring of names by hash, on which each node finds the neighbours it sends heartbeats to."""

import bisect
from collections.abc import Iterable
from enum import Enum

from ..ids import InstanceId
from .rendezvous import rendezvous_score

RING_KEY = "ring"


class Direction(Enum):
    """Which way to walk along the ring."""

    FORWARDS = 1
    BACKWARDS = -1


class HashRing:
    """The names of a group in the order of their hash; rebuilt when the group changes."""

    def __init__(self, names: Iterable[InstanceId]) -> None:
        self._ring = sorted((rendezvous_score(RING_KEY, name), name) for name in names)

    def neighbours(self, name: InstanceId, direction: Direction, count: int) -> list[InstanceId]:
        """Return up to ``count`` names next to ``own``, which is not itself on the ring."""
        start = bisect.bisect_left(self._ring, (rendezvous_score(RING_KEY, name), name))
        if direction is Direction.BACKWARDS:
            start -= 1
        size = len(self._ring)
        steps = range(min(count, size))
        return [self._ring[(start + direction.value * step) % size][1] for step in steps]
