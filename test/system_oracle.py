"""Records of what callers sent and received and of what upstreams ran, with the checks over both.

Apart from the tickets that an entry reports as waiting, the checks use no internal state of the
product.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from lentilchute.entry.actions import BreakAnswer, SendEnd, SendHead, SendPart, SendRefusal
from lentilchute.scheduler.tickets import Outcome, RefusalReason

DEADLINE_SLACK_S = 1.0
LEAVING_LIMIT_S = 3.0
TICKET_VISIBLE_S = 0.05
TICKET_VISIBLE_AFTER_FAULT_S = 4.0
MAX_POISONED_ENGINES = 2
SHEDS = (RefusalReason.OVERLOADED, RefusalReason.DISPLACED)


def expected_parts(serial: int, is_engine: bool) -> list[bytes]:
    """Return the parts of the complete answer to the request with this serial number."""
    if not is_engine:
        return [f"posted {serial}".encode()]
    return [f"{serial}:{number} ".encode() for number in range(1, 6 + serial % 4 * 8)]


@dataclass
class CallerRecord:
    """One request from the point of view of its caller."""

    serial: int
    service: str
    tier: int
    entry: str
    sent_s: float
    deadline_s: float
    key: str | None
    content: str
    is_engine: bool
    is_poison: bool = False
    request_id: str | None = None
    entry_incarnation: int = 0
    waiting_since_s: float = 0.0
    """When its ticket was last submitted: on acceptance, or again after an unused grant."""
    has_head: bool = False
    body: bytes = b""
    end: str | None = None
    refusal: SendRefusal | None = None
    has_arrived: bool = False
    """Whether the request reached the entry's machine; its process may not have read it yet."""
    has_disconnected: bool = False
    shed_s: float | None = None
    """When a scheduler last decided to refuse the request."""
    shed_by: str | None = None

    @property
    def is_open(self) -> bool:
        """Whether the caller is still waiting for an answer."""
        return self.end is None and not self.has_disconnected


