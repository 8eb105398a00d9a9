"""State machine test of service documents: racing operators, lost results, paused and dead nodes.

The oracle compares the results reported to operators with the history in the table. It checks that
no node goes back to an older version, applies a text that was never accepted, or is ready without a
recent confirmation.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar

from coverage_counter import CoverageCounter
from fakes import CallFate, FakeTable, TableCall
from result import Err, Ok, Result
from step_machine import Draw, run_steps
from table_machine import TableMachine

from lentilchute.document import ServiceDocument
from lentilchute.ids import DocumentVersion, InstanceId, ServiceName
from lentilchute.peers.settings import MembershipSettings
from lentilchute.state.configuration import (
    ConfigAction,
    ConfigRegistry,
    DocumentInForce,
    DocumentRejected,
    PushDocument,
    ReadDocuments,
    ReadIndex,
    SendVersions,
)
from lentilchute.state.configuration_apply import (
    ApplyAction,
    ApplyOperation,
    ApplyState,
    CommitChange,
    DocumentChange,
    ReadRows,
    WaitBeforeRetry,
)
from lentilchute.state.configuration_records import (
    INDEX_KEY,
    DocumentRecord,
    document_key,
    history_key,
    parse_document_row,
    parse_index_row,
)
from lentilchute.state.platform_services import TableFault

NODES = ("entry-1", "entry-2", "entry-3")
SERVICES = (ServiceName("fleet"), ServiceName("agenda"))
SETTINGS = MembershipSettings()
IN_FORCE_S = 11.0
COVERAGE = CoverageCounter(
    "configuration",
    (
        *(f"write {fate.value}" for fate in CallFate),
        *(f"apply {state.value}" for state in ApplyState if state is not ApplyState.RUNNING),
        "late write applied",
        "late write rejected",
        "accepted after an unknown outcome",
        "accepted and already followed by another change",
        "operators raced on one version",
        "accepting node died",
        "change retried on another node",
        "message lost",
        "message duplicated",
        "message to a node resumed after a long pause",
        "document pushed by a peer",
        "older document ignored",
        "bad document rejected",
        "ready node became unready",
        "table answer from before a pause",
    ),
)


def check_text(service: ServiceName, text: str) -> Result[ServiceDocument, str]:
    if text.startswith("bad"):
        return Err("is invalid")
    return Ok(ServiceDocument.model_construct(service=service))


@dataclass(eq=False)
class Node:
    """One process with its registry."""

    name: str
    registry: ConfigRegistry
    frozen: bool = False
    last_active_s: float = 0.0
    woke_s: float = 0.0
    confirmed_s: float | None = None
    was_ready: bool = False
    highest: dict[ServiceName, int] = field(default_factory=dict)


@dataclass(eq=False)
class Operation:
    """One operator's change, executed by one node."""

    apply: ApplyOperation
    node: Node
    lost_answer: bool = False
    resume_s: float | None = None


@dataclass(eq=False)
class Message:
    """A message in flight from one node to another."""

    receiver: str
    sent_s: float
    deliver: Callable[[Node, bool], None]


