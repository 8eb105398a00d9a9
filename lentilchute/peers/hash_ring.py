"""Hash ring of node names, on which each node finds the neighbours that it sends heartbeats to."""

import bisect
from collections.abc import Iterable
from enum import Enum

from ..ids import InstanceId
from .rendezvous import rendezvous_score

RING_KEY = "ring"


class Direction(Enum):
    """Direction along the ring."""

    FORWARDS = 1
    BACKWARDS = -1


class HashRing:
    """Names ordered by hash; immutable, so it is rebuilt when the group changes."""

    def __init__(self, names: Iterable[InstanceId]) -> None:
        self._ring = sorted((rendezvous_score(RING_KEY, name), name) for name in names)

    def neighbours(self, name: InstanceId, direction: Direction, count: int) -> list[InstanceId]:
        """Return up to ``count`` names next to ``name``, which is not itself on the ring."""
        start = bisect.bisect_left(self._ring, (rendezvous_score(RING_KEY, name), name))
        if direction is Direction.BACKWARDS:
            start -= 1
        size = len(self._ring)
        steps = range(min(count, size))
        return [self._ring[(start + direction.value * step) % size][1] for step in steps]
