"""Fake platform table: a test decides when calls execute, and which writes or answers are lost."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from lentilchute.state.platform_services import Row, TableFault, Transaction


class CallFate(Enum):
    """The outcome of one call. A read fails as unavailable unless it is ``ANSWERED``."""

    ANSWERED = "answered"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer lost after the write"
    LATE_WRITE = "write takes effect later, answer lost"
    NEVER_WRITTEN = "write lost, answer unknown"


@dataclass(eq=False)
class TableCall:
    """A call in flight; ``deliver`` passes its answer to the node that made it."""

    node: str
    deliver: Callable[[Any], None]
    transaction: Transaction | None = None
    keys: tuple[str, ...] = ()
    answer: Result[Any, TableFault] | None = None


@dataclass
class FakeTable:
    """The rows, and the writes that the table has yet to apply."""

    rows: dict[str, Row] = field(default_factory=dict)
    late: list[Transaction] = field(default_factory=list)

    def get_many(self, keys: tuple[str, ...]) -> dict[str, Row]:
        return {key: self.rows[key] for key in keys if key in self.rows}

    def scan(self, prefix: str, limit: int) -> list[Row]:
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys[:limit]]

    def commit(self, transaction: Transaction) -> Result[None, TableFault]:
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (0 if row is None else row.version) != condition.version:
                return Err(TableFault.CONFLICT)
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            row = self.rows.get(write.key)
            version = 1 if row is None else row.version + 1
            self.rows[write.key] = Row(write.key, version, write.value)
        return Ok(None)

    def execute(self, call: TableCall, fate: CallFate) -> None:
        """Execute the call and set the answer that its node will receive."""
        if fate is CallFate.UNAVAILABLE or (call.transaction is None and fate != fate.ANSWERED):
            call.answer = Err(TableFault.UNAVAILABLE)
        elif call.transaction is None:
            call.answer = Ok(self.get_many(call.keys))
        elif fate is CallFate.ANSWERED:
            call.answer = self.commit(call.transaction)
        else:
            self._execute_unanswered(call.transaction, fate)
            call.answer = Err(TableFault.UNKNOWN)

    def apply_late(self, index: int) -> Result[None, TableFault]:
        """Apply a delayed write whose caller has already stopped waiting."""
        return self.commit(self.late.pop(index))

    def _execute_unanswered(self, transaction: Transaction, fate: CallFate) -> None:
        if fate is CallFate.ANSWER_LOST:
            self.commit(transaction)
        elif fate is CallFate.LATE_WRITE:
            self.late.append(transaction)