class ConfigurationMachine(TableMachine):
    COVERAGE = COVERAGE
    WEIGHTS: ClassVar = {
        "operator_applies": 3,
        "operator_tries_again": 2,
        "table_executes": 8,
        "table_answers": 8,
        "platform_works": 2,
        "late_write_arrives": 3,
        "heartbeat": 8,
        "message_arrives": 8,
        "time_passes": 6,
        "node_freezes_or_wakes": 1,
        "node_dies": 1,
    }

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.table = FakeTable()
        self.calls: list[TableCall] = []
        self.messages: list[Message] = []
        self.operations: list[Operation] = []
        self.ended: dict[str, set[ApplyState]] = {}
        self.changes = 0
        self.nodes = {name: self.start_node(name) for name in NODES}

    def start_node(self, name: str) -> Node:
        registry = ConfigRegistry(check_text, SETTINGS, self.now_s)
        return Node(name, registry, last_active_s=self.now_s, woke_s=self.now_s)

    def is_running(self, node: Node) -> bool:
        return self.nodes[node.name] is node

    def record_activity(self, node: Node) -> None:
        """Record that the node is active now; a long gap before this was a pause."""
        if self.now_s - node.last_active_s > SETTINGS.pause_limit_s:
            node.woke_s = self.now_s
        node.last_active_s = self.now_s

    # Execution of actions.

    def run_actions(self, node: Node, actions: list[ConfigAction]) -> None:
        for action in actions:
            if isinstance(action, ReadIndex | ReadDocuments):
                self.send_read(node, action)
            elif isinstance(action, SendVersions):
                self.send_versions(node, action)
            elif isinstance(action, PushDocument):
                self.push(node, action)
            elif isinstance(action, DocumentInForce):
                self.check_in_force(node, action)
            else:
                assert isinstance(action, DocumentRejected)
                COVERAGE.hit("bad document rejected")

    def send_read(self, node: Node, action: ReadIndex | ReadDocuments) -> None:
        asked_s = self.now_s
        keys = (INDEX_KEY,) if isinstance(action, ReadIndex) else action.keys

        def deliver(answer: Any) -> None:
            self.record_activity(node)
            if asked_s < node.woke_s:
                COVERAGE.hit("table answer from before a pause")
            if isinstance(action, ReadDocuments):
                self.run_actions(
                    node, node.registry.documents_answered(action.call_id, answer, self.now_s)
                )
                return
            if isinstance(answer, Ok):
                if asked_s >= node.woke_s:
                    node.confirmed_s = max(node.confirmed_s or asked_s, asked_s)
                answer = Ok(answer.ok_value.get(INDEX_KEY))
            self.run_actions(node, node.registry.index_answered(action.call_id, answer, self.now_s))

        self.calls.append(TableCall(node.name, deliver, keys=keys))

    def send_versions(self, node: Node, action: SendVersions) -> None:
        def deliver(receiver: Node, _fresh: bool) -> None:
            peer = InstanceId(node.name)
            self.run_actions(
                receiver, receiver.registry.peer_versions(peer, action.versions, self.now_s)
            )

        self.messages.append(Message(action.peer, self.now_s, deliver))

    def push(self, node: Node, action: PushDocument) -> None:
        document = action.document

        def deliver(receiver: Node, _fresh: bool) -> None:
            before = receiver.registry.versions().get(document.service, 0)
            name = "older document ignored" if document.version <= before else None
            COVERAGE.hit(name or "document pushed by a peer")
            applied = receiver.registry.apply_document(
                document.service, document.version, document.text, self.now_s
            )
            self.run_actions(receiver, applied)

        self.messages.append(Message(action.peer, self.now_s, deliver))

    def check_in_force(self, node: Node, action: DocumentInForce) -> None:
        assert action.version > node.highest.get(action.service, 0), "version went back"
        node.highest[action.service] = action.version
        kept = self.history(action.service, action.version)
        assert kept is not None, "a version is in force that was never accepted"
        assert not kept.text.startswith("bad"), "an invalid document is in force"

    def history(self, service: ServiceName, version: int) -> DocumentRecord | None:
        row = self.table.rows.get(history_key(service, version))
        return None if row is None else parse_document_row(row.value).unwrap()

    # Operators.

    def do_operator_applies(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        if node.frozen:
            return
        service = draw(SERVICES)
        row = self.table.rows.get(document_key(service))
        version = 0 if row is None else parse_document_row(row.value).unwrap().version
        self.changes += 1
        change = DocumentChange(
            service=service,
            text=f"{draw(['good', 'good', 'good', 'bad'])} {self.changes}",
            expected_version=DocumentVersion(max(0, version - draw([0, 0, 0, 0, 1]))),
            change_id=f"change-{self.changes}",
            author=f"operator-{draw([1, 2])}",
        )
        racing = [item.apply.change for item in self.operations]
        if any((c.service, c.expected_version) == (service, version) for c in racing):
            COVERAGE.hit("operators raced on one version")
        self.start_operation(node, change, draw([1.0, 5.0, 20.0]))

    def start_operation(self, node: Node, change: DocumentChange, timeout_s: float) -> None:
        operation = Operation(ApplyOperation(change, self.now_s + timeout_s), node)
        self.operations.append(operation)
        self.follow(operation, operation.apply.start(self.now_s))

    def do_operator_tries_again(self, draw: Draw) -> None:
        """An operator whose node died, or whose change is unresolved, retries the change."""
        node = self.nodes[draw(NODES)]
        open_changes = [
            item.apply.change
            for item in self.operations
            if not self.is_running(item.node) or item.apply.state is ApplyState.UNRESOLVED
        ]
        if node.frozen or not open_changes:
            return
        COVERAGE.hit("change retried on another node")
        self.start_operation(node, draw(open_changes), 5.0)

    def follow(self, operation: Operation, action: ApplyAction) -> None:
        if isinstance(action, WaitBeforeRetry):
            operation.resume_s = self.now_s + action.delay_s
        elif isinstance(action, ReadRows):
            self.call(operation, keys=action.keys)
        elif isinstance(action, CommitChange):
            self.call(operation, transaction=action.transaction)
        else:
            self.end(operation)

    def call(self, operation: Operation, **asked: Any) -> None:
        def deliver(answer: Any) -> None:
            if "transaction" in asked:
                operation.lost_answer |= answer == Err(TableFault.UNKNOWN)
                self.follow(operation, operation.apply.commit_answered(answer, self.now_s))
            else:
                self.follow(operation, operation.apply.rows_answered(answer, self.now_s))

        self.calls.append(TableCall(operation.node.name, deliver, **asked))

    def end(self, operation: Operation) -> None:
        apply, change = operation.apply, operation.apply.change
        COVERAGE.hit(f"apply {apply.state.value}")
        self.ended.setdefault(change.change_id, set()).add(apply.state)
        if apply.state is not ApplyState.ACCEPTED:
            return
        kept = self.history(change.service, apply.accepted_version)
        assert kept is not None, "accepted, but not in the table"
        assert kept.change_id == change.change_id, "an unapplied change was reported accepted"
        if operation.lost_answer:
            COVERAGE.hit("accepted after an unknown outcome")
        if self.history(change.service, apply.accepted_version + 1) is not None:
            COVERAGE.hit("accepted and already followed by another change")
        node = operation.node
        self.record_activity(node)
        applied = node.registry.apply_document(
            change.service, apply.accepted_version, change.text, self.now_s
        )
        self.run_actions(node, applied)

    # Messages, time and processes.

    def do_heartbeat(self, draw: Draw) -> None:
        sender = self.nodes[draw(NODES)]
        receiver = draw([name for name in NODES if name != sender.name])
        if not sender.frozen:
            self.send_heartbeat(sender, receiver)

    def send_heartbeat(self, sender: Node, receiver: str) -> None:
        self.record_activity(sender)
        digest = sender.registry.digest()
        ready = sender.registry.is_ready(self.now_s)
        peer = InstanceId(sender.name)

        def deliver(node: Node, fresh: bool) -> None:
            if ready and fresh:
                node.confirmed_s = self.now_s
            answered = node.registry.peer_heartbeat(
                peer, digest, ready=ready, fresh=fresh, now_s=self.now_s
            )
            self.run_actions(node, answered)

        self.messages.append(Message(receiver, self.now_s, deliver))

    def do_message_arrives(self, draw: Draw) -> None:
        if not self.messages:
            return
        message = draw(self.messages)
        node = self.nodes[message.receiver]
        if node.frozen:
            return
        self.messages.remove(message)
        fate = draw(["arrives", "arrives", "arrives", "lost", "duplicated"])
        if fate == "lost":
            COVERAGE.hit("message lost")
            return
        self.deliver_message(node, message)
        if fate == "duplicated":
            COVERAGE.hit("message duplicated")
            self.deliver_message(node, message)

    def deliver_message(self, node: Node, message: Message) -> None:
        self.record_activity(node)
        fresh = message.sent_s >= node.woke_s
        if not fresh:
            COVERAGE.hit("message to a node resumed after a long pause")
        message.deliver(node, fresh)

    def do_time_passes(self, draw: Draw) -> None:
        self.pass_time(draw([0.1, 0.5, 0.5, 2.0, 4.0]))

    def pass_time(self, passed_s: float) -> None:
        self.now_s += passed_s
        for node in self.nodes.values():
            if node.frozen:
                continue
            self.record_activity(node)
            self.run_actions(node, node.registry.tick(self.now_s))
            for operation in self.operations:
                if operation.node is node and operation.resume_s is not None:
                    self.resume(operation)

    def resume(self, operation: Operation) -> None:
        if operation.resume_s is not None and operation.resume_s <= self.now_s:
            operation.resume_s = None
            self.follow(operation, operation.apply.resume(self.now_s))

    def do_node_freezes_or_wakes(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        node.frozen = not node.frozen

    def do_node_dies(self, draw: Draw) -> None:
        old = self.nodes[draw(NODES)]
        accepted = [
            item
            for item in self.operations
            if item.node is old and item.apply.state is ApplyState.ACCEPTED
        ]
        if accepted:
            COVERAGE.hit("accepting node died")
        self.nodes[old.name] = self.start_node(old.name)
        # Writes in flight may still be applied, but no node receives their results.
        for call in [call for call in self.calls if call.node == old.name]:
            self.calls.remove(call)
            if call.transaction is not None and call.answer is None:
                self.table.late.append(call.transaction)

    # The oracle.

    def check(self) -> None:
        for node in self.nodes.values():
            if node.frozen:
                continue
            self.record_activity(node)
            ready = node.registry.is_ready(self.now_s)
            if node.was_ready and not ready:
                COVERAGE.hit("ready node became unready")
            node.was_ready = ready
            if ready:
                assert node.confirmed_s is not None, "ready without any confirmation"
                assert (
                    node.confirmed_s >= node.woke_s
                ), "ready by a confirmation from before a pause"
                unconfirmed_s = self.now_s - node.confirmed_s
                assert (
                    unconfirmed_s <= SETTINGS.pause_limit_s
                ), "ready without a recent confirmation"

    def teardown(self) -> None:
        """Stop platform faults but drop all messages: every version comes into force by polling."""
        while self.table.late:
            self.table.apply_late(0)
        self.check_operators()
        self.messages.clear()
        for node in self.nodes.values():
            node.frozen = False
        healed_s = self.now_s
        while self.now_s < healed_s + IN_FORCE_S:
            for _ in range(4):
                self.do_platform_works(lambda items: items[0])
            self.pass_time(0.5)
            self.messages.clear()
        self.check_operators()
        self.check_all_in_force()

    def check_operators(self) -> None:
        """Changes reported as conflict or not applied must not be in the history."""
        rows = [row for key, row in self.table.rows.items() if key.startswith("config-history/")]
        kept = {parse_document_row(row.value).unwrap().change_id for row in rows}
        for change_id, states in self.ended.items():
            if ApplyState.ACCEPTED in states:
                assert change_id in kept, "an accepted change is lost"
                assert ApplyState.CONFLICT not in states, "accepted, but reported as a conflict"
            elif ApplyState.CONFLICT in states:
                assert change_id not in kept, "a change in the history was reported as a conflict"
            elif states == {ApplyState.NOT_APPLIED} and self.attempts(change_id) == 1:
                assert change_id not in kept, "a change reported as not applied was applied"

    def attempts(self, change_id: str) -> int:
        return sum(item.apply.change.change_id == change_id for item in self.operations)

    def check_all_in_force(self) -> None:
        row = self.table.rows.get(INDEX_KEY)
        index = {} if row is None else parse_index_row(row.value).unwrap().versions
        for node in self.nodes.values():
            assert node.registry.is_ready(self.now_s), "a node is not ready after the faults ended"
            for service, version in index.items():
                record = self.history(ServiceName(service), version)
                assert record is not None
                if not record.text.startswith("bad"):
                    held = node.registry.versions().get(ServiceName(service))
                    assert held == version, "an accepted version is not in force after 11 s"


def test_configuration_under_faults() -> None:
    run_steps(ConfigurationMachine, max_examples=150)
    COVERAGE.check()


def test_a_change_reaches_all_nodes_over_peers_while_the_table_is_down() -> None:
    machine = ConfigurationMachine()
    first = machine.nodes[NODES[0]]
    machine.start_operation(
        first,
        DocumentChange(SERVICES[0], "good 1", DocumentVersion(0), "change-1", "operator"),
        5.0,
    )
    machine.do_platform_works(lambda items: items[0])
    machine.do_platform_works(lambda items: items[0])
    assert first.registry.versions() == {SERVICES[0]: 1}
    for _ in range(4):
        machine.pass_time(0.5)
        for call in machine.calls:
            machine.table.execute(call, CallFate.UNAVAILABLE)
        for sender in machine.nodes.values():
            for receiver in NODES:
                machine.send_heartbeat(sender, receiver)
        while machine.messages:
            message = machine.messages.pop(0)
            machine.deliver_message(machine.nodes[message.receiver], message)
    assert {node.registry.digest() for node in machine.nodes.values()} == {first.registry.digest()}
