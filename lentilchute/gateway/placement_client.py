"""Controller that obtains an upstream for each request of this node.

It asks the coordinator and waits for the reply for a short time; without one, it asks the deputy,
and if that is silent too, the node decides locally. The progress of requests is reported in
batches, and the full list of requests in flight at intervals.
"""

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import ClientAccountId, IncarnationId, InstanceId
from ..peers.message_dispatch import MessageHandler
from ..platform.headers import StatedLoad
from .context import GatewayContext, gateway_controller
from .coordination import KEEP_PLACES_S
from .coordinator import CoordinatorController
from .messages import (
    NOT_MEASURED,
    LoadRefresh,
    LoadReports,
    PlacementReply,
    PlacementRequest,
    ReplyState,
    Report,
    RunningTicket,
    TicketWithdrawal,
)
from .placement_registry import KeptPlace
from .tickets import Decision, Placement, RefusalReason, Refused, Ticket

LOCAL_USAGE_DELAY_S = 0.5
"""Delay before usage that was admitted locally is reported in one refresh. Without it, a
coordinator that is slow to reply would receive one more message for each request."""
MAX_REPORTS_PER_MESSAGE = 500
REPLY_SHARE = 0.3
"""Longest part of a ticket's objective for which a reply is waited for: a request with a short one
would be late before the next node is asked."""


@dataclass(slots=True)
class _PendingRequest:
    """A ticket whose placement reply is outstanding."""

    replied: trio.Event = field(default_factory=trio.Event)
    reply: PlacementReply | None = None


