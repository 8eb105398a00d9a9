"""Orders from the holder of a service's lease to the service's engines; free of I/O.

An order states the model that an engine must serve. It is written to the table in a transaction
that also requires the holder's lease row to be unchanged. The engine is then drained, and the order
is sent if enough of the lease remains. It states the engine's target at the time of sending, which
may differ from the written row. A new holder polls every engine for its state, regardless of
the table, and sends a new order to each engine whose state differs from its target.

Known limitations:

- Engines that check the fencing number: a new holder sends each of them one order under its own
  number, even if nothing differs. From then on, no earlier order is applied. Until then a late
  order of the old holder may be applied, and the new holder's order reverts it.
- Engines that ignore the fencing number: an old holder's order that is delayed in the network, or
  that was written to the connection just before its sender paused, may be applied at any later
  time, even while requests are running. The next poll, every ``STATE_POLL_S``, detects it, and it
  is reverted after a drain; until then the engine may load or serve another model. Requests name
  their model, so the engine rejects those that it cannot serve. The delay has no upper bound.
- A drain is broadcast to schedulers and expires by itself. If a scheduler misses it, requests may
  reach an engine that is about to change; the engine ends or rejects them.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from result import Err, Result

from ..document import Fencing
from ..ids import FencingNumber, ModelName, ServiceName, UpstreamId
from ..upstream.adapters import EngineOrder, EngineState, UpstreamFault
from .order_records import OrderRecord, order_fencing, order_key, order_prefix
from .platform_services import Condition, Row, TableFault, Transaction, Write

STATE_POLL_S = 2.0
"""Interval at which the state of each engine is polled."""
ORDER_RETRY_S = 1.0
"""Delay before a new order after one that could not be written or was not applied."""
DRAIN_DURATION_S = 15.0
"""Time after which a drain expires unless it is renewed."""
DRAIN_TIMEOUT_S = 600.0
"""Time after which an order is aborted, and retried later, if its engine has not drained."""
ORDER_EFFECT_TIMEOUT_S = 10.0
"""Time after which an engine that is ready but not as ordered is assumed to have ignored it."""
LOAD_TIMEOUT_S = 300.0
"""Time after which an order is aborted, and retried if needed, if its engine is still loading."""
ORDER_MIN_LEASE_S = 4.0
"""Remaining lease time required to send an order; longer than sending can take."""


@dataclass(frozen=True, slots=True)
class EngineTarget:
    """The model, version, adapters and role that an engine should have."""

    model: ModelName
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"

    def is_met_by(self, state: EngineState) -> bool:
        """Return whether the engine's state matches this target, ready or still loading."""
        same_model = (state.model, state.version, state.role) == (
            self.model,
            self.version,
            self.role,
        )
        return same_model and sorted(state.adapters) == sorted(self.adapters)


@dataclass(frozen=True, slots=True)
class ScanOrders:
    """Scan rows with this prefix; the result goes to ``orders_read``."""

    prefix: str


@dataclass(frozen=True, slots=True)
class PollEngine:
    """Poll the engine for its state; the result goes to ``state_answered``."""

    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class WriteOrder:
    """Commit the transaction; the result goes to ``order_written``."""

    upstream: UpstreamId
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class DrainEngine:
    """Tell all schedulers to grant nothing to this engine for ``duration_s``; 0 ends the drain.

    The owner calls ``drained`` once the engine has no request in flight.
    """

    upstream: UpstreamId
    duration_s: float


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send the order if ``LeaseRegistry.fencing(service, ORDER_MIN_LEASE_S, now_s)`` is not None.

    The result goes to ``order_answered``; it is ``NOT_SENT`` if there is no fencing number.
    """

    upstream: UpstreamId
    order: EngineOrder


OrderAction = ScanOrders | PollEngine | WriteOrder | DrainEngine | SendOrder


class OrderPhase(Enum):
    """Progress of one engine towards its target."""

    WATCHED = "watched"
    """The engine is polled; no order is in progress."""
    WRITING = "writing"
    DRAINING = "draining"
    SENDING = "sending"
    LOADING = "loading"


@dataclass(slots=True)
class _Engine:
    upstream: UpstreamId
    target: EngineTarget
    fencing: Fencing
    phase: OrderPhase = OrderPhase.WATCHED
    phase_since_s: float = 0.0
    state: EngineState | None = None
    ordered_fencing: FencingNumber | None = None
    """Fencing number of this holder's last order; ``None`` after it was aborted."""
    row_version: int = 0
    is_poll_in_flight: bool = False
    next_poll_s: float = 0.0
    next_order_s: float = -math.inf
    next_drain_s: float = math.inf

    @property
    def is_draining(self) -> bool:
        return self.next_drain_s != math.inf

    @property
    def served_model(self) -> ModelName | None:
        """The model that the engine can currently serve requests for."""
        if self.state is None or not self.state.ready or self.is_draining:
            return None
        return ModelName(self.state.model)

    @property
    def is_order_applied(self) -> bool:
        """Whether the polled state shows that the last order was applied."""
        if self.state is None or self.ordered_fencing is None or not self.state.ready:
            return False
        if self.fencing is Fencing.CHECKED and self.state.highest_fencing < self.ordered_fencing:
            return False
        return self.target.is_met_by(self.state)

    @property
    def needs_order(self) -> bool:
        if self.state is None or self.state.leaving:
            return False
        if not self.target.is_met_by(self.state):
            return True
        return self.fencing is Fencing.CHECKED and self.ordered_fencing is None


