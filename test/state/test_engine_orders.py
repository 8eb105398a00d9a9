"""State machine test of engine orders: successive holders, engines with and without checks.

Orders are delayed arbitrarily, even past the end of their holder's lease. The oracle checks that an
engine that checks numbers never applies an old holder's order after one from the new holder, that
all engines eventually reach their targets, and that enough engines stay ready.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from coverage_counter import CoverageCounter
from fakes import CallFate, FakeTable, TableCall
from result import Err, Ok
from step_machine import Draw, StepMachine, run_steps

from lentilchute.document import Fencing
from lentilchute.ids import FencingNumber, ModelName, ServiceName, UpstreamId
from lentilchute.state.engine_orders import (
    STATE_POLL_S,
    DrainEngine,
    EngineOrders,
    EngineTarget,
    OrderAction,
    PollEngine,
    ScanOrders,
    SendOrder,
    WriteOrder,
)
from lentilchute.state.lease_records import lease_key
from lentilchute.state.order_records import ORDERS_PER_LEASE, order_key, parse_order_row
from lentilchute.state.platform_services import Condition, Row, Transaction, Write
from lentilchute.upstream.adapters import EngineOrder, EngineState, UpstreamFault

SERVICE = ServiceName("fleet")
OLD = EngineTarget(ModelName("drafts"), "1")
TARGETS = (OLD, EngineTarget(ModelName("drafts"), "2"), EngineTarget(ModelName("tags"), "1"))
CHECKED = tuple(UpstreamId(f"checked-{number}") for number in (1, 2))
IGNORING = tuple(UpstreamId(f"ignoring-{number}") for number in (1, 2))
MIN_READY = {ModelName("drafts"): 2, ModelName("tags"): 0}
COVERAGE = CoverageCounter(
    "orders",
    (
        *(f"write {fate.value}" for fate in CallFate),
        "order applied",
        "old holder's order rejected by its number",
        "old holder's order reached an engine that ignores numbers",
        "order lost",
        "result of an order lost",
        "old holder's write rejected by the lease row",
        "holder replaced with an order in flight",
        "engine drained",
        "target changed with an order in flight",
        "engine kept because too few are ready",
    ),
)


@dataclass(eq=False)
class Engine:
    """A fake engine."""

    checks: bool
    model: str = OLD.model
    version: str = OLD.version
    highest: int = 0
    loads_until_s: float = 0.0

    def state(self, now_s: float) -> EngineState:
        return EngineState(
            model=self.model,
            version=self.version,
            adapters=(),
            role="serve",
            ready=now_s >= self.loads_until_s,
            leaving=False,
            highest_fencing=FencingNumber(self.highest),
        )


@dataclass(eq=False)
class Holder:
    """One lease holder; ``is_current`` until the next one has acquired the lease."""

    lease: int
    orders: EngineOrders
    is_current: bool = True


@dataclass(eq=False)
class SentOrder:
    """An order in flight to an engine."""

    holder: Holder
    upstream: UpstreamId
    order: EngineOrder


@dataclass(eq=False)
class World:
    """Engines, the table, and operations in flight."""

    engines: dict[UpstreamId, Engine] = field(default_factory=dict)
    table: FakeTable = field(default_factory=FakeTable)
    writes: list[tuple[Holder, UpstreamId, TableCall]] = field(default_factory=list)
    polls: list[tuple[Holder, UpstreamId]] = field(default_factory=list)
    sent: list[SentOrder] = field(default_factory=list)
    drained: set[UpstreamId] = field(default_factory=set)


class OrdersMachine(StepMachine):
    WEIGHTS: ClassVar = {
        "time_passes": 8,
        "write_ends": 8,
        "engine_reports_state": 8,
        "engine_drains": 6,
        "order_arrives": 3,
        "targets_change": 2,
        "rollout": 1,
        "holder_changes": 1,
    }

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 10.0
        self.world = World()
        for upstream in (*CHECKED, *IGNORING):
            self.world.engines[upstream] = Engine(checks=upstream in CHECKED)
        self.targets = dict.fromkeys((*CHECKED, *IGNORING), OLD)
        self.holders = [self.take_lease(1)]

    def take_lease(self, lease: int) -> Holder:
        """Write the lease row, which makes conditional writes of the previous holder fail."""
        self.world.table.commit(Transaction((), (Write(lease_key(SERVICE), str(lease)),)))
        holder = Holder(lease, EngineOrders(SERVICE, FencingNumber(lease)))
        self.set_targets(holder)
        return holder

    def set_targets(self, holder: Holder) -> None:
        wanted = {
            upstream: (target, Fencing.CHECKED if upstream in CHECKED else Fencing.IGNORED)
            for upstream, target in self.targets.items()
        }
        holder.orders.set_targets(wanted, MIN_READY)

    @property
    def current(self) -> Holder:
        return self.holders[-1]

    def run_actions(self, holder: Holder, actions: list[OrderAction]) -> None:
        for action in actions:
            if isinstance(action, ScanOrders):
                holder.orders.orders_read(Ok(self.order_rows(action.prefix)), self.now_s)
            elif isinstance(action, PollEngine):
                self.world.polls.append((holder, action.upstream))
            elif isinstance(action, WriteOrder):
                call = TableCall("", lambda _answer: None, transaction=action.transaction)
                self.world.writes.append((holder, action.upstream, call))
            elif isinstance(action, DrainEngine):
                self.record_drain(holder, action)
            else:
                self.send_order(holder, action)

    def order_rows(self, prefix: str) -> list[Row]:
        return self.world.table.scan(prefix, 1000)

    def record_drain(self, holder: Holder, action: DrainEngine) -> None:
        if not holder.is_current:
            return
        if action.duration_s == 0.0:
            self.world.drained.discard(action.upstream)
            return
        if action.upstream not in self.world.drained and len(self.holders) == 1:
            self.check_capacity(action.upstream)
        self.world.drained.add(action.upstream)

    def send_order(self, holder: Holder, action: SendOrder) -> None:
        # The owner checks the lease just before it sends; an old holder no longer has it.
        if not holder.is_current:
            refused = Err(UpstreamFault.NOT_SENT)
            self.run_actions(
                holder, holder.orders.order_answered(action.upstream, refused, self.now_s)
            )
            return
        row = self.world.table.rows.get(order_key(SERVICE, action.upstream))
        record = None if row is None else parse_order_row(row.value)
        assert record is not None and record.fencing == action.order.fencing, "sent before written"
        engine = self.world.engines[action.upstream]
        if (engine.model, engine.version) != (action.order.model, action.order.version):
            # After a holder change, a late order may have changed the engine since the last poll.
            is_drained = action.upstream in self.world.drained
            assert is_drained or len(self.holders) > 1, "an undrained engine was ordered to change"
            COVERAGE.hit("engine drained")
        self.world.sent.append(SentOrder(holder, action.upstream, action.order))

    # Steps.

    def do_time_passes(self, draw: Draw) -> None:
        self.pass_time(draw([0.5, 2.0, 5.0]))

    def pass_time(self, passed_s: float) -> None:
        self.now_s += passed_s
        for holder in self.holders[-2:]:
            condition = Condition(lease_key(SERVICE), holder.lease)
            self.run_actions(holder, holder.orders.tick(condition, self.now_s))
        self.count_capacity_holds()

    def count_capacity_holds(self) -> None:
        orders = self.current.orders
        for upstream, target in self.targets.items():
            engine = self.world.engines[upstream]
            differs = (engine.model, engine.version) != (target.model, target.version)
            phase = orders.phase(upstream)
            if differs and phase is not None and phase.value == "watched":
                COVERAGE.hit("engine kept because too few are ready")

    def do_write_ends(self, draw: Draw) -> None:
        if self.world.writes:
            fate = draw([CallFate.ANSWERED, CallFate.ANSWERED, *CallFate])
            COVERAGE.hit(f"write {fate.value}")
            current = [item for item in self.world.writes if item[0].is_current]
            self.end_write(draw(current or self.world.writes), fate)

    def end_write(self, item: tuple[Holder, UpstreamId, TableCall], fate: CallFate) -> None:
        self.world.writes.remove(item)
        holder, upstream, call = item
        self.world.table.execute(call, fate)
        if not holder.is_current and fate is CallFate.ANSWERED:
            assert isinstance(call.answer, Err), "an old holder wrote an order"
            COVERAGE.hit("old holder's write rejected by the lease row")
        assert call.answer is not None
        self.run_actions(holder, holder.orders.order_written(upstream, call.answer, self.now_s))

    def do_engine_reports_state(self, draw: Draw) -> None:
        if self.world.polls:
            self.report_state(draw(self.world.polls))

    def report_state(self, item: tuple[Holder, UpstreamId]) -> None:
        self.world.polls.remove(item)
        holder, upstream = item
        state = Ok(self.world.engines[upstream].state(self.now_s))
        self.run_actions(holder, holder.orders.state_answered(upstream, state, self.now_s))

    def do_engine_drains(self, draw: Draw) -> None:
        if self.world.drained:
            self.drain(draw(sorted(self.world.drained)))

    def drain(self, upstream: UpstreamId) -> None:
        self.run_actions(self.current, self.current.orders.drained(upstream, self.now_s))

    def do_order_arrives(self, draw: Draw) -> None:
        if self.world.sent:
            sent = draw(self.world.sent)
            fate = draw(["arrives", "arrives", "lost", "result lost", "duplicated"])
            self.deliver(sent, fate)

    def deliver(self, sent: SentOrder, fate: str) -> None:
        if fate != "duplicated":
            self.world.sent.remove(sent)
        if fate == "lost":
            COVERAGE.hit("order lost")
            answer = Err(UpstreamFault.TIMED_OUT)
        else:
            answer = self.apply(sent)
        if fate == "result lost":
            COVERAGE.hit("result of an order lost")
            answer = Err(UpstreamFault.RESET)
        holder = sent.holder
        self.run_actions(holder, holder.orders.order_answered(sent.upstream, answer, self.now_s))

    def apply(self, sent: SentOrder) -> Ok[None] | Err[UpstreamFault]:
        engine = self.world.engines[sent.upstream]
        order = sent.order
        is_old = not sent.holder.is_current
        if engine.checks and order.fencing < engine.highest:
            if is_old:
                COVERAGE.hit("old holder's order rejected by its number")
            return Err(UpstreamFault.WRONG_ANSWER)
        if is_old and not engine.checks:
            COVERAGE.hit("old holder's order reached an engine that ignores numbers")
        if is_old and engine.checks:
            newer = engine.highest >= self.current.lease * ORDERS_PER_LEASE
            assert not newer, "an old order was applied after one from the new holder"
        engine.highest = max(engine.highest, order.fencing)
        if (engine.model, engine.version) != (order.model, order.version):
            engine.model, engine.version = order.model, order.version
            engine.loads_until_s = self.now_s + 3.0
            COVERAGE.hit("order applied")
        return Ok(None)

    def do_targets_change(self, draw: Draw) -> None:
        self.targets[draw(list(self.targets))] = draw(TARGETS)
        if self.world.sent:
            COVERAGE.hit("target changed with an order in flight")
        self.set_targets(self.current)

    def do_rollout(self, draw: Draw) -> None:
        """Set a new target for all engines at once."""
        self.targets = dict.fromkeys(self.targets, draw(TARGETS))
        self.set_targets(self.current)

    def do_holder_changes(self, draw: Draw) -> None:
        if not self.world.sent and draw([True, False]):
            return
        if self.world.sent:
            COVERAGE.hit("holder replaced with an order in flight")
        self.current.is_current = False
        self.world.drained.clear()
        self.holders.append(self.take_lease(self.current.lease + 1))

    # The oracle.

    def teardown(self) -> None:
        """Deliver everything in flight, old holders' orders last; targets must be reached."""
        self.settle(40)
        for sent in list(self.world.sent):
            self.deliver(sent, "arrives")
        self.settle(100)
        ready = [u for u, engine in self.world.engines.items() if self.meets_target(u, engine)]
        kept = [u for u in self.world.engines if u not in ready]
        for upstream in kept:
            assert self.is_kept_for_capacity(upstream), f"{upstream} never reached its target"
        assert not self.world.drained, "an engine stays drained"
        for upstream in CHECKED:
            if upstream in ready:
                highest = self.world.engines[upstream].highest
                assert highest >= self.current.lease * ORDERS_PER_LEASE, "accepts old orders"

    def meets_target(self, upstream: UpstreamId, engine: Engine) -> bool:
        target = self.targets[upstream]
        return (engine.model, engine.version) == (target.model, target.version)

    def is_kept_for_capacity(self, upstream: UpstreamId) -> bool:
        model = self.world.engines[upstream].model
        serving = [engine for engine in self.world.engines.values() if engine.model == model]
        return len(serving) - 1 < MIN_READY[ModelName(model)]

    def settle(self, rounds: int) -> None:
        for _ in range(rounds):
            for write in list(self.world.writes):
                self.end_write(write, CallFate.ANSWERED)
            for item in list(self.world.polls):
                self.report_state(item)
            for upstream in sorted(self.world.drained):
                self.drain(upstream)
            for sent in [sent for sent in self.world.sent if sent.holder.is_current]:
                self.deliver(sent, "arrives")
            self.pass_time(STATE_POLL_S / 2)

    def check_capacity(self, upstream: UpstreamId) -> None:
        """Check that enough other engines of the same model are ready when one is drained."""
        model = self.world.engines[upstream].model
        others = [
            name
            for name, engine in self.world.engines.items()
            if name != upstream and name not in self.world.drained
            if engine.model == model and self.now_s >= engine.loads_until_s
        ]
        is_ready = self.now_s >= self.world.engines[upstream].loads_until_s
        assert not is_ready or len(others) >= MIN_READY[ModelName(model)], "too few ready engines"


def test_orders_under_faults() -> None:
    run_steps(OrdersMachine, max_examples=150)
    COVERAGE.check()