@gateway_controller
class PlacementClient:
    """Requests placements from the coordinator and reports the progress of the placed requests."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._pending: dict[int, _PendingRequest] = {}
        self._reports: list[Report] = []
        self._deputy_of: dict[int, InstanceId] = {}
        """Deputies that have placed requests in flight, by the requests' numbers."""
        self._handed_over: dict[int, tuple[InstanceId, KeptPlace]] = {}
        """Ended requests, by number, whose places deputies have."""
        self._taken_back: list[tuple[float, KeptPlace]] = []
        """Places that deputies had, and when the coordinator is told that they are free."""
        self._deputies_s: dict[InstanceId, float] = {}
        """When deputies last placed requests or were told of them."""
        self._placed: list[RunningTicket] = []
        """Requests that the deputy placed, of which the coordinator has not been told."""
        self._has_reports = trio.Event()
        self._needs_refresh = trio.Event()
        self._last_coordinator = context.choice.coordinator
        context.coordinator_listeners.append(self._on_coordinator)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {PlacementReply: self._on_reply}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_reports)
            nursery.start_soon(self._refresh)

    async def place(self, ticket: Ticket) -> Decision:
        """Return the decision about a ticket; cancelling the wait withdraws the ticket."""
        # The coordinator hears of a pause from the next batch of reports; this node knows already.
        dispatcher = self._context.placements.dispatcher(ticket.service)
        refused = dispatcher.refuse_if_paused(ticket, self._context.now_s())
        if refused is not None:
            return refused
        asked: set[InstanceId] = set()
        while (node := self._node_to_ask(ticket)) is not None and node not in asked:
            asked.add(node)
            decision = await self._request_placement(ticket, node)
            if decision is not None:
                return decision
        # A deputy that replies has this node's own places; only kept ones are left here.
        has_deputy = self._context.choice.deputy(self._context.now_s()) is not None
        self._context.placements.set_choosing(not has_deputy)
        decision = await self._context.controller(CoordinatorController).place_locally(ticket)
        if not self._context.choice.is_coordinator:
            # The coordinator needs to count soon what was admitted without it.
            self._needs_refresh.set()
            if isinstance(decision, Placement) and self._is_news(ticket, decision):
                self._record_placed(ticket, decision)
        return decision

    def _is_news(self, ticket: Ticket, placement: Placement) -> bool:
        """Return whether the coordinator needs to hear of a request that this node placed: not if
        it took a kept place, which counts as taken, or ends sooner than a reply may take."""
        took_s = placement.expected_s + ticket.expected_events * placement.gap_s
        if took_s < self._context.settings.dispatch.reply_timeout_s:
            return False
        dispatcher = self._context.placements.dispatcher(ticket.service)
        model = dispatcher.model(placement.listing.upstream)
        return model is not None and not model.was_granted(ticket.key)

    def _node_to_ask(self, ticket: Ticket) -> InstanceId | None:
        """Return the node to ask about a ticket, if any.

        A coordinator that was late is left alone for a while, but for services of which this node
        can use hardly anything without it. A kept place is used without asking a deputy.
        """
        choice, now_s = self._context.choice, self._context.now_s()
        dispatcher = self._context.placements.dispatcher(ticket.service)
        if choice.is_silent(now_s) and dispatcher.has_kept_place(ticket, now_s):
            return None
        node = choice.next_to_ask(now_s)
        if node is None and not choice.is_coordinator and dispatcher.depends_on_coordinator(now_s):
            return choice.coordinator
        return node

    def report(
        self,
        ticket: Ticket,
        placement: Placement,
        *,
        first_event_s: float = NOT_MEASURED,
        gap_ms: float = NOT_MEASURED,
        failure: float = NOT_MEASURED,
        ended: bool = False,
        unreachable: bool = False,
        pause_s: float = NOT_MEASURED,
        limit_per_s: float | None = None,
        is_brittle: bool | None = None,
        is_excused: bool | None = None,
        load: StatedLoad | None = None,
        pause_ms: float | None = None,
        is_rejected: bool | None = None,
    ) -> None:
        """Record the progress of a request locally and queue a report to the coordinator."""
        report = Report(
            number=ticket.key.number,
            service=ticket.service,
            upstream=placement.listing.upstream,
            first_event_s=first_event_s,
            gap_ms=gap_ms,
            failure=failure,
            ended=ended,
            unreachable=unreachable,
            pause_s=pause_s,
            limit_per_s=limit_per_s,
            is_brittle=is_brittle,
            is_excused=is_excused,
            stated_running=None if load is None else load.running,
            stated_waiting=None if load is None else load.waiting,
            slowdown=None if load is None else load.slowdown,
            pause_ms=pause_ms,
            is_rejected=is_rejected,
        )
        context = self._context
        if ended and self._hands_over(report, ticket):
            report = dataclasses.replace(report, ended=False, is_handed_over=True)
        elif ended and self._keeps_place(ticket, placement):
            report = dataclasses.replace(report, ended=False)
        context.placements.record_report(context.incarnation, report, context.now_s())
        deputy = self._deputy_of.get(report.number)
        if ended:
            self._deputy_of.pop(report.number, None)
        if not context.choice.is_coordinator:
            self._reports.append(report)
            self._has_reports.set()
        if deputy is not None and deputy != context.choice.coordinator:
            self._deputies_s[deputy] = context.now_s()
            context.post(deputy, LoadReports(context.incarnation, (report,)))
        if ended:
            context.controller(CoordinatorController).poll(ticket.service, only_placements=True)

    async def _request_placement(self, ticket: Ticket, asked: InstanceId) -> Decision | None:
        """Request a placement from the coordinator or its deputy; return ``None`` when it does
        not decide."""
        number = ticket.key.number
        pending = self._pending[number] = _PendingRequest()
        asked_s = self._context.now_s()
        self._context.post(asked, self._to_request(ticket))
        is_answered = False
        try:
            reply = await self._await_reply(pending, ticket)
            is_answered = reply is not None
        finally:
            del self._pending[number]
            if not is_answered:
                node = self._context.incarnation
                self._context.post(asked, TicketWithdrawal(node, number, ticket.service))
        if reply is None or reply.state is ReplyState.DECLINED:
            self._record_no_decision(asked, ticket, reply, asked_s)
            return None
        if self._context.choice.mark_responsive(asked, asked_s):
            self._context.placements.set_choosing(False)
            self._give_back_places()
        return self._to_decision(ticket, reply, asked)

    def _keeps_place(self, ticket: Ticket, placement: Placement) -> bool:
        """Keep the place of a request that has ended, if the coordinator is silent.

        A coordinator that lives counts it as taken until it hears otherwise.
        """
        context = self._context
        if not context.choice.is_silent(context.now_s()):
            return False
        return context.placements.keep_place(ticket, placement.listing.upstream)

    def _hands_over(self, report: Report, ticket: Ticket) -> bool:
        """Leave the place of a request that has ended to the deputy, if the coordinator is silent
        and this node can't use it itself; return whether the deputy has it."""
        context = self._context
        deputy = context.choice.deputy(context.now_s())
        if deputy is None or not context.placements.hands_over(ticket, report.upstream):
            return False
        self._handed_over[report.number] = (
            deputy,
            KeptPlace(ticket.service, report.upstream, ticket.key),
        )
        handed = Report(
            report.number, report.service, report.upstream, ended=True, is_handed_over=True
        )
        context.post(deputy, LoadReports(context.incarnation, (handed,)))
        return True

    def _give_back_places(self) -> None:
        """Report the ends of requests whose places were kept or handed over while the coordinator
        was silent."""
        # The coordinator hears first, with the nodes' next reports, of what deputies placed there.
        due_s = self._context.now_s() + 2 * self._context.settings.dispatch.report_interval_s
        self._taken_back += [(due_s, kept) for kept in self._take_back_places()]
        self._reports += map(_end_report, self._context.placements.give_back_places())
        if self._taken_back or self._reports:
            self._has_reports.set()

    def _report_taken_back(self) -> None:
        """Queue reports of the ends of requests whose places deputies had."""
        now_s = self._context.now_s()
        due = [kept for due_s, kept in self._taken_back if due_s <= now_s]
        self._reports += map(_end_report, due)
        self._taken_back = [item for item in self._taken_back if item[0] > now_s]
        if self._taken_back:
            self._has_reports.set()

    def _take_back_places(self) -> list[KeptPlace]:
        """Take back the places that were handed over; until then they count as taken here."""
        context = self._context
        handed, self._handed_over = self._handed_over, {}
        for number, (deputy, kept) in handed.items():
            withdrawal = TicketWithdrawal(context.incarnation, number, kept.service)
            context.post(deputy, withdrawal)
            context.placements.drop(kept.service, kept.key, context.now_s())
        return [kept for _, kept in handed.values()]

    async def _await_reply(self, pending: _PendingRequest, ticket: Ticket) -> PlacementReply | None:
        settings = self._context.settings.dispatch
        wait_s = self._longest_reply_s(ticket)
        while True:
            with trio.move_on_after(wait_s) as scope:
                await pending.replied.wait()
            if scope.cancelled_caught:
                return None
            reply = pending.reply
            if reply is None or reply.state is not ReplyState.WAITING:
                return reply
            pending.replied = trio.Event()
            wait_s = settings.reply_timeout_s + settings.hold_share * ticket.objective_s

    def _longest_reply_s(self, ticket: Ticket) -> float:
        reply_timeout_s = self._context.settings.dispatch.reply_timeout_s
        return min(reply_timeout_s, REPLY_SHARE * ticket.objective_s)

    def _record_no_decision(
        self, asked: InstanceId, ticket: Ticket, reply: PlacementReply | None, asked_s: float
    ) -> None:
        choice, now_s = self._context.choice, self._context.now_s()
        reply_timeout_s = self._context.settings.dispatch.reply_timeout_s
        if reply is not None:
            choice.mark_unresponsive(asked, now_s, reply.retry_after_s)
        elif self._longest_reply_s(ticket) < reply_timeout_s:
            choice.mark_unanswered(asked, asked_s, now_s, reply_timeout_s)
        else:
            choice.mark_unresponsive(asked, now_s)
        self._context.metrics.record_coordinator_timeout()
        log_event(
            Event.COORDINATOR_SILENT,
            coordinator=asked,
            ticket=ticket.key.number,
            has_declined=reply is not None,
            is_deputy=asked != choice.coordinator,
        )

    def _to_decision(
        self, ticket: Ticket, reply: PlacementReply, asked: InstanceId
    ) -> Decision | None:
        context = self._context
        now_s = context.now_s()
        counted_by = context.membership.incarnation_of(asked) or IncarnationId("")
        is_deputy = asked != context.choice.coordinator
        if reply.state is ReplyState.REFUSED:
            refused = Refused(RefusalReason(reply.reason), reply.retry_after_s)
            context.placements.record_refusal(ticket, refused, counted_by, now_s)
            return refused
        listing = context.fleet.listing(reply.upstream)
        model = context.placements.dispatcher(ticket.service).model(reply.upstream)
        is_known = listing is not None and listing.started_ms == reply.started_ms
        is_allowed = (
            listing is not None and ticket.allows(listing) and context.placements.may_send(listing)
        )
        if listing is None or model is None or not is_known or not is_allowed:
            # The coordinator chose an upstream or an incarnation that this node has not read yet,
            # or runs a version of this program that knows nothing of upstreams' versions; or this
            # node knows something against the upstream's version.
            number = ticket.key.number
            withdrawal = TicketWithdrawal(context.incarnation, number, ticket.service)
            context.post(asked, withdrawal)
            return None
        held_tokens = reply.held_tokens or 0
        model.add_request(ticket, held_tokens, reply.work_tokens, now_s, is_own_choice=is_deputy)
        context.placements.record_grant(ticket, counted_by, now_s)
        if is_deputy:
            self._deputy_of[ticket.key.number] = asked
            self._deputies_s[asked] = now_s
        placement = Placement(
            listing=listing,
            expected_s=reply.expected_s,
            gap_s=reply.gap_s,
            miss_probability=reply.miss_probability,
            work_tokens=reply.work_tokens,
            running=reply.running,
            pace_ms=reply.pace_ms,
            failure_rate=reply.failure_rate,
            held_tokens=held_tokens,
        )
        if is_deputy:
            self._record_placed(ticket, placement)
        return placement

    def _record_placed(self, ticket: Ticket, placement: Placement) -> None:
        """Tell the coordinator with the next reports of a request that it has not placed."""
        self._placed.append(
            RunningTicket(
                ticket.key.number,
                ticket.service,
                placement.listing.upstream,
                ticket.prompt_tokens - placement.held_tokens,
                placement.work_tokens,
                age_s=0.0,
                has_first_event=False,
                is_own_choice=True,
            )
        )
        self._has_reports.set()

    def _to_request(self, ticket: Ticket) -> PlacementRequest:
        now_s = self._context.now_s()
        withheld = self._context.placements.withheld(ticket.service)
        return PlacementRequest(
            node=ticket.key.node,
            zone=ticket.zone,
            number=ticket.key.number,
            service=ticket.service,
            tier=ticket.tier,
            prompt_tokens=ticket.prompt_tokens,
            expected_events=ticket.expected_events,
            max_events=ticket.max_events,
            waited_s=now_s - ticket.arrived_s,
            objective_s=ticket.objective_s,
            time_left_s=ticket.deadline_s - now_s,
            may_repeat=ticket.may_repeat,
            is_repeat=ticket.is_repeat,
            excluded=tuple(ticket.excluded | withheld),
            account=ticket.account or ClientAccountId(""),
            cost=ticket.cost,
            version=ticket.version,
            route=ticket.route,
            subject=ticket.subject or None,
            size=ticket.size or None,
            caller=ticket.caller or None,
            max_pause_s=ticket.max_pause_s,
            prompt_parts=ticket.prompt_parts,
        )

    def _on_reply(self, sender: InstanceId, reply: PlacementReply) -> None:
        pending = self._pending.get(reply.number)
        if pending is not None:
            self._context.choice.mark_answered(sender)
            pending.reply = reply
            pending.replied.set()

    async def _send_reports(self) -> None:
        while True:
            await self._has_reports.wait()
            await trio.sleep(self._context.settings.dispatch.report_interval_s)
            self._has_reports = trio.Event()
            self._report_taken_back()
            batch, self._reports = (
                self._reports[:MAX_REPORTS_PER_MESSAGE],
                self._reports[MAX_REPORTS_PER_MESSAGE:],
            )
            if self._reports:
                self._has_reports.set()
            placed, self._placed = self._placed, []
            if not self._context.choice.is_coordinator:
                message = LoadReports(self._context.incarnation, tuple(batch), tuple(placed))
                self._context.post(self._context.choice.coordinator, message)

    async def _refresh(self) -> None:
        while True:
            with trio.move_on_after(self._context.settings.dispatch.refresh_interval_s):
                await self._needs_refresh.wait()
                await trio.sleep(LOCAL_USAGE_DELAY_S)
            self._needs_refresh = trio.Event()
            self._send_refresh()

    def _on_coordinator(self) -> None:
        context = self._context
        if context.choice.coordinator != self._last_coordinator:
            self._last_coordinator = context.choice.coordinator
            # The new coordinator has counted no place for this node; the refresh tells it all.
            context.placements.give_back_places()
            self._take_back_places()
            placed = {
                number
                for number, deputy in self._deputy_of.items()
                if deputy == self._last_coordinator
            }
            context.placements.adopt_choices(placed, context.incarnation)
            for number in placed:
                del self._deputy_of[number]
            context.placements.set_choosing(False)
        self._send_refresh()

    def _send_refresh(self) -> None:
        context = self._context
        if not context.choice.is_coordinator:
            now_s = context.now_s()
            if self._handed_over and not context.choice.is_silent(now_s):
                self._give_back_places()
            refresh = dataclasses.replace(
                context.placements.build_refresh(
                    context.incarnation, context.coordinator_incarnation, now_s
                ),
                blocked_parts=context.prompt_part_guard.blocked(now_s),
            )
            context.post(context.choice.coordinator, refresh)
            self._refresh_deputies(refresh, now_s)

    def _refresh_deputies(self, refresh: LoadRefresh, now_s: float) -> None:
        """Tell deputies which of the requests that they placed are in flight."""
        context = self._context
        self._deputies_s = {
            deputy: used_s
            for deputy, used_s in self._deputies_s.items()
            if deputy in self._deputy_of.values() or now_s - used_s < KEEP_PLACES_S
        }
        for deputy in self._deputies_s:
            if deputy in (context.choice.coordinator, context.instance):
                continue
            running = tuple(
                item for item in refresh.running if self._deputy_of.get(item.number) == deputy
            )
            partial = LoadRefresh(
                context.incarnation, running, (), (), 0.0, (), (), is_partial=True
            )
            context.post(deputy, partial)


def _end_report(kept: KeptPlace) -> Report:
    return Report(kept.key.number, kept.service, kept.upstream, ended=True)
