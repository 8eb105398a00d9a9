"""How fresh this node's copy of a store table is, and when this node must read it; free of I/O.

The node that comes first in the order of those alive reads at the poll interval and tells the
others. Each other node reads by itself once it has heard nothing for longer, staggered by its
place in that order, so that a stand-by takes over without an election.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..platform.store import StoreRow
from .settings import ReadingSettings

MIN_WAIT_S = 0.02
"""Shortest pause between two looks at a copy's age."""
MAX_STAGGERED_RANK = 5
"""Nodes further back all wait equally long, so that knowledge stays within its bound."""


@dataclass(frozen=True, slots=True)
class Freshness:
    """How up to date a copy is: everything up to ``version`` as of ``as_of_s``."""

    version: int
    as_of_s: float


class TableCopy:
    """Version and age of one table's copy, and of each row in it."""

    def __init__(self, table: str, settings: ReadingSettings) -> None:
        self.table = table
        self._settings = settings
        self._freshness: Freshness | None = None
        self._versions: dict[str, int] = {}
        self._is_stale = True
        self._failing_since_s: float | None = None
        self._last_outage_end_s = float("-inf")

    @property
    def version(self) -> int | None:
        """The store's version up to which the copy is complete; ``None`` before the first read."""
        return None if self._freshness is None else self._freshness.version

    @property
    def needs_full_read(self) -> bool:
        """Whether changes alone are not enough."""
        return self._freshness is None

    def age_s(self, now_s: float) -> float:
        """Return how old the copy is."""
        return float("inf") if self._freshness is None else now_s - self._freshness.as_of_s

    def is_due(self, rank: int, now_s: float) -> bool:
        """Tell whether the node with this place in the order should read now."""
        if self._freshness is None or self._is_stale:
            return True
        return self.age_s(now_s) >= self._threshold_s(rank)

    def due_in_s(self, rank: int, now_s: float) -> float:
        """Return how long the node with this place may wait before it looks again."""
        if self.is_due(rank, now_s):
            return MIN_WAIT_S
        return max(MIN_WAIT_S, self._threshold_s(rank) - self.age_s(now_s))

    def mark_stale(self) -> None:
        """Count the copy as old: this process did not run for a while."""
        self._is_stale = True

    def mark_history_lost(self) -> None:
        """Note that changes cannot be followed any more; the next read takes the whole table."""
        self._freshness = None

    def record_failure(self, now_s: float) -> None:
        """Note a read that brought nothing."""
        if self._failing_since_s is None:
            self._failing_since_s = now_s

    def is_after_outage(self, now_s: float) -> bool:
        """Tell whether the store was away until a moment ago, as far as this node noticed."""
        return now_s - self._last_outage_end_s < self._settings.outage_memory_s

    def record_read(self, version: int, requested_s: float, now_s: float) -> None:
        """Note a read that was asked for at ``asked_s`` and is complete up to ``version``."""
        if self._failing_since_s is not None:
            if now_s - self._failing_since_s >= self._settings.outage_after_s:
                self._last_outage_end_s = now_s
            self._failing_since_s = None
        self._is_stale = False
        self._advance(Freshness(version, requested_s))

    def record_peer_changes(self, base: int, version: int, as_of_s: float) -> bool:
        """Note a peer's news of the changes in ``(base, version]``; false when some are missing."""
        if self._freshness is None or base > self._freshness.version:
            return False
        if self._failing_since_s is not None:
            # The store served a peer then, so that it has been away since that time at most.
            self._failing_since_s = max(self._failing_since_s, as_of_s)
        self._advance(Freshness(version, as_of_s))
        return True

    def accept_newer(self, rows: Iterable[StoreRow]) -> list[StoreRow]:
        """Return the rows that are newer than the copy's, and note their versions."""
        newer = [row for row in rows if row.version > self._versions.get(row.key, -1)]
        for row in newer:
            self._versions[row.key] = row.version
        return newer

    def _threshold_s(self, rank: int) -> float:
        """Return the age at which the node with this place reads."""
        step_s = min(rank, MAX_STAGGERED_RANK) * self._settings.stagger_s
        base_s = self._settings.poll_interval_s if rank == 0 else self._settings.self_read_after_s
        return base_s + step_s

    def _advance(self, freshness: Freshness) -> None:
        known = self._freshness
        if known is None or freshness.version >= known.version:
            as_of_s = freshness.as_of_s if known is None else max(known.as_of_s, freshness.as_of_s)
            self._freshness = Freshness(freshness.version, as_of_s)
