"""State machine test of idempotency keys: several nodes, one table and random faults.

The oracle records which requests were granted, which of them ran and how each claim was resolved.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar

from coverage_counter import CoverageCounter
from fakes import CallFate, FakeTable, TableCall
from result import Err, Ok
from step_machine import Draw, StepMachine, run_steps

from lentilchute.ids import (
    ClientAccountId,
    Fingerprint,
    IdempotencyKey,
    IncarnationId,
    RequestId,
    ServiceName,
    request_id,
)
from lentilchute.settings import ClaimSettings
from lentilchute.state.claim_actions import (
    AskClaimant,
    ClaimAction,
    ClaimReplyState,
    ClaimResolved,
    CommitTable,
    GetObject,
    PutObject,
    ReadTable,
)
from lentilchute.state.claim_answers import ClaimAnswer, ClaimRequest, ClaimState, KeptAnswer
from lentilchute.state.claim_records import RecordState, claim_key, parse_claim_row
from lentilchute.state.claims import ClaimRegistry
from lentilchute.state.platform_services import TableFault

KEYS = ("k1", "k2", "k3", "k4", "k5")
NODES = ("entry-1", "entry-2", "entry-3")
SMALL_ANSWER = KeptAnswer(200, (("content-type", "text/plain"),), b"booked \x00\xff")
LARGE_ANSWER = KeptAnswer(201, (), b"statement " * 40)
SETTINGS = ClaimSettings(
    total_writes_per_s=30.0, total_reads_per_s=30.0, batch_claims=3, inline_answer_bytes=200
)
COVERAGE = CoverageCounter(
    "claims",
    (
        *(f"write {fate.value}" for fate in CallFate),
        *(f"read {fate.value}" for fate in (CallFate.ANSWERED, CallFate.UNAVAILABLE)),
        *(f"resolved {state.value}" for state in ClaimState),
        "late write applied",
        "late write rejected",
        "late write of an abandoned claim applied",
        "several claims in one transaction",
        "batch met a conflict",
        "claimant killed",
        "claimant killed while it held the key",
        "node frozen past deadlines",
        "claimant unreachable",
        "claimant answered twice",
        "granted claim released",
        "claim abandoned before its result",
        "deadline passed with a write in flight",
        "key run after an earlier claimant released it",
        "kept answer from the object store",
        "kept answer from the table",
        "object store failed",
        "dispatched with unknown outcome",
    ),
)


@dataclass(eq=False)
class TrackedRequest:
    """The oracle's record of one request."""

    request: ClaimRequest
    node: str
    answer: ClaimAnswer | None = None
    gave_up: bool = False
    released: bool = False
    ran: bool = False
    finished: bool = False
    abandoned: bool = False
    kept: KeptAnswer | None = None

    @property
    def holds_key(self) -> bool:
        granted = self.answer is not None and self.answer.state is ClaimState.GRANTED
        return granted and not self.released

    @property
    def may_dispatch(self) -> bool:
        return self.holds_key and not self.ran and not self.gave_up


@dataclass(eq=False)
class Node:
    """One process: its registry, and whether it is paused."""

    name: str
    incarnation: IncarnationId
    registry: ClaimRegistry
    frozen: bool = False
    sequence: int = 0


@dataclass(eq=False)
class Question:
    """A query in flight to a claimant, or its reply in flight."""

    node: Node
    action: AskClaimant
    reply: ClaimReplyState | None = None


@dataclass(eq=False)
class World:
    """Everything outside the registries."""

    table: FakeTable = field(default_factory=FakeTable)
    objects: dict[str, bytes] = field(default_factory=dict)
    calls: list[TableCall] = field(default_factory=list)
    object_calls: list[tuple[Node, PutObject | GetObject]] = field(default_factory=list)
    questions: list[Question] = field(default_factory=list)
    requests: dict[RequestId, TrackedRequest] = field(default_factory=dict)


