"""State machine test of leases: nodes race for a lease, pause past it and get results late.

The oracle checks that no two nodes can use the lease at the same time and that the fencing numbers
under which it is used never decrease.
"""

import random
from dataclasses import dataclass, field
from typing import Any, ClassVar

from coverage_counter import CoverageCounter
from fakes import CallFate, FakeTable, TableCall
from result import Ok
from step_machine import Draw, run_steps
from table_machine import TableMachine

from lentilchute.ids import FencingNumber, IncarnationId, ServiceName
from lentilchute.state.lease_records import lease_key
from lentilchute.state.leases import (
    DRIFT_FACTOR,
    LEASE_DURATION_S,
    CommitLease,
    LeaseAcquired,
    LeaseAction,
    LeaseLost,
    LeaseRegistry,
    ReadLease,
)

NODES = ("entry-1", "entry-2", "entry-3")
SERVICE = ServiceName("fleet")
REACQUIRED_S = LEASE_DURATION_S * DRIFT_FACTOR + 5.0
COVERAGE = CoverageCounter(
    "leases",
    (
        *(f"write {fate.value}" for fate in CallFate),
        "lease acquired",
        "lease renewed",
        "lease lost",
        "lease acquired after an expiry",
        "lease released",
        "holder killed",
        "holder frozen past its lease",
        "late write applied",
        "late write rejected",
        "renewal result after the lease expired",
        "used by a later holder",
    ),
)


@dataclass(eq=False)
class Node:
    """One process with its registry."""

    name: str
    registry: LeaseRegistry
    frozen: bool = False
    acquired: FencingNumber | None = None
    uses: list[FencingNumber] = field(default_factory=list)


