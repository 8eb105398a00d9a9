"""Leases for orders to engines, one table row per service; free of I/O.

The holder measures the lease from before it sent the renewal, on its own clock. Another node that
wants the lease waits until the row has been unchanged for the full lease duration since that node
first read this version. Clocks of different nodes are therefore never compared, and a margin covers
differences in their rates. Each new holder takes the next fencing number, including the same node
after its lease has expired.
"""

import math
import random
from dataclasses import dataclass
from enum import Enum

from result import Err, Result

from ..ids import FencingNumber, IncarnationId, ServiceName
from .lease_records import LeaseRecord, lease_key, next_fencing, parse_lease_row
from .platform_services import Condition, Row, TableFault, Transaction, Write

LEASE_DURATION_S = 10.0
RENEW_AFTER_S = 3.0
"""Age at which a held lease is renewed."""
DRIFT_FACTOR = 1.05
"""Another node waits this multiple of the duration, to allow for clock drift."""
RETRY_DELAY_S = 1.0
"""Delay after a failure, and the longest delay between reads of another holder's lease."""


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the row; the result goes to ``row_read``."""

    call_id: int
    service: ServiceName
    key: str


@dataclass(frozen=True, slots=True)
class CommitLease:
    """Commit the transaction; the result goes to ``committed``."""

    call_id: int
    service: ServiceName
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This node holds the lease under a new fencing number."""

    service: ServiceName
    fencing: FencingNumber


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This node's lease expired, was taken by another node or was released."""

    service: ServiceName
    fencing: FencingNumber


LeaseAction = ReadLease | CommitLease | LeaseAcquired | LeaseLost


class _Step(Enum):
    READ = "read"
    WRITE = "write"
    WAIT = "wait"


@dataclass(slots=True)
class _Lease:
    """This node's view of one lease."""

    service: ServiceName
    step: _Step = _Step.READ
    due_s: float = 0.0
    call_id: int | None = None
    sent_s: float = 0.0
    version: int = 0
    record: LeaseRecord | None = None
    version_seen_s: float = 0.0
    """When ``version`` was first read, which is never before its write was applied."""
    held_fencing: FencingNumber | None = None
    held_until_s: float = -math.inf
    last_lost_fencing: int = 0
    pending_record: LeaseRecord | None = None
    is_wanted: bool = True


