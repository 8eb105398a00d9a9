"""State machine for idempotency keys: several nodes, one table, faults drawn freely.

The oracle sees which requests were granted, which of them ran and how each claim was answered.
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
from lentilchute.state.claim_records import RecordState, claim_key, read_claim
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
        "late write took effect",
        "late write barred",
        "late write to a given up claim took effect",
        "several claims in one transaction",
        "batch met a conflict",
        "claimant killed",
        "claimant killed while it held the key",
        "node frozen past deadlines",
        "claimant unreachable",
        "claimant answered twice",
        "granted claim released",
        "claim given up before its answer",
        "deadline passed with a write in flight",
        "key run after an earlier claimant released it",
        "kept answer from the object store",
        "kept answer from the table",
        "object store failed",
        "dispatched with unknown end",
    ),
)


@dataclass(eq=False)
class Run:
    """One request as the oracle sees it."""

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
    """One process: its book, and whether it stands still."""

    name: str
    incarnation: IncarnationId
    book: ClaimRegistry
    frozen: bool = False
    sequence: int = 0


@dataclass(eq=False)
class Question:
    """A question on its way to a claimant, or its reply on the way back."""

    node: Node
    action: AskClaimant
    reply: ClaimReplyState | None = None


@dataclass(eq=False)
class World:
    """Everything outside the books."""

    table: FakeTable = field(default_factory=FakeTable)
    objects: dict[str, bytes] = field(default_factory=dict)
    calls: list[TableCall] = field(default_factory=list)
    object_calls: list[tuple[Node, PutObject | GetObject]] = field(default_factory=list)
    questions: list[Question] = field(default_factory=list)
    runs: dict[RequestId, Run] = field(default_factory=dict)


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
        book = ClaimRegistry(incarnation, SETTINGS, rng, self.now_s, wall_offset_s=1e9)
        return Node(name, incarnation, book)

    def node_of(self, incarnation: IncarnationId) -> Node | None:
        alive = [node for node in self.nodes.values() if node.incarnation == incarnation]
        return alive[0] if alive else None

    # What the node's network and entry do with actions.

    def take(self, node: Node, actions: list[ClaimAction]) -> None:
        for action in actions:
            if isinstance(action, CommitTable):
                self.take_commit(node, action)
            elif isinstance(action, ReadTable):
                self.take_read(node, action)
            elif isinstance(action, PutObject | GetObject):
                self.world.object_calls.append((node, action))
            elif isinstance(action, AskClaimant):
                self.world.questions.append(Question(node, action))
            else:
                self.take_resolved(action)

    def take_commit(self, node: Node, action: CommitTable) -> None:
        if len(action.transaction.conditions) > 1:
            COVERAGE.hit("several claims in one transaction")

        def deliver(answer: Any) -> None:
            many = len(action.transaction.conditions) > 1
            if many and answer == Err(TableFault.CONFLICT):
                COVERAGE.hit("batch met a conflict")
            self.take(node, node.book.table_committed(action.call_id, answer, self.now_s))

        call = TableCall(node.incarnation, deliver, transaction=action.transaction)
        self.world.calls.append(call)

    def take_read(self, node: Node, action: ReadTable) -> None:
        def deliver(answer: Any) -> None:
            self.take(node, node.book.table_read(action.call_id, answer, self.now_s))

        self.world.calls.append(TableCall(node.incarnation, deliver, keys=action.keys))

    def take_resolved(self, action: ClaimResolved) -> None:
        run = self.world.runs[action.request_id]
        assert run.answer is None, "a claim was resolved twice"
        assert not run.gave_up, "a request that gave up got an answer"
        run.answer = action.answer
        COVERAGE.hit(f"resolved {action.answer.state.value}")
        self.check_answer(run, action.answer)

    def check_answer(self, run: Run, answer: ClaimAnswer) -> None:
        others = [other for other in self.runs_of_key(run) if other is not run]
        if answer.state is ClaimState.FINISHED:
            ran = [other for other in others if other.finished]
            assert len(ran) == 1
            assert answer.kept in (ran[0].kept, None)
            if answer.kept == SMALL_ANSWER:
                COVERAGE.hit("kept answer from the table")
            if answer.kept == LARGE_ANSWER:
                COVERAGE.hit("kept answer from the object store")
        elif answer.state is ClaimState.OTHER_BODY:
            fingerprint = run.request.fingerprint
            assert any(other.request.fingerprint != fingerprint for other in others)
        elif answer.state in (ClaimState.MAY_HAVE_RUN, ClaimState.RUNNING_ELSEWHERE):
            assert others, "a key that nobody else used was taken for run"

    def runs_of_key(self, run: Run) -> list[Run]:
        key = claim_key(run.request)
        return [other for other in self.world.runs.values() if claim_key(other.request) == key]

    # Rules: callers and entries.

    def do_caller_sends(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        if node.frozen:
            return
        key = draw(KEYS)
        body = draw(["b1", "b1", "b1", "b2"])
        self.send(node, key, body, draw([0.3, 2.0, 10.0]))

    def send(self, node: Node, key: str, body: str, patience_s: float) -> Run:
        node.sequence += 1
        request = ClaimRequest(
            request_id(node.incarnation, node.sequence),
            ServiceName("agenda-core"),
            ClientAccountId("house-1"),
            IdempotencyKey(key),
            Fingerprint(body),
            self.now_s + patience_s,
        )
        run = Run(request, node.incarnation)
        self.world.runs[request.request_id] = run
        self.take(node, node.book.claim(request, self.now_s))
        return run

    def pick_run(self, draw: Draw, which: Any) -> tuple[Run, Node] | None:
        found = []
        for run in self.world.runs.values():
            node = self.node_of(IncarnationId(run.node))
            if node is not None and not node.frozen and which(run):
                found.append((run, node))
        return draw(found) if found else None

    def do_entry_dispatches(self, draw: Draw) -> None:
        picked = self.pick_run(draw, lambda run: run.may_dispatch)
        if picked is None:
            return
        run = picked[0]
        run.ran = True
        if any(other.released for other in self.runs_of_key(run)):
            COVERAGE.hit("key run after an earlier claimant released it")

    def do_run_ends(self, draw: Draw) -> None:
        picked = self.pick_run(draw, lambda run: run.ran and not run.finished and not run.abandoned)
        if picked is None:
            return
        run, node = picked
        run.finished = True
        run.kept = draw([SMALL_ANSWER, LARGE_ANSWER, LARGE_ANSWER, None])
        self.take(node, node.book.finished(run.request.request_id, run.kept, self.now_s))

    def do_run_breaks(self, draw: Draw) -> None:
        picked = self.pick_run(draw, lambda run: run.ran and not run.finished and not run.abandoned)
        if picked is None:
            return
        run, node = picked
        run.abandoned = True
        node.book.abandoned(run.request.request_id)
        COVERAGE.hit("dispatched with unknown end")

    def do_entry_gives_up(self, draw: Draw) -> None:
        picked = self.pick_run(draw, lambda run: run.answer is None or run.may_dispatch)
        if picked is None or picked[0].gave_up:
            return
        run, node = picked
        if run.answer is None:
            COVERAGE.hit("claim given up before its answer")
        else:
            COVERAGE.hit("granted claim released")
        run.gave_up = True
        run.released = True
        self.take(node, node.book.release(run.request.request_id, self.now_s))

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
            COVERAGE.hit("late write barred")
            return
        COVERAGE.hit("late write took effect")
        for write in transaction.writes:
            record = None if write.value is None else read_claim(write.value)
            if record is None or record.state is not RecordState.CLAIMED:
                continue
            if self.world.runs[RequestId(record.request_id)].gave_up:
                COVERAGE.hit("late write to a given up claim took effect")

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
                self.take(node, node.book.object_stored(action.call_id, answer, self.now_s))
        elif is_running:
            found = Ok(self.world.objects.get(action.key)) if works else Err(TableFault.UNAVAILABLE)
            self.take(node, node.book.object_fetched(action.call_id, found, self.now_s))

    # Rules: links between nodes.

    def do_question_arrives(self, draw: Draw) -> None:
        if self.world.questions:
            self.ask(draw(self.world.questions), draw([True, True, True, False]))

    def ask(self, question: Question, arrives: bool) -> None:
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
            question.reply = claimant.book.answer_peer_query(query)

    def do_reply_arrives(self, draw: Draw) -> None:
        if self.world.questions:
            self.reply(draw(self.world.questions), draw([True, False]))

    def reply(self, question: Question, again: bool) -> None:
        node = question.node
        is_running = self.node_of(node.incarnation) is node
        if question.reply is None or (node.frozen and is_running):
            return
        self.world.questions.remove(question)
        if not is_running:
            return
        query_id = question.action.query_id
        self.take(node, node.book.claimant_answered(query_id, question.reply, self.now_s))
        if again:
            COVERAGE.hit("claimant answered twice")
            self.take(node, node.book.claimant_answered(query_id, question.reply, self.now_s))

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
        before = [run for run in self.world.runs.values() if run.answer is None]
        self.take(node, node.book.tick(self.now_s))
        for run in before:
            if run.node != node.incarnation or run.answer is None:
                continue
            if claim_key(run.request) in writing:
                COVERAGE.hit("deadline passed with a write in flight")

    def do_node_freezes_or_wakes(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        if node.frozen:
            late = [run for run in self.world.runs.values() if run.node == node.incarnation]
            if any(run.request.deadline_s < self.now_s and run.answer is None for run in late):
                COVERAGE.hit("node frozen past deadlines")
        node.frozen = not node.frozen

    def do_node_dies(self, draw: Draw) -> None:
        name = draw(NODES)
        announced = draw([True, False])
        old = self.nodes[name]
        COVERAGE.hit("claimant killed")
        held = [run for run in self.world.runs.values() if run.node == old.incarnation]
        if any(run.holds_key and not run.finished for run in held):
            COVERAGE.hit("claimant killed while it held the key")
        self.nodes[name] = self.start_node(name)
        self.gone.add(old.incarnation)
        if announced:
            for node in self.nodes.values():
                if not node.frozen:
                    self.take(node, node.book.incarnation_gone(old.incarnation, self.now_s))

    # The oracle.

    def check(self) -> None:
        ran = [claim_key(run.request) for run in self.world.runs.values() if run.ran]
        assert len(ran) == len(set(ran)), "a key ran twice"
        held = [
            claim_key(run.request)
            for run in self.world.runs.values()
            if run.ran or (run.may_dispatch and self.node_of(IncarnationId(run.node)))
        ]
        assert len(held) == len(set(held)), "two requests may run under one key"

    def teardown(self) -> None:
        """Heal everything; all claims must come to their end and leave nothing behind."""
        for node in self.nodes.values():
            node.frozen = False
        while self.world.table.late:
            self.world.table.apply_late(0)
        self.settle_until(self.is_quiet)
        self.check_nothing_leaks()
        self.check_free_keys_can_be_claimed()

    def is_quiet(self) -> bool:
        alive = {node.incarnation for node in self.nodes.values()}
        awaited = [run for run in self.world.runs.values() if run.node in alive]
        if any(run.answer is None and not run.gave_up for run in awaited):
            return False
        return all(node.book.is_idle for node in self.nodes.values())

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
            self.ask(question, True)
            self.reply(question, False)
        if not (self.world.calls or self.world.questions):
            self.now_s += 0.1
            for node in self.nodes.values():
                self.tick(node)
        self.check()

    def check_nothing_leaks(self) -> None:
        for node in self.nodes.values():
            assert node.book.is_idle
        for run in self.world.runs.values():
            if self.node_of(IncarnationId(run.node)) is not None and not run.gave_up:
                assert run.answer is not None, "a claim never ended"
        for row in self.world.table.rows.values():
            record = read_claim(row.value)
            if record is None or record.state is not RecordState.CLAIMED:
                continue
            run = self.world.runs[RequestId(record.request_id)]
            if self.node_of(record.claimant) is not None:
                assert run.holds_key and not run.finished, "a claim was left behind"

    def check_free_keys_can_be_claimed(self) -> None:
        for key in KEYS:
            runs = [run for run in self.world.runs.values() if run.request.key == key]
            settled = all(
                run.released or (run.answer and run.answer.state is not ClaimState.GRANTED)
                for run in runs
            )
            if not settled or any(self.node_of(IncarnationId(run.node)) is None for run in runs):
                continue
            run = self.send(self.nodes[NODES[0]], key, "b1", 10.0)
            self.settle_until(lambda run=run: run.answer is not None)
            assert run.holds_key, f"a key that did not run is locked out: {run.answer}"


def test_claims_under_faults() -> None:
    run_steps(ClaimsMachine, max_examples=250)
    COVERAGE.check()