class LeasesMachine(TableMachine):
    COVERAGE = COVERAGE
    WEIGHTS: ClassVar = {
        "table_executes": 5,
        "table_answers": 5,
        "platform_works": 4,
        "late_write_arrives": 2,
        "time_passes": 8,
        "holder_orders": 5,
        "node_releases": 1,
        "node_freezes_or_wakes": 1,
        "node_dies": 1,
    }

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 50.0
        self.table = FakeTable()
        self.calls: list[TableCall] = []
        self.incarnations = 0
        self.highest_used = 0
        self.highest_acquired = 0
        self.nodes = {name: self.start_node(name) for name in NODES}
        for node in self.nodes.values():
            self.run_actions(node, node.registry.acquire(SERVICE, self.now_s))

    def start_node(self, name: str) -> Node:
        self.incarnations += 1
        registry = LeaseRegistry(
            IncarnationId(f"{name}.{self.incarnations}"), random.Random(self.incarnations)
        )
        return Node(name, registry)

    def run_actions(self, node: Node, actions: list[LeaseAction]) -> None:
        for action in actions:
            if isinstance(action, LeaseAcquired):
                COVERAGE.hit("lease acquired")
                if action.fencing > 1:
                    COVERAGE.hit("lease acquired after an expiry")
                assert node.acquired is None
                assert action.fencing > self.highest_acquired, "a fencing number was reused"
                self.highest_acquired = action.fencing
                node.acquired = action.fencing
            elif isinstance(action, LeaseLost):
                COVERAGE.hit("lease lost")
                assert node.acquired == action.fencing
                node.acquired = None
            else:
                self.send_call(node, action)

    def send_call(self, node: Node, action: ReadLease | CommitLease) -> None:
        asked_s = self.now_s

        def deliver(answer: Any) -> None:
            if isinstance(action, ReadLease):
                row = Ok(answer.ok_value.get(action.key)) if isinstance(answer, Ok) else answer
                self.run_actions(node, node.registry.row_read(action.call_id, row, self.now_s))
                return
            if node.acquired is not None and isinstance(answer, Ok):
                late = self.now_s >= asked_s + LEASE_DURATION_S
                COVERAGE.hit("renewal result after the lease expired" if late else "lease renewed")
            self.run_actions(node, node.registry.committed(action.call_id, answer, self.now_s))

        if isinstance(action, ReadLease):
            self.calls.append(TableCall(node.name, deliver, keys=(action.key,)))
        else:
            self.calls.append(TableCall(node.name, deliver, transaction=action.transaction))

    def do_time_passes(self, draw: Draw) -> None:
        self.pass_time(draw([0.2, 1.0, 1.0, 2.0, 4.0]))

    def pass_time(self, passed_s: float) -> None:
        self.now_s += passed_s
        for node in self.nodes.values():
            if not node.frozen:
                self.run_actions(node, node.registry.tick(self.now_s))

    def do_holder_orders(self, draw: Draw) -> None:
        """Every running node with a valid lease uses it; a resumed node does so before its tick."""
        for node in self.nodes.values():
            if not node.frozen:
                self.use(node)

    def use(self, node: Node) -> None:
        fencing = node.registry.fencing(SERVICE, 0.0, self.now_s)
        if fencing is None:
            return
        assert fencing >= self.highest_used, "a previous holder used its lease"
        holders = [
            other
            for other in self.nodes.values()
            if other.registry.fencing(SERVICE, 0.0, self.now_s) is not None
        ]
        assert holders == [node], "two nodes can use the lease"
        if fencing > self.highest_used:
            COVERAGE.hit("used by a later holder")
        self.highest_used = fencing

    def do_node_releases(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        if node.frozen or node.acquired is None:
            return
        COVERAGE.hit("lease released")
        self.run_actions(node, node.registry.release(SERVICE, self.now_s))
        assert node.registry.fencing(SERVICE, 0.0, self.now_s) is None
        self.run_actions(node, node.registry.acquire(SERVICE, self.now_s))

    def do_node_freezes_or_wakes(self, draw: Draw) -> None:
        node = self.nodes[draw(NODES)]
        if node.frozen and node.acquired is not None:
            has_expired = node.registry.fencing(SERVICE, 0.0, self.now_s) is None
            if has_expired:
                COVERAGE.hit("holder frozen past its lease")
        node.frozen = not node.frozen

    def do_node_dies(self, draw: Draw) -> None:
        old = self.nodes[draw(NODES)]
        if old.acquired is not None:
            COVERAGE.hit("holder killed")
        for call in [call for call in self.calls if call.node == old.name]:
            self.calls.remove(call)
            if call.transaction is not None and call.answer is None:
                self.table.late.append(call.transaction)
        node = self.nodes[old.name] = self.start_node(old.name)
        self.run_actions(node, node.registry.acquire(SERVICE, self.now_s))

    def check(self) -> None:
        holders = [
            node
            for node in self.nodes.values()
            if node.registry.fencing(SERVICE, 0.0, self.now_s) is not None
        ]
        assert len(holders) <= 1, "two nodes hold the lease"

    def teardown(self) -> None:
        """Stop the faults and the holder: another node acquires the lease in bounded time."""
        while self.table.late:
            self.table.apply_late(0)
        for node in self.nodes.values():
            node.frozen = False
        self.settle(REACQUIRED_S)
        holder = next((node for node in self.nodes.values() if node.acquired is not None), None)
        assert holder is not None, "no node acquired the lease"
        self.calls = [call for call in self.calls if call.node != holder.name]
        holder.frozen = True
        self.settle(REACQUIRED_S)
        acquired = [node for node in self.nodes.values() if not node.frozen and node.acquired]
        assert len(acquired) == 1, "no node acquired the lease of a dead holder"
        assert lease_key(SERVICE) in self.table.rows

    def settle(self, lasting_s: float) -> None:
        until_s = self.now_s + lasting_s
        while self.now_s < until_s:
            for _ in range(3):
                self.do_platform_works(lambda items: items[0])
            self.pass_time(0.25)
            self.do_holder_orders(lambda items: items[0])


def test_leases_under_faults() -> None:
    run_steps(LeasesMachine, max_examples=200)
    COVERAGE.check()


def test_an_operation_that_outlasts_the_lease_gets_no_number() -> None:
    machine = LeasesMachine()
    for _ in range(3):
        machine.do_platform_works(lambda items: items[0])
    node = next(node for node in machine.nodes.values() if node.acquired is not None)
    assert node.registry.fencing(SERVICE, LEASE_DURATION_S / 2, machine.now_s) == 1
    assert node.registry.fencing(SERVICE, LEASE_DURATION_S, machine.now_s) is None
    condition = node.registry.row_condition(SERVICE)
    assert condition is not None
    assert condition.version == machine.table.rows[lease_key(SERVICE)].version
