"""Remembers which upstreams have left, so that old rows do not bring them back; free of I/O.

After the platform's store has come back from an older copy, it lists upstreams that left since.
"""

from ..ids import UpstreamId

DISTRUST_S = 10.0
"""How long after the store came back from an older copy rows of departed upstreams are distrusted;
the platform removes an upstream's row after three of its heartbeats of silence."""
MAX_DEPARTED = 4_096
"""Incarnations of upstreams that are remembered; the oldest are forgotten first."""

Incarnation = tuple[UpstreamId, int]
"""An upstream and its start time in milliseconds."""


class Departures:
    """The incarnations of upstreams that have left, as one node knows them."""

    def __init__(self) -> None:
        self._sequences: dict[Incarnation, int] = {}
        """Highest known sequence of each incarnation."""
        self._departed: dict[Incarnation, int | None] = {}
        """For each, the sequence in its first row of the present era, if there was one."""
        self._distrust_until_s = float("-inf")

    def begin_era(self, now_s: float) -> None:
        """Trust no row of a departed incarnation for a while."""
        self._distrust_until_s = now_s + DISTRUST_S
        self._departed = dict.fromkeys(self._departed)

    def record(self, incarnation: Incarnation) -> None:
        """Record that an incarnation has left."""
        self._departed.setdefault(incarnation, None)
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def has(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation has left."""
        return incarnation in self._departed

    def distrusted(self, now_s: float) -> list[Incarnation]:
        """Return the departed incarnations while their rows are not trusted."""
        return list(self._departed) if now_s < self._distrust_until_s else []

    def accepts(self, incarnation: Incarnation, sequence: int | None, now_s: float) -> bool:
        """Return whether a row is the upstream's latest word, as far as can be told.

        A row with a lower sequence than a known one is older. While the store's rows are
        distrusted, an incarnation that had left is back only once its sequence rises.
        """
        if sequence is not None:
            if sequence < self._sequences.get(incarnation, sequence):
                return False
            self._sequences[incarnation] = sequence
            if len(self._sequences) > MAX_DEPARTED:
                del self._sequences[next(iter(self._sequences))]
        if incarnation in self._departed and now_s < self._distrust_until_s:
            first = self._departed[incarnation]
            if sequence is None or first is None or sequence <= first:
                self._departed[incarnation] = sequence if first is None else first
                return False
        self._departed.pop(incarnation, None)
        return True
