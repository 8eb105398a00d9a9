"""Deletes finished and released idempotency keys after their retention; free of I/O.

Rows under ``claim-expiry/`` list the keys that expire, ordered by time. Any node may sweep, and
concurrent sweeps are safe because each delete requires the row's version. A claimed key is never
deleted, so a request with an unknown outcome is reported as such indefinitely. The retention must
be much longer than the table can delay a write, because a deleted row's version restarts from 1.
Nothing checks this, except that ``retention_s`` is at least an hour.
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
"""Maximum number of expiry rows per sweep."""
IDLE_INTERVAL_S = 300.0
"""Delay after a sweep that left no expired rows."""
BUSY_INTERVAL_S = 1.0
"""Delay after a sweep that found a full page of expired rows, or after a failed scan or read."""


@dataclass(frozen=True, slots=True)
class ScanExpired:
    """Scan up to ``limit`` rows with this prefix; the result goes to ``scanned``."""

    prefix: str
    limit: int


@dataclass(frozen=True, slots=True)
class ReadClaims:
    """Read these rows in one call; the result goes to ``claims_read``."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeleteExpired:
    """Commit each transaction separately, then delete the objects of those that were applied.

    Conflicts are ignored: a later sweep checks the row again.
    """

    transactions: tuple[Transaction, ...]
    objects: tuple[str | None, ...]
    """For each transaction, the object to delete after it commits."""


SweepAction = ScanExpired | ReadClaims | DeleteExpired | None


class ClaimExpiry:
    """One node's sweeps. They normally run on one node at a time, but need not."""

    def __init__(self, now_s: float, wall_offset_s: float) -> None:
        self._wall_offset_s = wall_offset_s
        self._next_sweep_s = now_s
        self._expired: dict[str, tuple[Row, ExpiryRecord]] = {}

    def next_tick_s(self) -> float:
        """Return when the next sweep is due."""
        return self._next_sweep_s

    def tick(self, now_s: float) -> SweepAction:
        """Start a sweep if one is due."""
        if now_s < self._next_sweep_s:
            return None
        self._next_sweep_s = now_s + IDLE_INTERVAL_S
        return ScanExpired(EXPIRY_PREFIX, SWEEP_ROWS)

    def scanned(self, answer: Result[list[Row], TableFault], now_s: float) -> SweepAction:
        """Handle the result of ``ScanExpired``: read the claims of the rows that have expired."""
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
        """Handle the result of ``ReadClaims``: build a delete transaction for each expired row."""
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
        # The key has been claimed again; the new claim gets its own expiry row when it ends.
        return Transaction((expiry_condition,), (delete_expiry,))
    claim_condition = Condition(row.key, row.version)
    return Transaction((expiry_condition, claim_condition), (delete_expiry, Write(row.key, None)))


def _may_expire(record: ClaimRecord, expiry: ExpiryRecord) -> bool:
    return record.state is not RecordState.CLAIMED and record.token == expiry.token


def _expired_object(record: ClaimRecord, expiry: ExpiryRecord) -> str | None:
    return record.answer_object if _may_expire(record, expiry) else None
