"""Controller that follows operators' orders to roll a software version out.

The coordinator judges and stores the state of each order; every other node follows its notices, and
reads the stored state itself when it does not hear any.
"""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ...events import Event, log_event
from ...ids import InstanceId, ServiceName
from ...peers.message_dispatch import MessageHandler
from ...platform import rollout_rows
from ...platform.store import RowWrite, StoreFault, StoreRow
from ...util.lean_dataclasses import dataclass
from ..context import GatewayContext, gateway_controller
from ..reading import ReadingController
from ..routes import RoutingConfig
from ..table_freshness import POLL_SHARE
from .judgement import Verdict
from .messages import RolloutNotice, view_of
from .orders import RolloutRecord, RolloutState
from .service_rollout import ServiceRollout
from .version_gate import RolloutTracker

JUDGE_INTERVAL_S = 0.05
"""Interval between looks at the evidence; a small fraction of the time for a roll back."""
STORE_INTERVAL_S = 0.1
"""Interval between looks at what is to be stored."""
FOLLOW_INTERVAL_S = 0.25
"""The same where there is nothing to decide."""
START_PERIOD_S = 5.0
"""A node that runs for longer knows of its peers and of earlier orders."""
NOTICE_INTERVAL_S = 0.5
"""Interval between notices to all nodes while a roll-out runs; several fit into the time for which
nodes trust what they have heard."""
REPEAT_ENDED_S = 5.0
"""Time for which an outcome is repeated in these notices, as one may be lost."""
CONFIRM_INTERVAL_S = 1.2
"""A node that has not heard of a running roll-out for this long reads its state; two notices may be
lost."""
RETRY_INTERVAL_S = 0.3
"""Delay after a call to the store that failed."""
CALL_NAME = "rollouts"


@dataclass(frozen=True, slots=True)
class _Stored:
    record: RolloutRecord
    version: int


