"""Controller that decides about tickets.

On the coordinator these are the tickets of all nodes; on its deputy, those of nodes that get no
reply from the coordinator; on any other node, its own tickets while neither replies.
"""

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import IncarnationId, InstanceId, ServiceName, Tier, UpstreamId
from ..peers.heartbeats import PeerChangeKind
from ..peers.message_dispatch import MessageHandler
from .context import JOIN_PERIOD_S, GatewayContext, gateway_controller
from .coordination import FULL_COVER_SHARE, UNRESPONSIVE_PAUSE_S
from .crash_reports import CrashReportController
from .messages import (
    FleetDigest,
    LoadRefresh,
    LoadReports,
    PlacementReply,
    PlacementRequest,
    ReplyState,
    TicketWithdrawal,
)
from .own_places import OwnPlaces
from .placement_registry import ASSUMED_NODES, Scope
from .routes import RoutingConfig
from .tickets import MAX_TICKET_PARTS, Decision, Placement, Refused, Ticket, TicketKey

TAKE_OVER_S = 1.0
"""Time within which all nodes learn of a new coordinator and tell it of their requests in
flight."""
DIGEST_NODES = 64
"""For each so many nodes, the interval between digests is lengthened by itself."""
ASKING_MEMORY_S = 2.0
"""A node that asked a deputy this long ago may decide by itself again."""
LATENESS_INTERVAL_S = 0.1
LATE_SHARE = 0.5
"""A coordinator whose loop is late by more than this fraction of the time that nodes wait for a
reply declines some tickets."""
DECLINED_SHARE = 0.2
POLL_INTERVAL_S = 0.02
"""Interval between polls of queued tickets, besides the poll after each change; a small fraction of
any latency objective."""


@dataclass(slots=True)
class _LocalWait:
    decided: trio.Event = field(default_factory=trio.Event)
    decision: Decision | None = None


