"""State of the platform stand-in: a table, an object store, an instance list and switches."""

import random
from enum import Enum

from sortedcontainers import SortedDict

from ..state.platform_services import Condition, ListedInstance, Row, Transaction
from .routes import WireModel


class Outage(Enum):
    """How the platform's services fail."""

    NONE = "none"
    REFUSING = "refusing"
    """Every request gets status 503 and has no effect."""
    SILENT = "silent"
    """No request is answered or has an effect."""


class PlatformControl(WireModel):
    """Switches; a control request replaces the ones that it contains."""

    outage: Outage = Outage.NONE
    services: tuple[str, ...] = ("table", "objects", "instances")
    """The services that the outage and the delay affect."""
    lost_answers: int = 0
    """The next N writes take effect, but their connection is cut without an answer."""
    lost_writes: int = 0
    """The next N writes have no effect, and their connection is cut without an answer."""
    lost_answer_share: float = 0.0
    """Fraction of writes, chosen at random, whose answer is lost."""
    delay_s: float = 0.0
    instance_lag_s: float = 0.0
    max_writes_per_s: int = 100_000
    max_reads_per_s: int = 100_000


class WriteOutcome(Enum):
    """How a write ends, according to the switches."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer-lost"
    WRITE_LOST = "write-lost"


class TableState:
    """Rows with versions, and conditional transactions over them.

    Row versions start at 1, and start at 1 again for a row that was deleted and written anew.
    """

    def __init__(self) -> None:
        self._rows: SortedDict[str, Row] = SortedDict()

    def get(self, key: str) -> Row | None:
        """Return a row, or ``None``."""
        row: Row | None = self._rows.get(key)
        return row

    def scan(self, prefix: str, limit: int) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        rows: list[Row] = []
        for key in self._rows.irange(prefix):
            if len(rows) == limit or not key.startswith(prefix):
                break
            rows.append(self._rows[key])
        return rows

    def commit(self, transaction: Transaction) -> bool:
        """Apply a transaction; return false when a condition does not hold."""
        if not all(self._holds(condition) for condition in transaction.conditions):
            return False
        for write in transaction.writes:
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = Row(write.key, self._version(write.key) + 1, write.value)
        return True

    def _holds(self, condition: Condition) -> bool:
        return self._version(condition.key) == condition.version

    def _version(self, key: str) -> int:
        row = self.get(key)
        return row.version if row else 0


class InstanceList:
    """The instance list with its history, from which a delayed view can be returned."""

    def __init__(self) -> None:
        self._history: list[tuple[float, dict[str, ListedInstance]]] = [(float("-inf"), {})]

    def put(self, instance: ListedInstance, now_s: float) -> None:
        """Add or replace an instance."""
        self._history.append((now_s, {**self._history[-1][1], instance.name: instance}))

    def remove(self, name: str, now_s: float) -> None:
        """Remove an instance."""
        instances = {key: instance for key, instance in self._history[-1][1].items() if key != name}
        self._history.append((now_s, instances))

    def listed_at(self, time_s: float) -> list[ListedInstance]:
        """Return the list as of ``time_s``."""
        snapshots = [instances for since_s, instances in self._history if since_s <= time_s]
        return list(snapshots[-1].values())


class RateLimiter:
    """Counts operations and limits them per second."""

    def __init__(self) -> None:
        self.total = 0
        self._second = -1
        self._in_second = 0

    def admits(self, limit: int, now_s: float) -> bool:
        """Count one operation; return false if it exceeds ``limit`` in the current second."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._in_second = 0
        self._in_second += 1
        self.total += 1
        return self._in_second <= limit


class PlatformState:
    """Complete state of the platform stand-in."""

    def __init__(self, seed: int) -> None:
        self.table = TableState()
        self.objects: dict[str, bytes] = {}
        self.instances = InstanceList()
        self.control = PlatformControl()
        self.reads = RateLimiter()
        self.writes = RateLimiter()
        self._rng = random.Random(seed)

    def apply_control(self, changes: PlatformControl) -> None:
        """Replace the switches that a control request contains."""
        named = {name: getattr(changes, name) for name in changes.model_fields_set}
        self.control = self.control.model_copy(update=named)

    def next_write_outcome(self) -> WriteOutcome:
        """Return how the next write ends, and decrement the switch that applies."""
        control = self.control
        if control.lost_writes > 0:
            self.control = control.model_copy(update={"lost_writes": control.lost_writes - 1})
            return WriteOutcome.WRITE_LOST
        if control.lost_answers > 0:
            self.control = control.model_copy(update={"lost_answers": control.lost_answers - 1})
            return WriteOutcome.ANSWER_LOST
        if self._rng.random() < control.lost_answer_share:
            return WriteOutcome.ANSWER_LOST
        return WriteOutcome.ANSWERED