class LeaseRegistry:
    """The leases that one node holds or tries to acquire."""

    def __init__(self, incarnation: IncarnationId, rng: random.Random) -> None:
        self._incarnation = incarnation
        self._rng = rng
        self._leases: dict[ServiceName, _Lease] = {}
        self._last_id = 0

    def acquire(self, service: ServiceName, now_s: float) -> list[LeaseAction]:
        """Start acquiring the lease; once held, it is renewed until ``release``."""
        lease = self._leases.setdefault(service, _Lease(service, due_s=now_s))
        lease.is_wanted = True
        return self.tick(now_s)

    def release(self, service: ServiceName, now_s: float) -> list[LeaseAction]:
        """Stop using the lease at once, and free its row so that the next holder need not wait."""
        lease = self._leases.get(service)
        if lease is None:
            return []
        lease.is_wanted = False
        actions = self._drop(lease)
        if not actions and lease.call_id is None:
            del self._leases[service]
        return actions + self.tick(now_s)

    def fencing(
        self, service: ServiceName, min_remaining_s: float, now_s: float
    ) -> FencingNumber | None:
        """Return the fencing number if more than ``min_remaining_s`` of the lease remain.

        Call this just before each use: after a process pause the lease may have expired.
        """
        lease = self._leases.get(service)
        if (
            lease is None
            or lease.held_fencing is None
            or now_s + min_remaining_s >= lease.held_until_s
        ):
            return None
        return lease.held_fencing

    def row_condition(self, service: ServiceName) -> Condition | None:
        """Return a condition that requires the lease row as this node last wrote it."""
        lease = self._leases.get(service)
        if lease is None or lease.held_fencing is None:
            return None
        return Condition(lease_key(service), lease.version)

    def tick(self, now_s: float) -> list[LeaseAction]:
        """Report expired leases and send due operations."""
        actions: list[LeaseAction] = []
        for lease in list(self._leases.values()):
            if lease.held_fencing is not None and now_s >= lease.held_until_s:
                actions += self._drop(lease)
                lease.step = _Step.READ
                lease.due_s = now_s
            if lease.call_id is None and now_s >= lease.due_s:
                actions += self._send(lease, now_s)
        return actions

    def next_tick_s(self) -> float:
        """Return when ``tick`` is next due."""
        times = [lease.due_s for lease in self._leases.values() if lease.call_id is None]
        times += [
            lease.held_until_s for lease in self._leases.values() if lease.held_fencing is not None
        ]
        return min(times, default=math.inf)

    def row_read(
        self, call_id: int, answer: Result[Row | None, TableFault], now_s: float
    ) -> list[LeaseAction]:
        """Handle the result of ``ReadLease``."""
        lease = self._end_call(call_id)
        if lease is None:
            return []
        if isinstance(answer, Err):
            self._schedule_retry(lease, now_s)
            return []
        row = answer.ok_value
        version = 0 if row is None else row.version
        if version != lease.version or lease.record is None:
            lease.version = version
            lease.version_seen_s = now_s
        lease.record = None if row is None else parse_lease_row(row.value)
        return self._plan_step(lease, now_s) + self.tick(now_s)

    def committed(
        self, call_id: int, answer: Result[None, TableFault], now_s: float
    ) -> list[LeaseAction]:
        """Handle the result of ``CommitLease``; after any failure the row is read back."""
        lease = self._end_call(call_id)
        if lease is None:
            return []
        record = lease.pending_record
        lease.pending_record = None
        if isinstance(answer, Err) or record is None:
            lease.step = _Step.READ
            lease.due_s = now_s if answer == Err(TableFault.CONFLICT) else now_s + RETRY_DELAY_S / 4
            return []
        lease.version += 1
        lease.record = record
        lease.version_seen_s = now_s
        return self._record_written(lease, record, now_s) + self.tick(now_s)

    def _plan_step(self, lease: _Lease, now_s: float) -> list[LeaseAction]:
        record = lease.record
        if not lease.is_wanted:
            return self._plan_release(lease, record)
        if (
            lease.held_fencing is not None
            and record is not None
            and record.fencing == lease.held_fencing
        ):
            # The result of a renewal is unknown, so the lease is not extended by it.
            lease.step = _Step.WRITE
            lease.due_s = now_s
            return []
        actions = self._drop(lease)
        wait_s = self._remaining_wait_s(lease, now_s)
        lease.step = _Step.WRITE if wait_s <= 0 else _Step.WAIT
        lease.due_s = now_s + min(max(wait_s, 0.0), RETRY_DELAY_S)
        return actions

    def _plan_release(self, lease: _Lease, record: LeaseRecord | None) -> list[LeaseAction]:
        if record is not None and record.is_held_by(self._incarnation):
            lease.step = _Step.WRITE
        else:
            del self._leases[lease.service]
        return []

    def _remaining_wait_s(self, lease: _Lease, now_s: float) -> float:
        """Return how long the holder in ``lease.record`` may still hold the lease."""
        record = lease.record
        if record is None or not record.holder or record.is_held_by(self._incarnation):
            return 0.0
        return lease.version_seen_s + record.duration_s * DRIFT_FACTOR - now_s

    def _send(self, lease: _Lease, now_s: float) -> list[LeaseAction]:
        self._last_id += 1
        lease.call_id = self._last_id
        lease.sent_s = now_s
        key = lease_key(lease.service)
        if lease.step is not _Step.WRITE:
            return [ReadLease(lease.call_id, lease.service, key)]
        lease.pending_record = self._record_to_write(lease)
        value = lease.pending_record.model_dump_json()
        transaction = Transaction((Condition(key, lease.version),), (Write(key, value),))
        return [CommitLease(lease.call_id, lease.service, transaction)]

    def _record_to_write(self, lease: _Lease) -> LeaseRecord:
        if not lease.is_wanted:
            fencing = 0 if lease.record is None else lease.record.fencing
            return LeaseRecord(holder="", fencing=fencing, duration_s=LEASE_DURATION_S)
        fencing = next_fencing(lease.record) if lease.held_fencing is None else lease.held_fencing
        return LeaseRecord(holder=self._incarnation, fencing=fencing, duration_s=LEASE_DURATION_S)

    def _record_written(
        self, lease: _Lease, record: LeaseRecord, now_s: float
    ) -> list[LeaseAction]:
        if not lease.is_wanted:
            if record.holder:
                lease.step = _Step.WRITE
                lease.due_s = now_s
            else:
                del self._leases[lease.service]
            return []
        lease.step = _Step.WRITE
        if not record.holder or record.fencing <= lease.last_lost_fencing:
            # The write was sent before the lease was lost or released. Its fencing number is not
            # reused, because orders under each number are counted from one.
            lease.due_s = now_s
            return []
        until_s = lease.sent_s + LEASE_DURATION_S
        lease.due_s = lease.sent_s + RENEW_AFTER_S
        if now_s >= until_s:
            return []
        is_new = lease.held_fencing is None
        lease.held_fencing = FencingNumber(record.fencing)
        lease.held_until_s = until_s
        return [LeaseAcquired(lease.service, lease.held_fencing)] if is_new else []

    def _drop(self, lease: _Lease) -> list[LeaseAction]:
        if lease.held_fencing is None:
            return []
        lost = LeaseLost(lease.service, lease.held_fencing)
        lease.last_lost_fencing = lease.held_fencing
        lease.held_fencing = None
        lease.held_until_s = -math.inf
        return [lost]

    def _schedule_retry(self, lease: _Lease, now_s: float) -> None:
        lease.step = _Step.READ
        lease.due_s = now_s + RETRY_DELAY_S * self._rng.uniform(0.5, 1.0)

    def _end_call(self, call_id: int) -> _Lease | None:
        for lease in self._leases.values():
            if lease.call_id == call_id:
                lease.call_id = None
                return lease
        return None
