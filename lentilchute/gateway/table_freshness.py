"""Tracks how fresh this node's copy of a store table is, and when to read the table; free of I/O.

The first live node, in the order of instance names, reads at the poll interval and broadcasts
changes. Any other node reads the store itself when its copy gets too old, delayed by its rank in
that order, so that a stand-by takes over without an election.
"""

from collections.abc import Iterable

from ..platform.store import StoreRow
from ..util.lean_dataclasses import dataclass
from .settings import ReadingSettings

MIN_WAIT_S = 0.02
"""Shortest delay between two checks of a copy's age."""
POLL_SHARE = 0.25
"""The reader's interval, as a share of the time within which nodes must notice a change."""
SELF_READ_SHARE = 0.45
"""The age at which another node reads itself; it leaves time for the read."""
STAGGER_SHARE = 0.075
"""Additional delay for each rank: a stand-by finishes its read before the next one would start."""
MAX_STAGGERED_RANK = 5
"""Nodes of a higher rank use the same delay as this one, so that the copy's age stays bounded."""


@dataclass(frozen=True, slots=True)
class Freshness:
    """A copy is complete up to ``version`` as of ``as_of_s``."""

    version: int
    as_of_s: float


class TableCopy:
    """Version and age of the copy of one table, and the version of each row in it."""

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
        """Whether the next read must be a full read, since changes alone are not enough."""
        return self._freshness is None

    def age_s(self, now_s: float) -> float:
        """Return the age of the copy."""
        return float("inf") if self._freshness is None else now_s - self._freshness.as_of_s

    def is_due(self, rank: int, now_s: float) -> bool:
        """Return whether a node of this rank should read now."""
        if self._freshness is None or self._is_stale:
            return True
        return self.age_s(now_s) >= self._threshold_s(rank)

    def due_in_s(self, rank: int, now_s: float) -> float:
        """Return how long a node of this rank may wait before its next check."""
        if self.is_due(rank, now_s):
            return MIN_WAIT_S
        return max(MIN_WAIT_S, self._threshold_s(rank) - self.age_s(now_s))

    def mark_stale(self) -> None:
        """Mark the copy as stale, as after a pause of the process, so that it is read at the next
        check."""
        self._is_stale = True

    def mark_history_lost(self) -> None:
        """Record that the history of changes is lost; the next read is a full read."""
        self._freshness = None

    def begin_era(self, now_s: float) -> None:
        """Forget all versions, since the store has come back from an older copy.

        The next read is a full read. Rows that are missing from it may be written again.
        """
        self._freshness = None
        self._versions.clear()
        self._is_stale = True
        self._last_outage_end_s = now_s

    def record_failure(self, now_s: float) -> None:
        """Record a read that failed."""
        if self._failing_since_s is None:
            self._failing_since_s = now_s

    def is_after_outage(self, now_s: float) -> bool:
        """Return whether this node saw the store recover from an outage a moment ago."""
        return now_s - self._last_outage_end_s < self._settings.outage_memory_s

    def record_read(self, version: int, requested_s: float, now_s: float) -> None:
        """Record a read that was requested at ``requested_s`` and is complete up to ``version``."""
        if self._failing_since_s is not None:
            if now_s - self._failing_since_s >= self._settings.outage_after_s:
                self._last_outage_end_s = now_s
            self._failing_since_s = None
        self._is_stale = False
        self._advance(Freshness(version, requested_s))

    def record_peer_changes(self, base: int, version: int, as_of_s: float) -> bool:
        """Record a peer's changes in ``(base, version]``; return false when earlier changes are
        missing."""
        if self._freshness is None or base > self._freshness.version:
            return False
        if self._failing_since_s is not None:
            # The store served a peer at that time, so its outage cannot have started earlier.
            self._failing_since_s = max(self._failing_since_s, as_of_s)
        self._advance(Freshness(version, as_of_s))
        return True

    def accept_newer(self, rows: Iterable[StoreRow]) -> list[StoreRow]:
        """Return the rows that are newer than the copy's, and record their versions."""
        newer = [row for row in rows if row.version > self._versions.get(row.key, -1)]
        for row in newer:
            self._versions[row.key] = row.version
        return newer

    def _threshold_s(self, rank: int) -> float:
        """Return the age of the copy at which a node of this rank reads."""
        share = POLL_SHARE if rank == 0 else SELF_READ_SHARE
        share += min(rank, MAX_STAGGERED_RANK) * STAGGER_SHARE
        return share * self._settings.notice_within_s

    def _advance(self, freshness: Freshness) -> None:
        current = self._freshness
        if current is None or freshness.version >= current.version:
            as_of_s = (
                freshness.as_of_s if current is None else max(current.as_of_s, freshness.as_of_s)
            )
            self._freshness = Freshness(freshness.version, as_of_s)