@dataclass
class Oracle:
    """The records, and the checks over them, which raise ``AssertionError``."""

    coverage: Counter[str]
    records: dict[int, CallerRecord] = field(default_factory=dict)
    by_request: dict[str, CallerRecord] = field(default_factory=dict)
    received: Counter[str] = field(default_factory=Counter)
    first_bytes: set[str] = field(default_factory=set)
    key_runs: dict[tuple[str, str], list[int]] = field(default_factory=lambda: defaultdict(list))
    poison_crashes: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    # Recorded occurrences.

    def accepted(self, record: CallerRecord, request_id: str, now_s: float) -> None:
        """Record that an entry accepted a request and assigned its id."""
        record.request_id = request_id
        record.waiting_since_s = now_s
        self.by_request[request_id] = record

    def first_byte(self, request_id: str) -> None:
        """Record that an entry is about to send the first byte of a request to an upstream."""
        record = self.by_request[request_id]
        assert request_id not in self.first_bytes, f"{request_id} was dispatched twice"
        self.first_bytes.add(request_id)
        if record.refusal is not None:
            raise AssertionError(f"{request_id} was dispatched after its refusal")

    def upstream_received(self, request_id: str, serial: int, upstream: str, now_s: float) -> None:
        """Record that an upstream received a request and runs it."""
        record = self.records[serial]
        self.received[request_id] += 1
        assert self.received[request_id] == 1, f"{request_id} reached upstreams more than once"
        self._check_not_run(record)
        if record.key is None:
            return
        runs = self.key_runs[record.service, record.key]
        runs.append(serial)
        assert len(runs) == 1, f"key {record.key} ran more than once: {runs}"

    def poison_crashed(self, serial: int, upstream: str) -> None:
        """Record that a request crashed the upstream that ran it."""
        content = self.records[serial].content
        self.poison_crashes[content] += 1
        self.coverage["engine crashed by a poison request"] += 1
        count = self.poison_crashes[content]
        assert count <= MAX_POISONED_ENGINES, f"{content} crashed {count} engines"

    def caller_received(self, action: object, request_id: str) -> None:
        """Record that a caller received a part of its answer, and check the order of the parts."""
        record = self.by_request[request_id]
        assert (
            record.end is None
        ), f"{request_id} received {action} after its answer ended: {record.end}"
        if isinstance(action, SendHead):
            assert not record.has_head
            record.has_head = True
        elif isinstance(action, SendPart):
            assert record.has_head
            record.body += action.data
        elif isinstance(action, SendEnd):
            record.end = "complete"
            self._check_complete(record)
        elif isinstance(action, SendRefusal):
            assert not record.has_head
            record.end = "refused"
            record.refusal = action
            self._record_refusal(record, action)
        elif isinstance(action, BreakAnswer):
            assert record.has_head
            record.end = "broken"
            self.coverage["caller saw a broken answer"] += 1

    def _record_refusal(self, record: CallerRecord, refusal: SendRefusal) -> None:
        self.coverage[f"refused {refusal.reason.value} ({refusal.outcome.value})"] += 1
        assert refusal.retry_after_s > 0
        self._check_not_run(record)
        assert (
            refusal.reason is not RefusalReason.STOPPING
        ), f"{record.request_id} was refused because of a planned stop"
        assert (
            refusal.reason is not RefusalReason.POISON or record.is_poison
        ), f"{record.request_id} was refused as poison but is not"

    # Checks.

    def _check_not_run(self, record: CallerRecord) -> None:
        refusal = record.refusal
        if refusal is None or refusal.outcome is not Outcome.NOT_RUN or not record.request_id:
            return
        for requests in (self.first_bytes, self.received):
            assert (
                record.request_id not in requests
            ), f"{record.request_id} ran although it was refused as not-run"

    def _check_complete(self, record: CallerRecord) -> None:
        serials = [record.serial]
        if record.key is not None:
            serials += self.key_runs[record.service, record.key]
        answers = [b"".join(expected_parts(serial, record.is_engine)) for serial in serials]
        assert (
            record.body in answers
        ), f"{record.request_id} ended as complete with the wrong body {record.body!r}"
        if record.key is not None and record.body != answers[0]:
            self.coverage["resend got the stored answer"] += 1
        self.coverage["complete answer"] += 1

    def check_shed(
        self, refused: CallerRecord, lower: list[CallerRecord], visible_after_s: float, now_s: float
    ) -> None:
        """Check that no lower tier's ticket had waited long enough to be known to the scheduler."""
        self.coverage[f"shed of tier {refused.tier}"] += 1
        for other in lower:
            waited_s = now_s - other.waiting_since_s
            assert waited_s < visible_after_s, (
                f"{refused.request_id} of tier {refused.tier} was shed at {now_s:.3f} while "
                f"{other.request_id} of tier {other.tier} had waited for {waited_s:.3f} s"
            )

    def check_deadlines(self, now_s: float, excused_until_s: Callable[[str], float]) -> None:
        """Check that every request is answered within a second after its deadline.

        ``excused_until_s`` gives the time until which an entry's process is frozen.
        """
        for record in self.records.values():
            limit_s = max(record.deadline_s, excused_until_s(record.entry)) + DEADLINE_SLACK_S
            assert not record.is_open or now_s <= limit_s, (
                f"request {record.serial} ({record.request_id}) is unanswered at {now_s:.3f}, "
                f"deadline {record.deadline_s:.3f}"
            )

    def node_died(self, name: str) -> None:
        """Record that the connections of a killed process's callers are broken."""
        for record in self.records.values():
            if record.entry == name and record.is_open and record.has_arrived:
                record.end = "broken"
                self.coverage["caller lost its entry"] += 1

    def open_at(self, name: str) -> list[CallerRecord]:
        """Return the requests that an entry has yet to answer."""
        return [
            record
            for record in self.records.values()
            if record.entry == name and record.is_open and record.has_arrived
        ]