class EngineOrders:
    """One holder's orders under one lease; discarded when the lease is lost.

    ``min_ready`` is the number of engines per model that stay ready while others change. No engine
    is taken from a model that would then have fewer.
    """

    def __init__(self, service: ServiceName, lease: FencingNumber) -> None:
        self._service = service
        self._lease = lease
        self._sequence = 0
        self._engines: dict[UpstreamId, _Engine] = {}
        self._min_ready: Mapping[ModelName, int] = {}
        self._rows: dict[str, int] | None = None
        self._is_scanning = False
        self._next_scan_s = -math.inf

    def set_targets(
        self,
        targets: Mapping[UpstreamId, tuple[EngineTarget, Fencing]],
        min_ready: Mapping[ModelName, int],
    ) -> None:
        """Set the targets; an engine without one is no longer tracked, and its drain expires.

        No new order is written for an engine while one is in progress. An order that is not sent
        yet is sent with the new target, so that it may differ from the row written for it.
        """
        self._min_ready = min_ready
        for upstream in [name for name in self._engines if name not in targets]:
            del self._engines[upstream]
        for upstream, (target, fencing) in targets.items():
            engine = self._engines.setdefault(upstream, _Engine(upstream, target, fencing))
            engine.target = target

    def phase(self, upstream: UpstreamId) -> OrderPhase | None:
        """Return the phase of an engine; ``None`` if it has no target."""
        engine = self._engines.get(upstream)
        return None if engine is None else engine.phase

    def tick(self, lease_row: Condition | None, now_s: float) -> list[OrderAction]:
        """Send due polls, drains and orders; ``lease_row`` is ``LeaseRegistry.row_condition``."""
        if lease_row is None:
            return []
        if self._rows is None:
            return self._scan_rows(now_s)
        actions: list[OrderAction] = []
        for engine in self._engines.values():
            actions += self._poll_and_drain(engine, now_s)
            if engine.phase is OrderPhase.WATCHED and engine.needs_order:
                actions += self._write_order(engine, lease_row, now_s)
        return actions

    def orders_read(self, answer: Result[list[Row], TableFault], now_s: float) -> None:
        """Handle the result of ``ScanOrders``: the row versions that writes require."""
        self._is_scanning = False
        if isinstance(answer, Err):
            self._next_scan_s = now_s + STATE_POLL_S
            return
        self._rows = {row.key: row.version for row in answer.ok_value}

    def state_answered(
        self, upstream: UpstreamId, answer: Result[EngineState, UpstreamFault], now_s: float
    ) -> list[OrderAction]:
        """Handle the result of ``PollEngine``."""
        engine = self._engines.get(upstream)
        if engine is None:
            return []
        engine.is_poll_in_flight = False
        engine.next_poll_s = now_s + STATE_POLL_S
        engine.state = None if isinstance(answer, Err) else answer.ok_value
        if engine.phase is not OrderPhase.LOADING or engine.state is None:
            return []
        if engine.is_order_applied:
            return self._end_change(engine, now_s)
        waited_s = now_s - engine.phase_since_s
        if waited_s > (ORDER_EFFECT_TIMEOUT_S if engine.state.ready else LOAD_TIMEOUT_S):
            return self._abort_order(engine, now_s)
        return []

    def order_written(
        self, upstream: UpstreamId, answer: Result[None, TableFault], now_s: float
    ) -> list[OrderAction]:
        """Handle the result of ``WriteOrder``; after a failure the rows are scanned again."""
        engine = self._engines.get(upstream)
        if engine is None or engine.phase is not OrderPhase.WRITING:
            return []
        if isinstance(answer, Err):
            self._rows = None
            self._next_scan_s = now_s
            return self._abort_order(engine, now_s)
        key = order_key(self._service, upstream)
        if self._rows is not None:
            self._rows[key] = self._rows.get(key, 0) + 1
        if engine.state is not None and engine.target.is_met_by(engine.state):
            # The order only raises the engine's fencing number, so no drain is needed.
            return self._send(engine, now_s)
        engine.phase = OrderPhase.DRAINING
        engine.phase_since_s = now_s
        engine.next_drain_s = now_s
        return self._renew_drain(engine, now_s)

    def drained(self, upstream: UpstreamId, now_s: float) -> list[OrderAction]:
        """Send the order: no request is in flight and no scheduler grants to the engine."""
        engine = self._engines.get(upstream)
        if engine is None or engine.phase is not OrderPhase.DRAINING:
            return []
        return self._send(engine, now_s)

    def order_answered(
        self, upstream: UpstreamId, answer: Result[None, UpstreamFault], now_s: float
    ) -> list[OrderAction]:
        """Handle the result of ``SendOrder``; if it is unknown, polling shows the outcome."""
        engine = self._engines.get(upstream)
        if engine is None or engine.phase is not OrderPhase.SENDING:
            return []
        rejections = (
            UpstreamFault.NOT_SENT,
            UpstreamFault.WRONG_ANSWER,
            UpstreamFault.NOT_SUPPORTED,
        )
        if isinstance(answer, Err) and answer.err_value in rejections:
            return self._abort_order(engine, now_s)
        engine.phase = OrderPhase.LOADING
        engine.phase_since_s = now_s
        engine.next_poll_s = now_s
        return []

    def _scan_rows(self, now_s: float) -> list[OrderAction]:
        if self._is_scanning or now_s < self._next_scan_s:
            return []
        self._is_scanning = True
        return [ScanOrders(order_prefix(self._service))]

    def _poll_and_drain(self, engine: _Engine, now_s: float) -> list[OrderAction]:
        actions = self._renew_drain(engine, now_s)
        if not engine.is_poll_in_flight and now_s >= engine.next_poll_s:
            engine.is_poll_in_flight = True
            actions.append(PollEngine(engine.upstream))
        if engine.phase is OrderPhase.DRAINING and now_s - engine.phase_since_s > DRAIN_TIMEOUT_S:
            actions += self._abort_order(engine, now_s)
        return actions

    def _renew_drain(self, engine: _Engine, now_s: float) -> list[OrderAction]:
        if now_s < engine.next_drain_s:
            return []
        engine.next_drain_s = now_s + DRAIN_DURATION_S / 3
        return [DrainEngine(engine.upstream, DRAIN_DURATION_S)]

    def _write_order(
        self, engine: _Engine, lease_row: Condition, now_s: float
    ) -> list[OrderAction]:
        if now_s < engine.next_order_s or not self._may_change(engine):
            return []
        self._sequence += 1
        engine.ordered_fencing = order_fencing(self._lease, self._sequence)
        engine.phase = OrderPhase.WRITING
        engine.phase_since_s = now_s
        record = OrderRecord(
            fencing=engine.ordered_fencing,
            model=engine.target.model,
            version=engine.target.version,
            adapters=engine.target.adapters,
            role=engine.target.role,
        )
        key = order_key(self._service, engine.upstream)
        version = 0 if self._rows is None else self._rows.get(key, 0)
        conditions = (lease_row, Condition(key, version))
        writes = (Write(key, record.model_dump_json()),)
        return [WriteOrder(engine.upstream, Transaction(conditions, writes))]

    def _may_change(self, engine: _Engine) -> bool:
        if engine.state is not None and engine.target.is_met_by(engine.state):
            return True
        model = engine.served_model
        if model is None:
            return True
        others = [
            other
            for other in self._engines.values()
            if other is not engine and other.served_model == model and not _is_changing(other)
        ]
        return len(others) >= self._min_ready.get(model, 0)

    def _send(self, engine: _Engine, now_s: float) -> list[OrderAction]:
        if engine.ordered_fencing is None:
            return self._abort_order(engine, now_s)
        engine.phase = OrderPhase.SENDING
        engine.phase_since_s = now_s
        target = engine.target
        order = EngineOrder(
            engine.ordered_fencing, target.model, target.version, target.adapters, target.role
        )
        return [SendOrder(engine.upstream, order)]

    def _end_change(self, engine: _Engine, now_s: float) -> list[OrderAction]:
        engine.phase = OrderPhase.WATCHED
        engine.phase_since_s = now_s
        if not engine.is_draining:
            return []
        engine.next_drain_s = math.inf
        return [DrainEngine(engine.upstream, 0.0)]

    def _abort_order(self, engine: _Engine, now_s: float) -> list[OrderAction]:
        """Give up an order that was apparently not applied; the next one gets a new number."""
        engine.ordered_fencing = None
        engine.next_order_s = now_s + ORDER_RETRY_S
        return self._end_change(engine, now_s)


def _is_changing(engine: _Engine) -> bool:
    """Return whether an order is in progress that changes the engine's state."""
    if engine.phase is OrderPhase.WATCHED:
        return False
    return engine.state is None or not engine.target.is_met_by(engine.state)