@gateway_controller
class CoordinatorController:
    """Submits tickets to this node's placement registry and delivers the decisions."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._local_waits: dict[TicketKey, _LocalWait] = {}
        self._remote_waits: dict[TicketKey, InstanceId] = {}
        self._reporting_nodes: set[IncarnationId] = set()
        """Incarnations of nodes that have reported their locally admitted usage and have not been
        suspected since."""
        self._asked_s: dict[InstanceId, float] = {}
        """When nodes asked this one last while it was not the coordinator."""
        self._lost_places: OwnPlaces | None = None
        self.is_late = False
        """Whether this node coordinates and has fallen behind with its messages."""
        self._was_coordinator = False
        self._coordinates_since_s = float("-inf")
        self._has_waits = trio.Event()
        context.config_listeners.append(self._on_config)
        context.fleet_listeners.append(self._update_upstreams)
        context.coordinator_listeners.append(self.update_scope)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {
            PlacementRequest: self._on_placement_request,
            TicketWithdrawal: self._on_withdrawal,
            LoadReports: self._on_reports,
            LoadRefresh: self._on_refresh,
            FleetDigest: self._on_digest,
        }

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_waiting)
            nursery.start_soon(self._broadcast_digests)
            nursery.start_soon(self._watch_lateness)

    async def place_locally(self, ticket: Ticket) -> Decision:
        """Decide about a ticket of this node locally; cancelling the wait withdraws the ticket."""
        decision = await self._decide_locally(ticket)
        if isinstance(decision, Placement):
            context = self._context
            context.placements.record_local_usage(ticket, context.incarnation, context.now_s())
        return decision

    async def _decide_locally(self, ticket: Ticket) -> Decision:
        registry, context = self._context.placements, self._context
        decision = registry.submit(ticket, context.now_s())
        if decision is not None:
            return decision
        wait = self._local_waits[ticket.key] = _LocalWait()
        self._has_waits.set()
        is_taken = False
        try:
            await wait.decided.wait()
            is_taken = True
        finally:
            del self._local_waits[ticket.key]
            if not is_taken:
                # It may have been placed since the wait was cancelled: nobody else gives that back.
                registry.drop(ticket.service, ticket.key, context.now_s())
                if isinstance(wait.decision, Placement):
                    context.metrics.record_returned_place()
                    self.poll(ticket.service, only_placements=True)
        assert wait.decision is not None
        return wait.decision

    def poll(self, service: ServiceName, *, only_placements: bool = False) -> None:
        """Deliver the decisions that have become possible after a change.

        ``only_placements`` is explained at ``Dispatcher.poll``.
        """
        decided = self._context.placements.poll(
            service, self._context.now_s(), only_placements=only_placements
        )
        for ticket, decision in decided:
            self._deliver(ticket, decision)

    async def _poll_waiting(self) -> None:
        while True:
            await self._has_waits.wait()
            await trio.sleep(POLL_INTERVAL_S)
            for service in list(self._context.placements.dispatchers):
                self.poll(service)
            if not self._local_waits and not self._remote_waits:
                self._has_waits = trio.Event()

    async def _watch_lateness(self) -> None:
        """Notice when this node falls behind with its messages, while it coordinates."""
        late_s = LATE_SHARE * self._context.settings.dispatch.reply_timeout_s
        while True:
            is_coordinator = self._context.choice.is_coordinator
            interval_s = LATENESS_INTERVAL_S if is_coordinator else JOIN_PERIOD_S
            due_s = self._context.now_s() + interval_s
            await trio.sleep(interval_s)
            lag_s = self._context.now_s() - due_s
            is_late = is_coordinator and lag_s > late_s
            if is_late and not self.is_late:
                log_event(Event.COORDINATOR_LATE, lag_s=round(lag_s, 3))
            self.is_late = is_late

    async def _broadcast_digests(self) -> None:
        while True:
            await trio.sleep(self._digest_interval_s())
            if self._context.choice.is_coordinator and self._context.is_ready:
                now_s = self._context.now_s()
                digest = dataclasses.replace(
                    self._context.placements.digest(now_s),
                    blocked_parts=self._context.prompt_part_guard.blocked(now_s),
                )
                if self._is_joining():
                    # Peers must not count as usage what this node only assumes.
                    digest = dataclasses.replace(digest, accounts=())
                self._context.broadcast(digest)

    def _digest_interval_s(self) -> float:
        """Return the interval between digests, which grows with the fleet: each goes to all."""
        nodes = len(self._context.membership.present()) + 1
        return self._context.settings.dispatch.digest_interval_s * math.ceil(nodes / DIGEST_NODES)

    def _is_joining(self) -> bool:
        return self._context.now_s() - self._context.started_s < JOIN_PERIOD_S

    def _deliver(self, ticket: Ticket, decision: Decision) -> None:
        wait = self._local_waits.get(ticket.key)
        if wait is not None:
            wait.decision = decision
            wait.decided.set()
            return
        sender = self._remote_waits.pop(ticket.key, None)
        if sender is not None:
            self._context.post(sender, _reply(ticket.key.number, decision))

    def _on_placement_request(self, sender: InstanceId, request: PlacementRequest) -> None:
        context = self._context
        if not context.is_ready:
            context.post(sender, _reply_without_placement(request.number, ReplyState.DECLINED))
            return
        if self._declines():
            pause_s = UNRESPONSIVE_PAUSE_S * (0.5 + context.rng.random())
            declined = _reply_without_placement(
                request.number, ReplyState.DECLINED, retry_after_s=pause_s
            )
            context.post(sender, declined)
            return
        if not context.choice.is_coordinator:
            self._record_asking(sender)
            context.placements.set_coordinator_lives(
                request.service, context.choice.hears_coordinator(context.now_s())
            )
        ticket = _ticket(request, context.now_s())
        decision = context.placements.submit(ticket, context.now_s())
        if decision is None:
            self._remote_waits[ticket.key] = sender
            self._has_waits.set()
            context.post(sender, _reply_without_placement(request.number, ReplyState.WAITING))
        else:
            context.post(sender, _reply(request.number, decision))

    def _declines(self) -> bool:
        """Return whether to decline a ticket, so that its node asks the deputy for a while.

        Few tickets are declined at a time: each takes its node's further ones away.
        """
        return self.is_late and self._context.rng.random() < DECLINED_SHARE

    def _record_asking(self, sender: InstanceId) -> None:
        """Record that a node leaves its tickets to this one, since the coordinator is silent."""
        is_new = sender not in self._asked_s
        self._asked_s[sender] = self._context.now_s()
        if is_new:
            log_event(Event.DEPUTY_ASKED, node=sender, nodes=len(self._asked_s))
            self.update_scope()

    def _on_withdrawal(self, _sender: InstanceId, withdrawal: TicketWithdrawal) -> None:
        key = TicketKey(withdrawal.node, withdrawal.number)
        self._remote_waits.pop(key, None)
        self._context.placements.drop(withdrawal.service, key, self._context.now_s())
        self.poll(withdrawal.service, only_placements=True)

    def _on_reports(self, _sender: InstanceId, reports: LoadReports) -> None:
        now_s = self._context.now_s()
        for placed in reports.placed:
            self._context.placements.record_placed(reports.node, placed, now_s)
        for report in reports.items:
            self._context.placements.record_report(reports.node, report, now_s)
        for service in {report.service for report in reports.items if report.ended}:
            self.poll(service, only_placements=True)

    def _on_refresh(self, sender: InstanceId, refresh: LoadRefresh) -> None:
        self._context.placements.apply_refresh(refresh, self._context.now_s())
        self._context.controller(CrashReportController).adopt_blocked(sender, refresh.blocked_parts)
        if refresh.node not in self._reporting_nodes and not refresh.is_partial:
            self._reporting_nodes.add(refresh.node)
            self.update_scope()

    def _on_digest(self, sender: InstanceId, digest: FleetDigest) -> None:
        if sender == self._context.choice.coordinator:
            context = self._context
            context.placements.apply_digest(
                digest, context.coordinator_incarnation, context.now_s()
            )
            context.controller(CrashReportController).adopt_blocked(sender, digest.blocked_parts)

    def update_scope(self) -> None:
        """Update how many nodes share quotas and retry budget, and how many of them this node
        covers.

        The coordinator covers a node once that node has reported its locally admitted usage.
        """
        context = self._context
        alive = {info.incarnation for info in context.membership.alive(context.now_s())}
        present_nodes = len(context.membership.present()) + 1
        # Nodes that start together may each see only a few peers at first, so the number of nodes
        # listed in the store counts as well.
        listed_nodes = ASSUMED_NODES if context.listed_nodes is None else context.listed_nodes
        nodes = max(present_nodes, listed_nodes) if self._is_joining() else present_nodes
        is_coordinator = context.choice.is_coordinator
        if self._was_coordinator and not is_coordinator:
            # What these nodes use under the next coordinator is no longer known here.
            self._reporting_nodes.clear()
            context.placements.forget_others(context.incarnation)
        elif is_coordinator and not self._was_coordinator:
            self._coordinates_since_s = context.now_s()
        self._was_coordinator = is_coordinator
        self._forget_asking(is_coordinator)
        covered = 1 + (len(self._reporting_nodes & alive) if is_coordinator else len(self._asked_s))
        scope = Scope(max(nodes, covered), covered)
        context.placements.scope = scope
        self._update_lost_places(is_coordinator)
        if is_coordinator and scope.share >= FULL_COVER_SHARE and self._has_taken_over(alive):
            context.placements.own_places = None
        else:
            self._update_own_places(scope)

    def _has_taken_over(self, alive: set[IncarnationId]) -> bool:
        """Return whether the nodes have had time to tell of their requests in flight.

        Until then places that seem free may be used by nodes that have not reported yet.
        """
        if alive <= self._reporting_nodes | {self._context.incarnation}:
            present = {info.incarnation for info in self._context.membership.present()}
            if present <= alive:
                # Nodes out of reach may still use what their coordinator counted.
                self._context.placements.forget_counts()
            return True
        return self._context.now_s() - self._coordinates_since_s >= TAKE_OVER_S

    def _update_lost_places(self, is_coordinator: bool) -> None:
        membership = self._context.membership
        alive = {info.instance for info in membership.alive(self._context.now_s())}
        present = {info.instance for info in membership.present()}
        lost = frozenset(present - alive) if is_coordinator else frozenset()
        known = self._lost_places
        if known is None or known.covered != lost or not known.has_nodes(present | alive):
            self._lost_places = known = OwnPlaces(lost, present | alive) if lost else None
            self._context.placements.set_lost_places(known)

    def _forget_asking(self, is_coordinator: bool) -> None:
        since_s = self._context.now_s() - ASKING_MEMORY_S
        self._asked_s = {
            node: asked_s
            for node, asked_s in self._asked_s.items()
            if asked_s >= since_s and not is_coordinator
        }

    def _update_own_places(self, scope: Scope) -> None:
        context = self._context
        peers = context.membership.present()
        covered = {context.instance}
        if context.choice.is_coordinator:
            covered |= {
                info.instance for info in peers if info.incarnation in self._reporting_nodes
            }
        else:
            covered |= self._asked_s.keys()
        unknown = max(0, scope.nodes - len(peers) - 1)
        own_places = OwnPlaces(covered, sorted(info.instance for info in peers), unknown)
        known = context.placements.own_places
        if known is None or not known.has_same_nodes(own_places):
            context.placements.own_places = own_places
        elif known.covered != covered:
            context.placements.own_places = known.covering(covered)

    def take_over(self) -> None:
        """Start to coordinate, continuing from the counts of the previous coordinator."""
        self._context.placements.quotas.take_over(self._context.now_s())
        self._context.placements.take_over()
        log_event(Event.COORDINATOR_CHOSEN, coordinator=self._context.instance, is_own=True)

    def peer_changed(self, kind: PeerChangeKind, node: IncarnationId) -> None:
        """Stop covering a suspect node, and drop all state of a node whose incarnation has
        ended."""
        if kind in (PeerChangeKind.SUSPECT, PeerChangeKind.GONE):
            self._reporting_nodes.discard(node)
        if kind is PeerChangeKind.GONE:
            self._context.placements.remove_node(node)
            for key in [key for key in self._remote_waits if key.node == node]:
                del self._remote_waits[key]

    def _on_config(self, config: RoutingConfig) -> None:
        self._context.placements.quotas.set_accounts(config.accounts, self._context.now_s())
        self._update_upstreams()

    def _update_upstreams(self) -> None:
        context = self._context
        context.placements.update(context.config, context.fleet, context.now_s())
        for service in list(self._context.placements.dispatchers):
            self.poll(service)


def _ticket(request: PlacementRequest, now_s: float) -> Ticket:
    return Ticket(
        key=TicketKey(request.node, request.number),
        zone=request.zone,
        service=request.service,
        tier=Tier(request.tier),
        prompt_tokens=request.prompt_tokens,
        expected_events=request.expected_events,
        max_events=request.max_events,
        arrived_s=now_s - request.waited_s,
        objective_s=request.objective_s,
        deadline_s=now_s + request.time_left_s,
        may_repeat=request.may_repeat,
        account=request.account or None,
        cost=request.cost,
        is_repeat=request.is_repeat,
        excluded=set(request.excluded),
        version=request.version,
        route=request.route,
        subject=request.subject or "",
        size=request.size or 0.0,
        caller=request.caller or "",
        max_pause_s=request.max_pause_s,
        prompt_parts=request.prompt_parts[:MAX_TICKET_PARTS],
    )


def _reply(number: int, decision: Decision) -> PlacementReply:
    if isinstance(decision, Refused):
        return _reply_without_placement(
            number, ReplyState.REFUSED, decision.reason.value, decision.retry_after_s
        )
    return _placement_reply(number, decision)


def _placement_reply(number: int, placement: Placement) -> PlacementReply:
    return PlacementReply(
        number=number,
        state=ReplyState.PLACED,
        upstream=placement.listing.upstream,
        started_ms=placement.listing.started_ms,
        expected_s=placement.expected_s,
        gap_s=placement.gap_s,
        miss_probability=placement.miss_probability,
        work_tokens=placement.work_tokens,
        running=placement.running,
        pace_ms=placement.pace_ms,
        failure_rate=placement.failure_rate,
        reason="",
        retry_after_s=0.0,
        held_tokens=placement.held_tokens,
    )


def _reply_without_placement(
    number: int, state: ReplyState, reason: str = "", retry_after_s: float = 0.0
) -> PlacementReply:
    return PlacementReply(
        number=number,
        state=state,
        upstream=UpstreamId(""),
        started_ms=0,
        expected_s=0.0,
        gap_s=0.0,
        miss_probability=0.0,
        work_tokens=0,
        running=0,
        pace_ms=0.0,
        failure_rate=0.0,
        reason=reason,
        retry_after_s=retry_after_s,
    )
