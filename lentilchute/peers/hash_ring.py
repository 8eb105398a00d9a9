"""Hash ring of node names, on which each node finds the peers that it sends heartbeats to."""

import bisect
import functools
from collections.abc import Iterable
from enum import Enum

from ..ids import InstanceId
from .rendezvous import rendezvous_score

RING_KEY = "ring"


MAX_CACHED_NAMES = 4_096


class Direction(Enum):
    """Direction along the ring."""

    FORWARDS = 1
    BACKWARDS = -1


class HashRing:
    """Names ordered by hash; immutable, so it is rebuilt when the group changes."""

    def __init__(self, names: Iterable[InstanceId]) -> None:
        self._ring = sorted((_position(name), name) for name in names)

    def neighbours(self, name: InstanceId, direction: Direction, count: int) -> list[InstanceId]:
        """Return up to ``count`` names next to ``name``, which is not itself on the ring."""
        start = self._start(name)
        if direction is Direction.BACKWARDS:
            start -= 1
        size = len(self._ring)
        steps = range(min(count, size))
        return [self._ring[(start + direction.value * step) % size][1] for step in steps]

    def partners(self, name: InstanceId) -> list[InstanceId]:
        """Return the names at the distances 1, 2, 4, 8 and so on ahead of ``name``, which is not
        itself on the ring.

        If each node sends to its partners, a change reaches all of them in a number of rounds that
        grows with the logarithm of their number, as does the number of partners.
        """
        start, size = self._start(name), len(self._ring)
        steps = (2**exponent - 1 for exponent in range(size.bit_length()))
        return [self._ring[(start + step) % size][1] for step in steps]

    def _start(self, name: InstanceId) -> int:
        return bisect.bisect_left(self._ring, (_position(name), name))


@functools.lru_cache(MAX_CACHED_NAMES)
def _position(name: InstanceId) -> int:
    return rendezvous_score(RING_KEY, name)
