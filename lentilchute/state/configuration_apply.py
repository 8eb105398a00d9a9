"""Changes a service document by compare-and-set on its version; free of I/O.

Each change has an id. If the outcome of the write is unknown, the operation reads back the document
and its history, since another change may have followed, and looks for that id. A write that may
still be applied later is repeated under the same conditions until its outcome is known; at most one
of the copies can be applied. If the outcome is still unknown at the deadline, the change is
reported as unresolved and the operator retries it under the same id.
"""

from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..ids import DocumentVersion, ServiceName
from .configuration_records import (
    INDEX_KEY,
    DocumentRecord,
    IndexRecord,
    document_key,
    history_key,
    parse_document_row,
    parse_index_row,
)
from .platform_services import Condition, Row, TableFault, Transaction, Write

RETRY_DELAY_S = 0.25
"""Delay before a failed read or write is retried."""


class ApplyState(Enum):
    """The outcome of a change."""

    RUNNING = "running"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    """Another change was applied first; this one was not applied and never will be."""
    NOT_APPLIED = "not-applied"
    """The table could not be reached; nothing was written."""
    UNRESOLVED = "unresolved"
    """The write may have been or may still be applied; retry the change under the same id."""


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """A change requested by an operator. ``expected_version`` is 0 for a new service."""

    service: ServiceName
    text: str
    expected_version: DocumentVersion
    change_id: str
    author: str


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read these rows in one call; the result goes to ``rows_answered``."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CommitChange:
    """Commit the transaction; the result goes to ``commit_answered``."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class WaitBeforeRetry:
    """Call ``resume`` after this delay."""

    delay_s: float


ApplyAction = ReadRows | CommitChange | WaitBeforeRetry | None
"""The next action; ``None`` if the operation has ended."""


class ApplyOperation:
    """Applies one change to the table.

    The caller validates the document; this operation does not inspect its text. After
    ``ACCEPTED``, ``accepted_version`` is the version of the change.
    """

    def __init__(self, change: DocumentChange, deadline_s: float) -> None:
        self.change = change
        self.state = ApplyState.RUNNING
        self.current_version = DocumentVersion(0)
        """The version in the table if the operation ended in a conflict."""
        self.current_author = ""
        self._deadline_s = deadline_s
        self._may_be_committed = False

    @property
    def accepted_version(self) -> DocumentVersion:
        """The version that this change has once it is accepted."""
        return DocumentVersion(self.change.expected_version + 1)

    def start(self, now_s: float) -> ApplyAction:
        """Return the first action."""
        return self.resume(now_s)

    def resume(self, now_s: float) -> ApplyAction:
        """Read the rows, or end the operation if the deadline has passed."""
        if now_s >= self._deadline_s:
            unresolved = self._may_be_committed
            return self._finish(ApplyState.UNRESOLVED if unresolved else ApplyState.NOT_APPLIED)
        return ReadRows((self._document_key, self._history_key, INDEX_KEY))

    def rows_answered(
        self, answer: Result[dict[str, Row], TableFault], now_s: float
    ) -> ApplyAction:
        """Handle the result of ``ReadRows``: end the operation, retry, or commit the change."""
        if isinstance(answer, Err):
            return WaitBeforeRetry(RETRY_DELAY_S)
        rows = answer.ok_value
        current = _parse_record(rows.get(self._document_key))
        historic = _parse_record(rows.get(self._history_key))
        if any(
            record and record.change_id == self.change.change_id for record in (current, historic)
        ):
            return self._finish(ApplyState.ACCEPTED)
        table_version = 0 if current is None else current.version
        if historic is not None or table_version < self.change.expected_version:
            # A delayed copy of this write cannot be applied either: its condition fails.
            self.current_version = DocumentVersion(table_version)
            self.current_author = "" if current is None else current.author
            return self._finish(ApplyState.CONFLICT)
        if now_s >= self._deadline_s:
            return self.resume(now_s)
        if table_version > self.change.expected_version:
            # The rows were read at different times; the history row must exist by now, so reread.
            return self.resume(now_s)
        return CommitChange(self._transaction(rows))

    def commit_answered(self, answer: Result[None, TableFault], now_s: float) -> ApplyAction:
        """Handle the result of ``CommitChange``; after any failure the rows are read back."""
        if isinstance(answer, Ok):
            return self._finish(ApplyState.ACCEPTED)
        if answer.err_value is TableFault.CONFLICT:
            return ReadRows((self._document_key, self._history_key, INDEX_KEY))
        if answer.err_value is TableFault.UNKNOWN:
            self._may_be_committed = True
        return WaitBeforeRetry(RETRY_DELAY_S)

    @property
    def _document_key(self) -> str:
        return document_key(self.change.service)

    @property
    def _history_key(self) -> str:
        return history_key(self.change.service, self.accepted_version)

    def _transaction(self, rows: dict[str, Row]) -> Transaction:
        record = DocumentRecord(
            version=self.accepted_version,
            change_id=self.change.change_id,
            author=self.change.author,
            text=self.change.text,
        )
        value = record.model_dump_json()
        versions = _parse_index(rows.get(INDEX_KEY))
        versions[self.change.service] = self.accepted_version
        index = IndexRecord(versions=versions)
        return Transaction(
            conditions=(
                Condition(self._document_key, _row_version(rows.get(self._document_key))),
                Condition(self._history_key, 0),
                Condition(INDEX_KEY, _row_version(rows.get(INDEX_KEY))),
            ),
            writes=(
                Write(self._document_key, value),
                Write(self._history_key, value),
                Write(INDEX_KEY, index.model_dump_json()),
            ),
        )

    def _finish(self, state: ApplyState) -> ApplyAction:
        self.state = state
        return None


def _row_version(row: Row | None) -> int:
    return 0 if row is None else row.version


def _parse_record(row: Row | None) -> DocumentRecord | None:
    if row is None:
        return None
    return parse_document_row(row.value).unwrap()


def _parse_index(row: Row | None) -> dict[str, int]:
    if row is None:
        return {}
    return dict(parse_index_row(row.value).unwrap().versions)