class ClaimsMachine(StepMachine):
    WEIGHTS: ClassVar = {
        "caller_sends": 4,
        "entry_dispatches": 4,
        "run_ends": 4,
        "run_breaks": 1,
        "entry_gives_up": 3,
        "table_executes": 8,
        "table_answers": 8,
        "platform_works": 3,
        "late_write_arrives": 4,
        "objects_answer": 4,
        "question_arrives": 4,
        "reply_arrives": 4,
        "time_passes": 6,
        "node_freezes_or_wakes": 2,
        "node_dies": 1,
    }

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0
        self.world = World()
        self.incarnations = 0
        self.nodes = {name: self.start_node(name) for name in NODES}
        self.gone: set[IncarnationId] = set()

    def start_node(self, name: str) -> Node:
        self.incarnations += 1
        incarnation = IncarnationId(f"{name}.{self.incarnations}")
        rng = random.Random(self.incarnations)
        registry = ClaimRegistry(incarnation, SETTINGS, rng, self.now_s, wall_offset_s=1e9)
        return Node(name, incarnation, registry)

    def node_of(self, incarnation: IncarnationId) -> Node | None:
        alive = [node for node in self.nodes.values() if node.incarnation == incarnation]
        return alive[0] if alive else None

    # Execution of actions.

    def run_actions(self, node: Node, actions: list[ClaimAction]) -> None:
        for action in actions:
            if isinstance(action, CommitTable):
                self.send_commit(node, action)
            elif isinstance(action, ReadTable):
                self.send_read(node, action)
            elif isinstance(action, PutObject | GetObject):
                self.world.object_calls.append((node, action))
            elif isinstance(action, AskClaimant):
                self.world.questions.append(Question(node, action))
            else:
                self.record_resolved(action)

    def send_commit(self, node: Node, action: CommitTable) -> None:
        if len(action.transaction.conditions) > 1:
            COVERAGE.hit("several claims in one transaction")

        def deliver(answer: Any) -> None:
            many = len(action.transaction.conditions) > 1
            if many and answer == Err(TableFault.CONFLICT):
                COVERAGE.hit("batch met a conflict")
            self.run_actions(
                node, node.registry.table_committed(action.call_id, answer, self.now_s)
            )

        call = TableCall(node.incarnation, deliver, transaction=action.transaction)
        self.world.calls.append(call)

    def send_read(self, node: Node, action: ReadTable) -> None:
        def deliver(answer: Any) -> None:
            self.run_actions(node, node.registry.table_read(action.call_id, answer, self.now_s))

        self.world.calls.append(TableCall(node.incarnation, deliver, keys=action.keys))

    def record_resolved(self, action: ClaimResolved) -> None:
        tracked = self.world.requests[action.request_id]
        assert tracked.answer is None, "a claim was resolved twice"
        assert not tracked.gave_up, "a request that gave up got an answer"
        tracked.answer = action.answer
        COVERAGE.hit(f"resolved {action.answer.state.value}")
        self.check_answer(tracked, action.answer)

    def check_answer(self, tracked: TrackedRequest, answer: ClaimAnswer) -> None:
        others = [other for other in self.requests_of_key(tracked) if other is not tracked]
        if answer.state is ClaimState.FINISHED:
            ran = [other for other in others if other.finished]
            assert len(ran) == 1
            assert answer.kept in (ran[0].kept, None)
            if answer.kept == SMALL_ANSWER:
                COVERAGE.hit("kept answer from the table")
            if answer.kept == LARGE_ANSWER:
                COVERAGE.hit("kept answer from the object store")
        elif answer.state is ClaimState.OTHER_BODY:
            fingerprint = tracked.request.fingerprint
            assert any(other.request.fingerprint != fingerprint for other in others)
        elif answer.state in (ClaimState.MAY_HAVE_RUN, ClaimState.RUNNING_ELSEWHERE):
            assert others, "a key that no other request used was reported as run"

    def requests_of_key(self, tracked: TrackedRequest) -> list[TrackedRequest]:
        key = claim_key(tracked.request)
        return [other for other in self.world.requests.values() if claim_key(other.request) == key]

    # Rules: callers and entries.

    def do_caller_sends(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        if node.frozen:
            return
        key = draw(KEYS)
        body = draw(["b1", "b1", "b1", "b2"])
        self.send(node, key, body, draw([0.3, 2.0, 10.0]))

    def send(self, node: Node, key: str, body: str, timeout_s: float) -> TrackedRequest:
        node.sequence += 1
        request = ClaimRequest(
            request_id(node.incarnation, node.sequence),
            ServiceName("agenda-core"),
            ClientAccountId("house-1"),
            IdempotencyKey(key),
            Fingerprint(body),
            self.now_s + timeout_s,
        )
        tracked = TrackedRequest(request, node.incarnation)
        self.world.requests[request.request_id] = tracked
        self.run_actions(node, node.registry.claim(request, self.now_s))
        return tracked

    def pick_request(self, draw: Draw, which: Any) -> tuple[TrackedRequest, Node] | None:
        found = []
        for tracked in self.world.requests.values():
            node = self.node_of(IncarnationId(tracked.node))
            if node is not None and not node.frozen and which(tracked):
                found.append((tracked, node))
        return draw(found) if found else None

    def do_entry_dispatches(self, draw: Draw) -> None:
        picked = self.pick_request(draw, lambda tracked: tracked.may_dispatch)
        if picked is None:
            return
        tracked = picked[0]
        tracked.ran = True
        if any(other.released for other in self.requests_of_key(tracked)):
            COVERAGE.hit("key run after an earlier claimant released it")

    def do_run_ends(self, draw: Draw) -> None:
        picked = self.pick_request(
            draw, lambda tracked: tracked.ran and not tracked.finished and not tracked.abandoned
        )
        if picked is None:
            return
        tracked, node = picked
        tracked.finished = True
        tracked.kept = draw([SMALL_ANSWER, LARGE_ANSWER, LARGE_ANSWER, None])
        self.run_actions(
            node, node.registry.finished(tracked.request.request_id, tracked.kept, self.now_s)
        )

    def do_run_breaks(self, draw: Draw) -> None:
        picked = self.pick_request(
            draw, lambda tracked: tracked.ran and not tracked.finished and not tracked.abandoned
        )
        if picked is None:
            return
        tracked, node = picked
        tracked.abandoned = True
        node.registry.abandoned(tracked.request.request_id)
        COVERAGE.hit("dispatched with unknown outcome")

    def do_entry_gives_up(self, draw: Draw) -> None:
        picked = self.pick_request(
            draw, lambda tracked: tracked.answer is None or tracked.may_dispatch
        )
        if picked is None or picked[0].gave_up:
            return
        tracked, node = picked
        if tracked.answer is None:
            COVERAGE.hit("claim abandoned before its result")
        else:
            COVERAGE.hit("granted claim released")
        tracked.gave_up = True
        tracked.released = True
        self.run_actions(node, node.registry.release(tracked.request.request_id, self.now_s))

    # Rules: the platform.

    def do_table_executes(self, draw: Draw) -> None:
        open_calls = [call for call in self.world.calls if call.answer is None]
        if not open_calls:
            return
        call = draw(open_calls)
        fate = draw([CallFate.ANSWERED, CallFate.ANSWERED, *CallFate])
        if call.transaction is None and fate is not CallFate.ANSWERED:
            fate = CallFate.UNAVAILABLE
        COVERAGE.hit(f"{'read' if call.transaction is None else 'write'} {fate.value}")
        self.world.table.execute(call, fate)

    def do_table_answers(self, draw: Draw) -> None:
        ready = [call for call in self.world.calls if call.answer is not None]
        if ready:
            self.deliver(draw(ready))

    def deliver(self, call: TableCall) -> None:
        node = self.node_of(IncarnationId(call.node))
        if node is not None and node.frozen:
            return
        self.world.calls.remove(call)
        if node is not None:
            call.deliver(call.answer)

    def do_platform_works(self, draw: Draw) -> None:
        for call in list(self.world.calls):
            if call.answer is None:
                self.world.table.execute(call, CallFate.ANSWERED)
            self.deliver(call)

    def do_late_write_arrives(self, draw: Draw) -> None:
        if not self.world.table.late:
            return
        index = draw(range(len(self.world.table.late)))
        transaction = self.world.table.late[index]
        if isinstance(self.world.table.apply_late(index), Err):
            COVERAGE.hit("late write rejected")
            return
        COVERAGE.hit("late write applied")
        for write in transaction.writes:
            record = None if write.value is None else parse_claim_row(write.value)
            if record is None or record.state is not RecordState.CLAIMED:
                continue
            if self.world.requests[RequestId(record.request_id)].gave_up:
                COVERAGE.hit("late write of an abandoned claim applied")

    def do_objects_answer(self, draw: Draw) -> None:
        if not self.world.object_calls:
            return
        item = draw(self.world.object_calls)
        works = draw([True, True, False])
        if not works:
            COVERAGE.hit("object store failed")
        self.answer_object_call(item, works)

    def answer_object_call(self, item: tuple[Node, PutObject | GetObject], works: bool) -> None:
        node, action = item
        is_running = self.node_of(node.incarnation) is node
        if node.frozen and is_running:
            return
        self.world.object_calls.remove(item)
        if isinstance(action, PutObject):
            if works:
                self.world.objects[action.key] = action.body
            answer = Ok(None) if works else Err(TableFault.UNKNOWN)
            if is_running:
                self.run_actions(
                    node, node.registry.object_stored(action.call_id, answer, self.now_s)
                )
        elif is_running:
            found = Ok(self.world.objects.get(action.key)) if works else Err(TableFault.UNAVAILABLE)
            self.run_actions(node, node.registry.object_fetched(action.call_id, found, self.now_s))

    # Rules: messages between nodes.

    def do_question_arrives(self, draw: Draw) -> None:
        if self.world.questions:
            self.deliver_question(draw(self.world.questions), draw([True, True, True, False]))

    def deliver_question(self, question: Question, arrives: bool) -> None:
        if question.reply is not None:
            return
        query = question.action.query
        claimant = self.node_of(query.claimant)
        if claimant is None:
            question.reply = ClaimReplyState.GONE
        elif claimant.frozen or not arrives:
            question.reply = ClaimReplyState.UNREACHABLE
            COVERAGE.hit("claimant unreachable")
        else:
            question.reply = claimant.registry.answer_peer_query(query)

    def do_reply_arrives(self, draw: Draw) -> None:
        if self.world.questions:
            self.deliver_reply(draw(self.world.questions), draw([True, False]))

    def deliver_reply(self, question: Question, again: bool) -> None:
        node = question.node
        is_running = self.node_of(node.incarnation) is node
        if question.reply is None or (node.frozen and is_running):
            return
        self.world.questions.remove(question)
        if not is_running:
            return
        query_id = question.action.query_id
        self.run_actions(
            node, node.registry.claimant_answered(query_id, question.reply, self.now_s)
        )
        if again:
            COVERAGE.hit("claimant answered twice")
            self.run_actions(
                node, node.registry.claimant_answered(query_id, question.reply, self.now_s)
            )

    # Rules: time and processes.

    def do_time_passes(self, draw: Draw) -> None:
        self.now_s += draw([0.05, 0.3, 0.3, 1.0, 4.0])
        for node in self.nodes.values():
            if not node.frozen:
                self.tick(node)

    def tick(self, node: Node) -> None:
        writing = {
            condition.key
            for call in self.world.calls
            if call.node == node.incarnation and call.transaction is not None
            for condition in call.transaction.conditions
        }
        before = [tracked for tracked in self.world.requests.values() if tracked.answer is None]
        self.run_actions(node, node.registry.tick(self.now_s))
        for tracked in before:
            if tracked.node != node.incarnation or tracked.answer is None:
                continue
            if claim_key(tracked.request) in writing:
                COVERAGE.hit("deadline passed with a write in flight")

    def do_node_freezes_or_wakes(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        if node.frozen:
            late = [
                tracked
                for tracked in self.world.requests.values()
                if tracked.node == node.incarnation
            ]
            if any(
                tracked.request.deadline_s < self.now_s and tracked.answer is None
                for tracked in late
            ):
                COVERAGE.hit("node frozen past deadlines")
        node.frozen = not node.frozen

    def do_node_dies(self, draw: Draw) -> None:
        name = draw(NODES)
        announced = draw([True, False])
        old = self.nodes[name]
        COVERAGE.hit("claimant killed")
        held = [
            tracked for tracked in self.world.requests.values() if tracked.node == old.incarnation
        ]
        if any(tracked.holds_key and not tracked.finished for tracked in held):
            COVERAGE.hit("claimant killed while it held the key")
        self.nodes[name] = self.start_node(name)
        self.gone.add(old.incarnation)
        if announced:
            for node in self.nodes.values():
                if not node.frozen:
                    self.run_actions(
                        node, node.registry.incarnation_gone(old.incarnation, self.now_s)
                    )

    # The oracle.

    def check(self) -> None:
        ran = [
            claim_key(tracked.request) for tracked in self.world.requests.values() if tracked.ran
        ]
        assert len(ran) == len(set(ran)), "a key ran twice"
        held = [
            claim_key(tracked.request)
            for tracked in self.world.requests.values()
            if tracked.ran or (tracked.may_dispatch and self.node_of(IncarnationId(tracked.node)))
        ]
        assert len(held) == len(set(held)), "two requests may run under one key"

    def teardown(self) -> None:
        """Stop all faults; every claim must be resolved and no stale claim may remain."""
        for node in self.nodes.values():
            node.frozen = False
        while self.world.table.late:
            self.world.table.apply_late(0)
        self.settle_until(self.is_quiet)
        self.check_nothing_leaks()
        self.check_free_keys_can_be_claimed()

    def is_quiet(self) -> bool:
        alive = {node.incarnation for node in self.nodes.values()}
        awaited = [tracked for tracked in self.world.requests.values() if tracked.node in alive]
        if any(tracked.answer is None and not tracked.gave_up for tracked in awaited):
            return False
        return all(node.registry.is_idle for node in self.nodes.values())

    def settle_until(self, is_over: Callable[[], bool]) -> None:
        for _ in range(600):
            if is_over():
                return
            self.settle()

    def settle(self) -> None:
        for call in list(self.world.calls):
            if call.answer is None:
                self.world.table.execute(call, CallFate.ANSWERED)
            self.deliver(call)
        for item in list(self.world.object_calls):
            self.answer_object_call(item, True)
        for question in list(self.world.questions):
            self.deliver_question(question, True)
            self.deliver_reply(question, False)
        if not (self.world.calls or self.world.questions):
            self.now_s += 0.1
            for node in self.nodes.values():
                self.tick(node)
        self.check()

    def check_nothing_leaks(self) -> None:
        for node in self.nodes.values():
            assert node.registry.is_idle
        for tracked in self.world.requests.values():
            if self.node_of(IncarnationId(tracked.node)) is not None and not tracked.gave_up:
                assert tracked.answer is not None, "a claim was never resolved"
        for row in self.world.table.rows.values():
            record = parse_claim_row(row.value)
            if record is None or record.state is not RecordState.CLAIMED:
                continue
            tracked = self.world.requests[RequestId(record.request_id)]
            if self.node_of(record.claimant) is not None:
                assert tracked.holds_key and not tracked.finished, "a claim was not cleaned up"

    def check_free_keys_can_be_claimed(self) -> None:
        for key in KEYS:
            requests = [
                tracked for tracked in self.world.requests.values() if tracked.request.key == key
            ]
            settled = all(
                tracked.released
                or (tracked.answer and tracked.answer.state is not ClaimState.GRANTED)
                for tracked in requests
            )
            if not settled or any(
                self.node_of(IncarnationId(tracked.node)) is None for tracked in requests
            ):
                continue
            tracked = self.send(self.nodes[NODES[0]], key, "b1", 10.0)
            self.settle_until(lambda tracked=tracked: tracked.answer is not None)
            assert tracked.holds_key, f"a key that did not run cannot be claimed: {tracked.answer}"


def test_claims_under_faults() -> None:
    run_steps(ClaimsMachine, max_examples=250)
    COVERAGE.check()
