"""Controller that runs the schedulers of shards whose entries send their tickets to this node."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import trio

from ..document import ServiceDocument, UpstreamKind
from ..events import Event, error_location, log_event
from ..ids import InstanceId, ModelName, ServiceName, UpstreamId, shard_id
from ..node_context import NodeContext, node_controller
from ..peers.heartbeats import PeerChange, PeerChangeKind
from ..peers.message_dispatch import MessageHandler
from ..peers.roles import Role
from ..upstream.adapters import EngineState, UpstreamAdapter, UpstreamFault
from ..upstream.controller import UpstreamController
from ..upstream.directory import KnownUpstream
from .messages import (
    Declined,
    Dispatched,
    Ended,
    GrantNotice,
    PoisonNotice,
    Progress,
    Refresh,
    RefreshRequest,
    RefusalNotice,
    SchedulerAck,
    Submit,
    Withdraw,
)
from .shard import ShardScheduler
from .shard_status import ShardStatus
from .tickets import Decision, EndState, Grant, Refusal

ACK_INTERVAL_S = 0.1
POLL_INTERVAL_S = 1.0
FIRST_MODELS_WAIT_S = 0.5
"""Maximum time to collect the first model lists of a shard's engines before they are used.

They are used together, so that the first engine to answer does not get all waiting tickets.
"""
IDLE_SHARD_TIMEOUT_S = 60.0
"""A shard without submits or refreshes from entries for this long is dropped."""


@dataclass(slots=True)
class HostedShard:
    """A shard that this node schedules."""

    service: ServiceName
    scheduler: ShardScheduler
    last_used_s: float
    cache_sequence: dict[UpstreamId, int] = field(default_factory=dict)
    """Sequence number of the last cache event read from each upstream."""
    logged_degraded: set[UpstreamId] = field(default_factory=set)
    """Upstreams that were degraded when changes were last logged."""
    polled_engines: set[UpstreamId] = field(default_factory=set)
    """Engines whose models have been polled at least once."""
    pending_models: dict[UpstreamId, frozenset[ModelName] | None] = field(default_factory=dict)
    """Polled models that have not been passed to the scheduler yet."""


@node_controller(Role.SCHEDULER)
class SchedulerController:
    """Runs one ``ShardScheduler`` for each service whose entries send tickets to this node."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._shards: dict[ServiceName, HostedShard] = {}
        self._pending_acks: set[tuple[InstanceId, ServiceName]] = set()
        self._wake = trio.Event()
        self._poll_now = trio.Event()
        context.document_listeners.append(self._on_document)
        context.upstream_listeners.append(self._on_upstream)
        context.peer_listeners.append(self._on_peer_change)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {
            Submit: self._on_submit,
            Withdraw: self._on_withdraw,
            Dispatched: self._on_dispatched,
            Progress: self._on_progress,
            Ended: self._on_ended,
            Declined: self._on_declined,
            Refresh: self._on_refresh,
            PoisonNotice: self._on_poison,
        }

    def statuses(self) -> list[ShardStatus]:
        """Return the status of the shards that this node schedules."""
        now_s = self._context.now_s()
        return [hosted.scheduler.status(now_s) for hosted in self._shards.values()]

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_upstreams)
            nursery.start_soon(self._send_acks)
            while True:
                self._tick()
                await self._sleep()

    # Timers.

    def _tick(self) -> None:
        now_s = self._context.now_s()
        for service, hosted in list(self._shards.items()):
            if now_s - hosted.last_used_s > IDLE_SHARD_TIMEOUT_S:
                del self._shards[service]
            elif hosted.scheduler.next_tick_s() <= now_s:
                self._deliver(hosted, hosted.scheduler.tick(now_s))

    async def _sleep(self) -> None:
        times = [hosted.scheduler.next_tick_s() for hosted in self._shards.values()]
        due_s = min(times, default=trio.current_time() + IDLE_SHARD_TIMEOUT_S)
        pause_s = min(max(due_s - trio.current_time(), 0.001), IDLE_SHARD_TIMEOUT_S)
        self._wake = trio.Event()
        with trio.move_on_after(pause_s):
            await self._wake.wait()

    async def _send_acks(self) -> None:
        while True:
            await trio.sleep(ACK_INTERVAL_S)
            pending, self._pending_acks = self._pending_acks, set()
            for entry, service in pending:
                self._context.post(entry, SchedulerAck(service))

    # Entries.

    def _on_submit(self, sender: InstanceId, message: Submit) -> None:
        hosted = self._get_or_open(message.ticket.service, sender)
        if hosted is not None:
            self._deliver(hosted, hosted.scheduler.submit(message.ticket, self._context.now_s()))

    def _on_withdraw(self, sender: InstanceId, message: Withdraw) -> None:
        hosted = self._shards.get(message.service)
        if hosted is not None:
            now_s = self._context.now_s()
            self._deliver(hosted, hosted.scheduler.withdraw(message.request_id, now_s))

    def _on_dispatched(self, sender: InstanceId, message: Dispatched) -> None:
        hosted = self._shards.get(message.service)
        if hosted is not None:
            decisions = hosted.scheduler.dispatched(
                message.request_id, message.attempt, message.upstream, self._context.now_s()
            )
            self._deliver(hosted, decisions)

    def _on_progress(self, sender: InstanceId, message: Progress) -> None:
        hosted = self._shards.get(message.service)
        if hosted is not None:
            now_s = self._context.now_s()
            for line in message.lines:
                hosted.scheduler.progress(line.request_id, line.output_tokens, now_s)
            # A first token releases prompt tokens, which a waiting ticket may use.
            self._deliver(hosted, hosted.scheduler.tick(now_s))

    def _on_ended(self, sender: InstanceId, message: Ended) -> None:
        if message.end is EndState.UPSTREAM_CRASHED:
            log_event(
                Event.UPSTREAM_CRASHED, service=message.service, request_id=message.request_id
            )
        hosted = self._shards.get(message.service)
        if hosted is not None:
            decisions = hosted.scheduler.ended(
                message.request_id, message.end, message.cached_prompt_tokens, self._context.now_s()
            )
            self._deliver(hosted, decisions)

    def _on_declined(self, sender: InstanceId, message: Declined) -> None:
        hosted = self._shards.get(message.service)
        if hosted is not None:
            decisions = hosted.scheduler.declined(
                message.request_id, message.attempt, self._context.now_s()
            )
            self._deliver(hosted, decisions)

    def _on_refresh(self, sender: InstanceId, message: Refresh) -> None:
        is_empty = not message.waiting and not message.in_flight
        if is_empty and message.service not in self._shards:
            return
        hosted = self._get_or_open(message.service, sender)
        if hosted is not None:
            decisions = hosted.scheduler.refresh(
                message.entry,
                list(message.waiting),
                list(message.in_flight),
                self._context.now_s(),
            )
            self._deliver(hosted, decisions)

    def _on_poison(self, sender: InstanceId, message: PoisonNotice) -> None:
        hosted = self._shards.get(message.service)
        if hosted is not None:
            for verdict in message.verdicts:
                decisions = hosted.scheduler.apply_peer_verdict(verdict, self._context.now_s())
                self._deliver(hosted, decisions, share_verdicts=False)

    # Shards.

    def _get_or_open(self, service: ServiceName, sender: InstanceId) -> HostedShard | None:
        """Return the shard of a service, opened if new, and schedule an acknowledgement."""
        hosted = self._shards.get(service) or self._open(service)
        if hosted is not None:
            hosted.last_used_s = self._context.now_s()
            self._pending_acks.add((sender, service))
        return hosted

    def _open(self, service: ServiceName) -> HostedShard | None:
        context = self._context
        document = context.configuration.document(service)
        if document is None:
            return None
        now_s = context.now_s()
        scheduler = ShardScheduler(
            shard_id(service), document, context.settings.scheduler, context.rng, now_s
        )
        hosted = HostedShard(service, scheduler, now_s)
        self._shards[service] = hosted
        for known in context.directory.of_service(service):
            self._update_upstream(hosted, known.upstream.upstream)
        for info in context.membership.present():
            context.post(info.instance, RefreshRequest(service))
        context.post(context.instance, RefreshRequest(service))
        return hosted

    def _on_document(self, service: ServiceName, document: ServiceDocument) -> None:
        hosted = self._shards.get(service)
        if hosted is not None:
            self._deliver(hosted, hosted.scheduler.configure(document, self._context.now_s()))

    def _on_upstream(self, upstream: UpstreamId) -> None:
        for hosted in self._shards.values():
            self._update_upstream(hosted, upstream)

    def _update_upstream(self, hosted: HostedShard, upstream: UpstreamId) -> None:
        """Update one upstream of a shard from the directory."""
        now_s = self._context.now_s()
        known = self._context.directory.get(upstream)
        if known is None or known.service != hosted.service:
            self._deliver(hosted, hosted.scheduler.remove_upstream(upstream, now_s))
            return
        if self._context.directory.is_leaving(upstream):
            self._deliver(hosted, hosted.scheduler.mark_leaving(upstream, now_s))
            log_event(Event.UPSTREAM_LEAVING, service=hosted.service, upstream=upstream)
            return
        if known.upstream.kind is UpstreamKind.ENGINE and upstream not in hosted.polled_engines:
            hosted.scheduler.await_models(upstream)
            self._poll_now.set()
        decisions = hosted.scheduler.add_upstream(known.upstream, known.group, now_s)
        self._deliver(hosted, decisions + hosted.scheduler.clear_leaving(upstream, now_s))
        log_event(Event.UPSTREAM_ADDED, service=hosted.service, upstream=upstream)

    def _on_peer_change(self, change: PeerChange) -> None:
        # The streams of a silent node must not occupy capacity that waiting work needs. If the node
        # is alive, its next refresh reports its requests again.
        if change.kind not in (PeerChangeKind.SUSPECT, PeerChangeKind.GONE):
            return
        for hosted in self._shards.values():
            now_s = self._context.now_s()
            self._deliver(hosted, hosted.scheduler.remove_entry(change.info.instance, now_s))

    # Polling of upstreams.

    async def _poll_upstreams(self) -> None:
        while True:
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._poll_now.wait()
            self._poll_now = trio.Event()
            async with trio.open_nursery() as nursery:
                for hosted in list(self._shards.values()):
                    self._log_degraded_changes(hosted)
                    if self._unpolled_engines(hosted):
                        nursery.start_soon(self._apply_pending_models_later, hosted)
                    for known in self._context.directory.of_service(hosted.service):
                        nursery.start_soon(self._poll_upstream_safely, hosted, known)

    def _log_degraded_changes(self, hosted: HostedShard) -> None:
        status = hosted.scheduler.status(self._context.now_s())
        degraded = {one.upstream for one in status.upstreams if one.declined}
        for upstream in sorted(degraded ^ hosted.logged_degraded):
            log_event(
                Event.UPSTREAM_DECLINING,
                service=hosted.service,
                upstream=upstream,
                declined=upstream in degraded,
            )
        hosted.logged_degraded = degraded

    async def _poll_upstream_safely(self, hosted: HostedShard, known: KnownUpstream) -> None:
        try:
            await self._poll_upstream(hosted, known)
        except Exception as error:
            # A failure of one adapter must not stop the polling of other upstreams.
            log_event(
                Event.UPSTREAM_REPORT_FAILED,
                upstream=known.upstream.upstream,
                reason=type(error).__name__,
                place=error_location(error),
            )

    async def _poll_upstream(self, hosted: HostedShard, known: KnownUpstream) -> None:
        upstream = known.upstream.upstream
        adapter = self._context.directory.adapter(upstream)
        if adapter is None:
            return
        await self._poll_state(hosted, known, adapter)
        if not known.group.reports_load:
            return
        report = await adapter.load()
        if report.is_ok():
            decisions = hosted.scheduler.load_report(report.unwrap(), self._context.now_s())
            self._deliver(hosted, decisions)
        else:
            log_event(Event.UPSTREAM_REPORT_FAILED, upstream=upstream, reason=report.unwrap_err())
        after = hosted.cache_sequence.get(upstream, 0)
        events = (await adapter.cache_events(after)).unwrap_or([])
        if events:
            hosted.cache_sequence[upstream] = events[-1].sequence
            hosted.scheduler.cache_events(events, self._context.now_s())

    async def _poll_state(
        self, hosted: HostedShard, known: KnownUpstream, adapter: UpstreamAdapter
    ) -> None:
        upstream = known.upstream.upstream
        asked_s = self._context.now_s()
        state = await adapter.state()
        if state.is_ok():
            controller = self._context.controller(UpstreamController)
            controller.record_self_report(upstream, leaving=state.unwrap().leaving, asked_s=asked_s)
        if known.upstream.kind is not UpstreamKind.ENGINE:
            return
        if state.is_ok():
            models: frozenset[ModelName] | None = _models_of(state.unwrap())
        elif upstream in hosted.polled_engines and state.err() is not UpstreamFault.NOT_SUPPORTED:
            # An engine that does not answer is assumed to serve the models of its last answer.
            return
        else:
            models = None
        self._record_models(hosted, upstream, models)

    def _record_models(
        self, hosted: HostedShard, upstream: UpstreamId, models: frozenset[ModelName] | None
    ) -> None:
        """Record an engine's models and pass them to the scheduler.

        First answers are passed together, so that no single engine gets all waiting tickets.
        """
        hosted.pending_models[upstream] = models
        is_first = upstream not in hosted.polled_engines
        hosted.polled_engines.add(upstream)
        if not is_first or not self._unpolled_engines(hosted):
            self._apply_pending_models(hosted)

    def _unpolled_engines(self, hosted: HostedShard) -> list[UpstreamId]:
        """Return the engines whose models have not been polled yet."""
        return [
            known.upstream.upstream
            for known in self._context.directory.of_service(hosted.service)
            if known.upstream.kind is UpstreamKind.ENGINE
            and known.upstream.upstream not in hosted.polled_engines
        ]

    def _apply_pending_models(self, hosted: HostedShard) -> None:
        models, hosted.pending_models = hosted.pending_models, {}
        if models:
            self._deliver(hosted, hosted.scheduler.set_models(models, self._context.now_s()))

    async def _apply_pending_models_later(self, hosted: HostedShard) -> None:
        await trio.sleep(FIRST_MODELS_WAIT_S)
        self._apply_pending_models(hosted)

    # Decisions.

    def _deliver(
        self, hosted: HostedShard, decisions: list[Decision], *, share_verdicts: bool = True
    ) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                self._send_grant(hosted, decision)
            else:
                self._send_refusal(hosted, decision)
        verdicts = hosted.scheduler.pop_new_verdicts()
        if verdicts and share_verdicts:
            self._context.broadcast(PoisonNotice(hosted.service, tuple(verdicts)))
        for verdict in verdicts:
            log_event(
                Event.POISON_VERDICT,
                service=hosted.service,
                fingerprint=verdict.fingerprint,
                state=verdict.state,
                crashes=verdict.crashes,
            )
        self._wake.set()

    def _send_grant(self, hosted: HostedShard, grant: Grant) -> None:
        log_event(
            Event.ROUTE_GRANTED,
            service=hosted.service,
            request_id=grant.request_id,
            attempt=grant.attempt,
            upstream=grant.upstream,
            reason=grant.reason,
        )
        self._context.post(grant.entry, GrantNotice(hosted.service, grant))

    def _send_refusal(self, hosted: HostedShard, refusal: Refusal) -> None:
        log_event(
            Event.ROUTE_REFUSED,
            service=hosted.service,
            request_id=refusal.request_id,
            reason=refusal.reason,
            retry_after_s=round(refusal.retry_after_s, 2),
        )
        self._context.post(refusal.entry, RefusalNotice(hosted.service, refusal))


def _models_of(state: EngineState) -> frozenset[ModelName]:
    """Return the models that an engine serves now, including its adapters."""
    if not state.ready:
        return frozenset()
    return frozenset(ModelName(name) for name in (state.model, *state.adapters))
