"""Deletes finished and released idempotency keys after their retention; free of I/O.

Rows under ``claim-expiry/`` name what expires and sort by time. Any node may sweep, also two at
once: each delete is conditioned on the row's version. A key that is claimed is never deleted, so an
unresolved one keeps its honest answer for good. The retention must exceed by far the longest time
that the table may hold back a write: a deleted row's version starts again from 1.
"""

from dataclasses import dataclass

from result import Err, Result

from .claim_records import (
    EXPIRY_PREFIX,
    ClaimRecord,
    ExpiryRecord,
    RecordState,
    expiry_hour_start_s,
    parse_claim_row,
    parse_expiry_row,
)
from .platform_services import Condition, Row, TableFault, Transaction, Write

SWEEP_ROWS = 50
"""Expiry rows that one sweep looks at."""
IDLE_INTERVAL_S = 300.0
"""Wait after a sweep that found nothing more to delete."""
BUSY_INTERVAL_S = 1.0
"""Wait after a sweep that found a full page, and after a failure."""


@dataclass(frozen=True, slots=True)
class ScanExpired:
    """Scan the prefix for so many rows; answer with ``scanned``."""

    prefix: str
    limit: int


@dataclass(frozen=True, slots=True)
class ReadClaims:
    """Read these rows at once; answer with ``claims_read``."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeleteExpired:
    """Commit each transaction on its own, then delete the objects of those that were applied.

    A conflict needs no answer: the row is looked at again by a later sweep.
    """

    transactions: tuple[Transaction, ...]
    objects: tuple[str | None, ...]
    """For each transaction, the object that is deleted after it."""


SweepAction = ScanExpired | ReadClaims | DeleteExpired | None


class ClaimExpiry:
    """One node's sweeps. The owner runs it on one node at a time, but need not make sure."""

    def __init__(self, now_s: float, wall_offset_s: float) -> None:
        self._wall_offset_s = wall_offset_s
        self._next_sweep_s = now_s
        self._expired: dict[str, tuple[Row, ExpiryRecord]] = {}

    def next_tick_s(self) -> float:
        """Return when the next sweep is due."""
        return self._next_sweep_s

    def tick(self, now_s: float) -> SweepAction:
        """Begin a sweep when it is due."""
        if now_s < self._next_sweep_s:
            return None
        self._next_sweep_s = now_s + IDLE_INTERVAL_S
        return ScanExpired(EXPIRY_PREFIX, SWEEP_ROWS)

    def scanned(self, answer: Result[list[Row], TableFault], now_s: float) -> SweepAction:
        """Take the oldest expiry rows, and read the claims of those that have expired."""
        self._expired = {}
        if isinstance(answer, Err):
            self._next_sweep_s = now_s + BUSY_INTERVAL_S
            return None
        wall_s = now_s + self._wall_offset_s
        for row in answer.ok_value:
            record = parse_expiry_row(row.value)
            if record is not None and expiry_hour_start_s(row.key) <= wall_s:
                self._expired[row.key] = (row, record)
        if not self._expired:
            return None
        if len(self._expired) == SWEEP_ROWS:
            self._next_sweep_s = now_s + BUSY_INTERVAL_S
        return ReadClaims(tuple(sorted({record.key for _, record in self._expired.values()})))

    def claims_read(self, answer: Result[dict[str, Row], TableFault], now_s: float) -> SweepAction:
        """Decide what is deleted by the claims' rows."""
        if isinstance(answer, Err):
            self._next_sweep_s = now_s + BUSY_INTERVAL_S
            return None
        transactions: list[Transaction] = []
        objects: list[str | None] = []
        for expiry_row, expiry in self._expired.values():
            row = answer.ok_value.get(expiry.key)
            record = None if row is None else parse_claim_row(row.value)
            transactions.append(_delete(expiry_row, expiry, row, record))
            objects.append(None if record is None else _expired_object(record, expiry))
        self._expired = {}
        return DeleteExpired(tuple(transactions), tuple(objects))


def _delete(
    expiry_row: Row, expiry: ExpiryRecord, row: Row | None, record: ClaimRecord | None
) -> Transaction:
    delete_expiry = Write(expiry_row.key, None)
    expiry_condition = Condition(expiry_row.key, expiry_row.version)
    if row is None or record is None or not _may_expire(record, expiry):
        # The key was claimed anew since; that claim has an expiry row of its own once it ends.
        return Transaction((expiry_condition,), (delete_expiry,))
    claim_condition = Condition(row.key, row.version)
    return Transaction((expiry_condition, claim_condition), (delete_expiry, Write(row.key, None)))


def _may_expire(record: ClaimRecord, expiry: ExpiryRecord) -> bool:
    return record.state is not RecordState.CLAIMED and record.token == expiry.token


def _expired_object(record: ClaimRecord, expiry: ExpiryRecord) -> str | None:
    return record.answer_object if _may_expire(record, expiry) else None