@gateway_controller
class RolloutController:
    """Reads orders and their state, and stores the state while this node coordinates."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._stored: dict[ServiceName, _Stored] | None = None
        """The rows as this node last read or wrote them; ``None`` if unknown."""
        self._store_clock_offset_s = 0.0
        """Time by which the store's clock is ahead of this process's clock."""
        self._read_s = float("-inf")
        self._ended_s: dict[ServiceName, float] = {}
        self._has_orders = trio.Event()
        tracker = context.placements.rollouts
        if tracker is None:
            return
        tracker.operator_rows_known = lambda: context.controller(
            ReadingController
        ).operator_rows_known()
        tracker.coordinator_knows_orders = self._coordinator_knows_orders
        context.operator_row_listeners.append(self._on_operator_rows)
        context.config_listeners.append(self._on_config)
        context.coordinator_listeners.append(self._on_coordinator)
        context.store.era_listeners.append(self._begin_era)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {RolloutNotice: self._on_notice}

    async def run(self) -> None:
        tracker = self._context.placements.rollouts
        if tracker is None:
            return
        self._on_coordinator()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_judging, tracker)
            nursery.start_soon(self._keep_stored, tracker)
            nursery.start_soon(self._keep_telling, tracker)

    def repeat_to(self, instance: InstanceId) -> None:
        """Tell a node that has started, or was out of reach, what has been decided."""
        tracker = self._context.placements.rollouts
        notice = None if tracker is None else self._notice(tracker.rollouts())
        if notice is not None:
            self._context.post(instance, notice)

    def _coordinator_knows_orders(self) -> bool:
        """Return whether the coordinator runs a build that holds to orders."""
        context, coordinator = self._context, self._context.choice.coordinator
        if context.choice.is_coordinator:
            return True
        address = context.membership.address_of(coordinator)
        return address is not None and context.links.understands(
            coordinator, address, RolloutNotice
        )

    async def _keep_judging(self, tracker: RolloutTracker) -> None:
        while True:
            await self._has_orders.wait()
            await trio.sleep(self._interval_s(tracker, JUDGE_INTERVAL_S))
            # A call to the store may hold up the other loop, in which peers may have been lost.
            self._on_coordinator()
            if not tracker.is_deciding:
                continue
            now_s = self._context.now_s()
            changed = [rollout for rollout in tracker.rollouts() if rollout.judge(now_s)]
            for rollout in changed:
                self._log_verdict(rollout, is_own=True)
            self._tell(changed)

    async def _keep_telling(self, tracker: RolloutTracker) -> None:
        while True:
            await self._has_orders.wait()
            await trio.sleep(NOTICE_INTERVAL_S)
            if tracker.is_deciding:
                now_s = self._context.now_s()
                self._tell(
                    [
                        rollout
                        for rollout in tracker.rollouts()
                        if not rollout.is_ended or self._ended_lately(rollout, now_s)
                    ]
                )

    def _ended_lately(self, rollout: ServiceRollout, now_s: float) -> bool:
        ended_s = self._ended_s.get(rollout.order.service, float("-inf"))
        return now_s - ended_s < REPEAT_ENDED_S

    def _tell(self, rollouts: list[ServiceRollout]) -> None:
        notice = self._notice(rollouts)
        if notice is not None:
            self._context.broadcast(notice)

    def _notice(self, rollouts: list[ServiceRollout]) -> RolloutNotice | None:
        now_s = self._context.now_s()
        views = tuple(
            view_of(
                rollout.record,
                now_s - rollout.ordered_s,
                min(rollout.unconfirmed_for_s(now_s), 1e6),
            )
            for rollout in rollouts
            if rollout.record is not None
        )
        return RolloutNotice(views) if views else None

    async def _keep_stored(self, tracker: RolloutTracker) -> None:
        while True:
            await self._has_orders.wait()
            self._on_coordinator()
            is_done = True
            if self._needs_read(tracker):
                is_done = await self._read(tracker)
            if is_done and tracker.is_deciding and self._stored is not None:
                for rollout in tracker.rollouts():
                    is_done = await self._store(rollout) and is_done
            interval_s = (
                self._interval_s(tracker, STORE_INTERVAL_S) if is_done else RETRY_INTERVAL_S
            )
            await trio.sleep(interval_s * (1 + self._context.rng.random()))

    def _interval_s(self, tracker: RolloutTracker, running_s: float) -> float:
        """Return the interval of a loop, which is longer at nodes that only follow."""
        is_running = any(not rollout.is_ended for rollout in tracker.rollouts())
        return running_s if is_running and tracker.is_deciding else FOLLOW_INTERVAL_S

    def _needs_read(self, tracker: RolloutTracker) -> bool:
        now_s = self._context.now_s()
        if tracker.is_deciding and self._stored is None:
            return True
        if now_s - self._read_s < CONFIRM_INTERVAL_S:
            return False
        return any(
            not rollout.is_ended and rollout.unconfirmed_for_s(now_s) >= CONFIRM_INTERVAL_S
            for rollout in tracker.rollouts()
        )

    async def _read(self, tracker: RolloutTracker) -> bool:
        self._read_s = requested_s = self._context.now_s()
        page = await self._context.store.read_table(rollout_rows.RECORDS_TABLE)
        if isinstance(page, Err):
            self._record_fault(page.err_value)
            return False
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._store_clock_offset_s = page.ok_value.now_s - requested_s
        stored: dict[ServiceName, _Stored] = {}
        for row in page.ok_value.rows:
            decoded = rollout_rows.decode_record(row.key, row.value or b"")
            if isinstance(decoded, Err):
                log_event(
                    Event.ROW_REJECTED, table="rollouts", row=row.key, error=decoded.err_value
                )
                continue
            record = decoded.ok_value
            stored[ServiceName(row.key)] = _Stored(record, row.version)
            self._adopt_stored(tracker, record, row.version, requested_s)
        self._stored = stored
        return True

    def _adopt_stored(
        self, tracker: RolloutTracker, record: RolloutRecord, version: int, requested_s: float
    ) -> None:
        known = tracker.rollout(record.order.service)
        previous = None if self._stored is None else self._stored.get(record.order.service)
        if known is not None and previous is not None and previous.version == version:
            # Nobody else has written: the reserved block is still this node's.
            known.confirm(requested_s)
            return
        ordered_s = record.ordered_at_s - self._store_clock_offset_s
        self._adopt(tracker, record, ordered_s, requested_s)

    async def _store(self, rollout: ServiceRollout) -> bool:
        """Store what has changed about an order; return false if that has to be tried again."""
        context, now_s = self._context, self._context.now_s()
        service = rollout.order.service
        if rollout.record is None:
            ordered_at_s = rollout.ordered_s + self._store_clock_offset_s
            rollout.adopt(rollout.begin(ordered_at_s), rollout.ordered_s, float("-inf"))
        stored = None if self._stored is None else self._stored.get(service)
        models = context.placements.dispatcher(service).models()
        due = rollout.due_state(models, now_s)
        if not _is_behind(stored, rollout, due):
            return True
        record = rollout.next_record(due, now_s)
        version = 0 if stored is None else stored.version
        written = await context.store.write(
            (
                RowWrite(
                    rollout_rows.RECORDS_TABLE, service, rollout_rows.encode_record(record), version
                ),
                RowWrite(
                    rollout_rows.STATUS_TABLE,
                    rollout_rows.status_key(service),
                    rollout_rows.encode_status(record),
                ),
            )
        )
        if isinstance(written, Err):
            self._record_fault(written.err_value)
            log_event(
                Event.ROLLOUT_STORED,
                service=service,
                to_version=rollout.order.to,
                state=due.value,
                fault=written.err_value.value,
            )
            if written.err_value is not StoreFault.NOT_APPLIED:
                # Another node has written, or nobody can tell whether this one has.
                self._stored = None
            return False
        context.metrics.record_store_call(CALL_NAME, "ok")
        self._record_stored(rollout, record, written.ok_value)
        return True

    def _record_stored(self, rollout: ServiceRollout, record: RolloutRecord, version: int) -> None:
        context, service = self._context, rollout.order.service
        if self._stored is not None:
            self._stored[service] = _Stored(record, version)
        tracker = context.placements.rollouts
        if tracker is None or tracker.rollout(service) is not rollout:
            # Another order came meanwhile.
            return
        was_ended = rollout.is_ended
        rollout.record_stored(record, context.now_s())
        log_event(
            Event.ROLLOUT_STORED,
            service=service,
            to_version=rollout.order.to,
            state=record.state.value,
            verdict=record.verdict.value,
            exposed=record.exposed,
        )
        if rollout.is_ended and not was_ended:
            self._record_end(rollout)
        self._tell([rollout])

    def _record_fault(self, fault: StoreFault) -> None:
        self._context.metrics.record_store_call(CALL_NAME, fault.value)
        if fault is not StoreFault.CONFLICT:
            log_event(Event.PLATFORM_DOWN, call=CALL_NAME, fault=fault.value)

    def _on_notice(self, _sender: InstanceId, notice: RolloutNotice) -> None:
        tracker, now_s = self._context.placements.rollouts, self._context.now_s()
        if tracker is None:
            return
        for view in notice.rollouts:
            self._adopt(tracker, view.record(), now_s - view.age_s, now_s - view.confirmed_age_s)

    def _adopt(
        self, tracker: RolloutTracker, record: RolloutRecord, ordered_s: float, heard_s: float
    ) -> None:
        service = record.order.service
        before = tracker.rollout(service)
        verdict = Verdict.UNDECIDED if before is None else before.verdict
        was_ended = before is not None and before.is_ended
        if not tracker.adopt(record, ordered_s, heard_s):
            return
        rollout = tracker.rollout(service)
        assert rollout is not None
        if rollout is not before:
            self._log_order(rollout)
            verdict, was_ended = Verdict.UNDECIDED, False
        if rollout.verdict is not verdict:
            self._log_verdict(rollout, is_own=False)
        if rollout.is_ended and not was_ended:
            self._record_end(rollout)

    def _on_operator_rows(self, updated_rows: list[StoreRow]) -> None:
        tracker, context = self._context.placements.rollouts, self._context
        if tracker is None:
            return
        # The order may have been written right after the last read of the table.
        lag_s = POLL_SHARE * context.settings.reading.notice_within_s
        for row in updated_rows:
            if row.value is None or not row.key.startswith(rollout_rows.ORDER_KEY_PREFIX):
                continue
            decoded = rollout_rows.decode_order(row.key, row.value, row.version, context.store.era)
            if isinstance(decoded, Err):
                log_event(Event.ROW_REJECTED, table="op", row=row.key, error=decoded.err_value)
                continue
            if tracker.add_order(decoded.ok_value, context.now_s() - lag_s):
                rollout = tracker.rollout(decoded.ok_value.service)
                assert rollout is not None
                self._log_order(rollout)

    def _log_order(self, rollout: ServiceRollout) -> None:
        order, now_s = rollout.order, self._context.now_s()
        if now_s - self._context.started_s > START_PERIOD_S:
            # The order is new, and its state will be told; a node that starts reads it instead.
            self._read_s = now_s
        self._ended_s.pop(order.service, None)
        if self._context.config is not None:
            self._on_config(self._context.config)
        self._has_orders.set()
        log_event(
            Event.ROLLOUT_ORDERED,
            service=order.service,
            to_version=order.to,
            duration_s=order.duration_s,
            row_version=order.version,
        )

    def _log_verdict(self, rollout: ServiceRollout, *, is_own: bool) -> None:
        evidence = rollout.evidence(self._context.now_s())
        log_event(
            Event.ROLLOUT_JUDGED,
            service=rollout.order.service,
            to_version=rollout.order.to,
            verdict=rollout.verdict.value,
            is_own=is_own,
            reason=evidence.reason,
            answers=evidence.candidate_samples,
        )

    def _record_end(self, rollout: ServiceRollout) -> None:
        self._ended_s[rollout.order.service] = self._context.now_s()
        log_event(
            Event.ROLLOUT_ENDED,
            service=rollout.order.service,
            to_version=rollout.order.to,
            state=rollout.state.value,
            verdict=rollout.verdict.value,
        )

    def _on_config(self, config: RoutingConfig) -> None:
        tracker = self._context.placements.rollouts
        for rollout in () if tracker is None else tracker.rollouts():
            service = rollout.order.service
            rollout.longest_stream_s = max(
                (route.timeout_s for route in config.routes if route.allows(service)), default=0.0
            )

    def _on_coordinator(self) -> None:
        tracker, now_s = self._context.placements.rollouts, self._context.now_s()
        if tracker is None or tracker.is_deciding == self._may_decide(now_s):
            return
        tracker.set_deciding(not tracker.is_deciding, now_s)
        # Another node has written, or will.
        self._stored = None

    def _may_decide(self, now_s: float) -> bool:
        """Return whether this node decides for all.

        A node that sees few of its peers, since it is cut off or has just started, takes itself for
        the coordinator too; if it decided, it would spend exposure on few answers.
        """
        context = self._context
        if not context.choice.is_coordinator:
            return False
        alive, present = len(context.membership.alive(now_s)), len(context.membership.present()) + 1
        has_joined = now_s - context.started_s >= START_PERIOD_S or (
            context.listed_nodes is not None and alive >= context.listed_nodes
        )
        return has_joined and 2 * alive >= present

    def _begin_era(self) -> None:
        """Trust nothing, and store again what the store may have lost."""
        self._stored = None
        tracker = self._context.placements.rollouts
        for rollout in () if tracker is None else tracker.rollouts():
            rollout.expire()


def _is_behind(stored: _Stored | None, rollout: ServiceRollout, due: RolloutState) -> bool:
    """Return whether the stored state lacks something that this node knows."""
    if stored is None or not stored.record.order.is_same_as(rollout.order):
        return True
    record = stored.record
    if record.state is not due or record.verdict is not rollout.verdict:
        return True
    return rollout.needs_block() or rollout.has_more_evidence(record)
