"""Forwards requests to upstreams and relays the answers, with retries where a route allows them."""

from collections import deque

import trio
from result import Err

from ..events import Event, log_event
from ..http.client import (
    ClientRequest,
    HttpFault,
    HttpHead,
    PartResult,
)
from ..http.messages import header_value, media_type
from ..http.requests import HttpRequest
from ..http.responder import Responder
from ..platform.endpoints import path_of
from ..platform.headers import decode_answer, decode_call, upstream_headers
from .active_request import ActiveRequest
from .admission import admit, refusal_of_stop, refuse_if_crashing
from .answer_memory import AnswerBuffer, AnswerMemory
from .attempts import AttemptEnd, AttemptTracker, NextStep
from .calls import Call, CallRefusal, RefusalCause
from .context import GatewayContext
from .crash_reports import CrashReportController
from .event_relay import EventRelay
from .held_memory import DEAD_AFTER_S, Holder
from .messages import NOT_MEASURED
from .path_exchange import PathExchange
from .placement_client import PlacementClient
from .planned_stop import EndedRequest, LongestRequests
from .request_log import RequestLog
from .routes import RequestKind
from .stream_continuity import StreamContinuityController
from .tickets import MAX_TICKET_PARTS, Placement, RefusalReason, Refused, Ticket, TicketKey
from .upstream_faults import UpstreamFaults
from .upstream_notices import UpstreamNotices
from .upstream_paths import UpstreamPathController

ANSWER_MARGIN_S = 0.03
"""A request times out this long before its deadline, so that the answer arrives in time."""
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
"""An attempt that can be retried times out after this many latency objectives without the head of
an answer."""
PAUSE_TIMEOUT_FACTOR = 5.0
"""A resumable stream without an event for this many times the route's longest pause is resumed at
another upstream. The platform's callers give up after eight longest pauses."""
EXPECTED_TIME_FACTOR = 3.0
"""An attempt waits for the head of an answer at least this many times as long as its placement
expected, if the deadline allows."""
ENCODED_COPIES = 1
"""A request's body is held once more as it is encoded for the upstream."""
MEMORY_WAIT_S = 2.0
"""Upstreams cut off an answer that is unread for longer; lagging readers give way within this."""
MEMORY_POLL_S = 0.05
MIN_EVENTS_FOR_GAP = 4
"""Shorter streams give no useful estimate of the time between events."""
_REFUSAL_CAUSES = {
    RefusalReason.NO_UPSTREAM: RefusalCause.NO_UPSTREAM,
    RefusalReason.OVERLOADED: RefusalCause.OVERLOADED,
    RefusalReason.DEADLINE: RefusalCause.OVERLOADED,
    RefusalReason.PAUSED: RefusalCause.OVERLOADED,
    RefusalReason.OVER_QUOTA: RefusalCause.OVER_QUOTA,
    RefusalReason.NO_BUDGET: RefusalCause.NOT_EXECUTED,
}

_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a caller may assume that its request was not executed."""


class Forwarder:
    """Handles all requests that one node receives from callers."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._placement_client = context.controller(PlacementClient)
        self._crash_reports = context.controller(CrashReportController)
        self._stream_continuity = context.controller(StreamContinuityController)
        self._paths = context.controller(UpstreamPathController)
        self._notices = UpstreamNotices(context)
        self._last_number = 0
        self._request_log = RequestLog(context)
        self._faults = UpstreamFaults(context, self._request_log)
        self._answer_memory = AnswerMemory()
        self._longest_requests = LongestRequests()
        self._scopes: set[trio.CancelScope] = set()
        """One of each request that is at work, whose deadline is that of the request."""
        self.ended_by_stop = 0
        """Requests that were still at work when the time of a planned stop was over."""

    @property
    def in_progress(self) -> int:
        """Number of requests that are at work."""
        return len(self._scopes)

    def end_work_at(self, end_s: float) -> None:
        """Let what is at work run out of time then, at the latest, so that it is still answered."""
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, end_s)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request; cancels all work for it when its caller disconnects."""
        self._last_number += 1
        call = Call(request, decode_call(request.headers), self._last_number, self._context.now_s())
        refusal = admit(call, self._context, call.arrived_s)
        if refusal is not None:
            await self._refuse(call, refusal, responder)
            return
        scope = trio.CancelScope()
        holder = self._open_holder(call, scope)
        if holder is None:
            await self._refuse(call, self._refusal_without_memory(), responder)
            return
        responder.account = holder
        active = self._new_active_request(call, responder, holder)
        self._scopes.add(scope)
        try:
            scope.deadline = active.attempts.deadline_s
            if self._context.stop is not None:
                scope.deadline = min(scope.deadline, self._context.stop.ends_s)
            with scope:
                request.caller_gone.call_when_set(lambda: _end_for_gone_caller(active, scope))
                await self._attempt_until_done(active)
            if scope.cancelled_caught and not request.caller_gone.is_set():
                await self._finish_timed_out(active)
        finally:
            self._scopes.remove(scope)
            request.caller_gone.forget_callbacks()
            holder.close()

    def _open_holder(self, call: Call, scope: trio.CancelScope) -> Holder | None:
        """Count the memory of a request from now on, if there is room for it."""
        assert call.route is not None
        return self._context.memory.open(
            call.route.tier_for(call.account),
            ENCODED_COPIES * len(call.request.body),
            scope.cancel,
            call.arrived_s,
            self._answer_memory.expected_bytes(call.route.name, path_of(call.request.path)),
        )

    def _refusal_without_memory(self) -> CallRefusal:
        """Return the refusal; callers return spread over the time in which room is found."""
        settings = self._context.settings.dispatch
        longest_s = min(DEAD_AFTER_S, settings.retry_after_max_s)
        retry_after_s = self._context.rng.uniform(settings.retry_after_min_s, longest_s)
        return CallRefusal(RefusalCause.NO_MEMORY, retry_after_s)

    def _new_active_request(
        self, call: Call, responder: Responder, holder: Holder
    ) -> ActiveRequest:
        route, service = call.route, call.service
        assert route is not None and service is not None
        headers = call.headers
        timeout_s = route.timeout_s
        if headers.remaining_time_s is not None:
            timeout_s = min(timeout_s, headers.remaining_time_s)
        deadline_s = call.arrived_s + max(timeout_s - ANSWER_MARGIN_S, 0.0)
        assert call.config is not None
        tokens_per_event = call.config.tokens_per_event_of(service)
        ticket = Ticket(
            key=TicketKey(self._context.incarnation, call.number),
            zone=self._context.zone,
            service=service,
            tier=route.tier_for(call.account),
            prompt_tokens=headers.prompt_tokens,
            expected_events=(headers.expected_output_tokens or headers.max_output_tokens)
            / tokens_per_event,
            max_events=headers.max_output_tokens / tokens_per_event,
            arrived_s=call.arrived_s,
            objective_s=route.objective_s,
            deadline_s=deadline_s,
            may_repeat=route.is_repeatable,
            account=None if call.account is None else call.account.name,
            cost=call.cost,
            route=route.name,
            subject=call.subject,
            size=headers.size,
            caller=call.fingerprint or "",
            max_pause_s=route.max_pause_s,
            prompt_parts=headers.prompt_parts[:MAX_TICKET_PARTS],
        )
        attempts = AttemptTracker(route, deadline_s)
        return ActiveRequest(
            call, route, ticket, attempts, responder, EventRelay(headers.resume_after), holder
        )

    async def _attempt_until_done(self, active: ActiveRequest) -> None:
        cause = await self._bind_to_origin(active)
        if cause is not None:
            retry_after_s = self._context.settings.dispatch.retry_after_min_s
            await self._finish_refused(active, CallRefusal(cause, retry_after_s))
            return
        while True:
            decision = await self._placement_client.place(active.ticket)
            if isinstance(decision, Refused):
                await self._finish_unplaced(active, decision)
                return
            refusal = self._refuse_placed(active, decision)
            if refusal is not None:
                self._placement_client.report(active.ticket, decision, ended=True)
                await self._finish_refused(active, refusal)
                return
            end = await self._attempt(active, decision)
            step = active.attempts.record_end(end, self._context.now_s())
            if step is NextStep.FINISH:
                self._request_log.log_delivery(active, decision)
                return
            self._request_log.log_failed_attempt(active, decision, end, step)
            if step is not NextStep.RETRY:
                await self._finish_failed(active, step)
                return
            active.ticket.excluded.add(decision.listing.upstream)
            active.ticket.is_repeat = active.attempts.sends > 0
            active.ticket.cost = 0.0

    def _refuse_placed(self, active: ActiveRequest, placement: Placement) -> CallRefusal | None:
        """Refuse a request that is not to be sent after all."""
        now_s, stop = self._context.now_s(), self._context.stop
        if stop is not None:
            longest = self._longest_requests.of(active.route.name, now_s)
            if not stop.can_finish(active.ticket, placement, longest, now_s):
                return refusal_of_stop()
        return refuse_if_crashing(active.call, self._context, now_s)

    async def _bind_to_origin(self, active: ActiveRequest) -> RefusalCause | None:
        """Bind a stream that its caller takes up to where it began; return why that cannot be."""
        if not active.route.is_resumable or active.call.headers.resume_after is None:
            return None
        origin = await self._stream_continuity.find_origin(active)
        if origin is None:
            return RefusalCause.UNKNOWN_STREAM
        if not active.route.allows(origin.service):
            return RefusalCause.NO_UPSTREAM
        active.ticket.service = active.call.service = origin.service
        active.ticket.version = origin.version
        return None

    async def _attempt(self, active: ActiveRequest, placement: Placement) -> AttemptEnd:
        """Send the request to the upstream of a placement and relay its answer."""
        self._request_log.log_attempt_start(active, placement)
        active.attempt_started_s = self._context.now_s()
        active.has_first_event = False
        active.upstream_crashed = active.lacked_memory = active.is_end_reported = False
        end: AttemptEnd | None = None
        try:
            end = await self._exchange(active, placement)
        finally:
            self._report_end(active, placement, end)
        return end

    def _report_end(
        self, active: ActiveRequest, placement: Placement, end: AttemptEnd | None
    ) -> None:
        """Report that an upstream is done with a request, once; ``None`` if it was cancelled.

        A caller that takes its answer slowly does not keep the place at the upstream.
        """
        if active.is_end_reported:
            return
        active.is_end_reported = True
        failure, is_excused = NOT_MEASURED, True
        if end is not None:
            is_repeat = active.ticket.is_repeat
            self._context.metrics.record_attempt(
                active.ticket.service, end.value, is_repeat=is_repeat
            )
            if end is not AttemptEnd.NOT_SENT and not self._is_no_failure(active, end, placement):
                failure = active.failure_weight(end)
                is_excused = active.is_excused(end)
        self._placement_client.report(
            active.ticket, placement, failure=failure, ended=True, is_excused=is_excused
        )

    def _is_no_failure(self, active: ActiveRequest, end: AttemptEnd, placement: Placement) -> bool:
        """Return whether an upstream refused a request with a pause, or its answer found no memory
        here."""
        paused = self._context.fleet.is_paused(placement.listing.upstream, self._context.now_s())
        return active.lacked_memory or (end is AttemptEnd.NOT_EXECUTED and paused)

    async def _exchange(self, active: ActiveRequest, placement: Placement) -> AttemptEnd:
        needs_new = not active.route.is_repeatable
        end = await self._exchange_once(active, placement, needs_new=needs_new)
        if end is not None:
            return end
        active.attempts.may_have_executed = True
        again = await self._exchange_once(active, placement, needs_new=True, is_again=True)
        if again is AttemptEnd.NOT_SENT:
            # The upstream is gone, perhaps by this request.
            await self._faults.check_crash(active, placement)
        return AttemptEnd.BROKEN if again in (None, AttemptEnd.NOT_SENT) else again

    async def _exchange_once(
        self,
        active: ActiveRequest,
        placement: Placement,
        *,
        needs_new: bool,
        is_again: bool = False,
    ) -> AttemptEnd | None:
        """Send a request and relay its answer.

        Returns ``None`` when it went out on a kept connection that failed before any answer: the
        upstream had closed the connection, so the same attempt goes on with a new one.
        """
        request = self._upstream_request(active, placement, needs_new=needs_new)

        def may_send() -> bool:
            if active.call.request.caller_gone.check():
                return False
            listing = placement.listing
            now_s = self._context.now_s()
            if not self._context.fleet.takes_work(listing.upstream, listing.started_ms, now_s):
                return False
            if not self._context.placements.may_send(listing):
                return False
            if not is_again:
                active.attempts.record_send()
            return True

        def take_back() -> None:
            if not is_again:
                active.attempts.take_back_send()

        path = self._paths.exchange(placement.listing, request, may_send, take_back)
        async with path as exchange:
            head = await exchange.head()
            if isinstance(head, Err):
                if head.err_value is HttpFault.RESET and exchange.is_reused:
                    return None
                if not exchange.is_connected:
                    self._faults.record_unreachable(
                        active, placement, is_down=exchange.is_upstream_down
                    )
                return await self._end_after_fault(active, placement, head.err_value)
            return await self._relay_answer(active, placement, exchange, head.ok_value)

    def _upstream_request(
        self, active: ActiveRequest, placement: Placement, *, needs_new: bool
    ) -> ClientRequest:
        request, call = active.call.request, active.call
        resumed = active.relay.last_event_id if active.attempts.has_started_answer else None
        head_timeout_s = self._head_timeout_s(active, placement)
        return ClientRequest(
            method=request.method,
            path=request.path,
            headers=upstream_headers(
                request.headers,
                upstream=placement.listing.upstream,
                account=None if call.account is None else call.account.name,
                remaining_time_s=active.attempts.deadline_s - self._context.now_s(),
                resume_after=resumed,
            ),
            needs_new_connection=needs_new,
            body=request.body,
            head_timeout_s=head_timeout_s,
            read_timeout_s=self._read_timeout_s(active),
        )

    def _head_timeout_s(self, active: ActiveRequest, placement: Placement) -> float:
        """Return how long to wait for the head of an answer."""
        remaining_s = active.attempts.deadline_s - self._context.now_s()
        if not self._allows_another_send(active):
            return remaining_s
        first_event_timeout_s = FIRST_EVENT_TIMEOUT_FACTOR * active.route.objective_s
        return min(
            remaining_s, max(first_event_timeout_s, EXPECTED_TIME_FACTOR * placement.expected_s)
        )

    def _read_timeout_s(self, active: ActiveRequest) -> float:
        """Return how long to wait for the next bytes of an answer's body."""
        remaining_s = active.attempts.deadline_s - self._context.now_s()
        if not self._allows_another_send(active) or active.route.max_pause_s is None:
            return remaining_s
        return min(remaining_s, PAUSE_TIMEOUT_FACTOR * active.route.max_pause_s)

    def _allows_another_send(self, active: ActiveRequest) -> bool:
        return active.route.is_repeatable and active.attempts.sends + 1 < active.route.max_attempts

    async def _end_after_fault(
        self, active: ActiveRequest, placement: Placement, fault: HttpFault
    ) -> AttemptEnd:
        if fault is HttpFault.NOT_SENT:
            return AttemptEnd.NOT_SENT
        if fault is HttpFault.TIMED_OUT:
            return AttemptEnd.TIMED_OUT
        if fault is HttpFault.RESET:
            await self._faults.check_crash(active, placement)
        return AttemptEnd.BROKEN

    async def _relay_answer(
        self, active: ActiveRequest, placement: Placement, exchange: PathExchange, head: HttpHead
    ) -> AttemptEnd:
        answer = decode_answer(head.headers)
        self._notices.apply(active, placement, head.status, answer)
        # On a kept connection a second, late answer to an earlier request may come first.
        attempt_id = active.call.headers.attempt_id
        if not answer.belongs_to(attempt_id, must_name=exchange.is_reused):
            return AttemptEnd.BROKEN
        if answer.is_not_executed or head.status == 421:
            if head.status == 503:
                self._placement_client.report(active.ticket, placement, is_rejected=True)
            return AttemptEnd.NOT_EXECUTED
        is_success = 200 <= head.status < 300
        if is_success and (not answer.is_signed or answer.has_encoding):
            return AttemptEnd.BROKEN
        if is_success and active.route.kind is RequestKind.STREAM:
            if active.attempts.has_started_answer and not active.is_continued_by(head.headers):
                return AttemptEnd.BROKEN
            return await self._relay_events(active, placement, exchange, head)
        return await self._relay_complete_answer(active, placement, exchange, head)

    async def _relay_complete_answer(
        self, active: ActiveRequest, placement: Placement, exchange: PathExchange, head: HttpHead
    ) -> AttemptEnd:
        """Buffer the whole answer, then relay it."""
        with self._answer_memory.buffer(active.holder) as buffer:
            size = _announced_bytes(head)
            path = path_of(active.call.request.path)
            self._answer_memory.record_size(active.route.name, path, size)
            if not await _reserve(buffer, size):
                active.lacked_memory = True
                return AttemptEnd.BROKEN
            fault = await _read_body(exchange, buffer)
            active.lacked_memory = buffer.lacks_memory
            if fault is not None:
                return await self._end_after_fault(active, placement, fault)
            return await self._answer_complete(active, placement, head, buffer.take())

    async def _answer_complete(
        self, active: ActiveRequest, placement: Placement, head: HttpHead, body: deque[bytes]
    ) -> AttemptEnd:
        if head.status in _NOT_EXECUTED_STATUSES:
            # The upstream did not declare the request unexecuted, so the gateway must not relay a
            # status that tells the caller so.
            return AttemptEnd.BROKEN
        if head.status >= 500:
            active.failure = (head.status, head.headers, b"".join(body))
            return AttemptEnd.SERVER_ERROR
        self._record_first_event(active, placement)
        if active.attempts.has_started_answer:
            return AttemptEnd.BROKEN
        active.attempts.has_started_answer = True
        self._record_completion(active)
        self._report_end(active, placement, AttemptEnd.DELIVERED)
        await active.responder.answer_parts(head.status, head.headers, body)
        return AttemptEnd.DELIVERED

    async def _relay_events(
        self, active: ActiveRequest, placement: Placement, exchange: PathExchange, head: HttpHead
    ) -> AttemptEnd:
        """Relay a stream, and forget an event that it leaves without an end."""
        try:
            return await self._relay_stream(active, placement, exchange, head)
        finally:
            active.drop_partial_event()

    async def _relay_stream(
        self, active: ActiveRequest, placement: Placement, exchange: PathExchange, head: HttpHead
    ) -> AttemptEnd:
        """Relay the events of a stream as they arrive."""
        first_event = active.relay.relayed_events
        started_s = self._context.now_s()

        async def relay(part: bytes) -> PartResult:
            relayed = active.relay.feed(part)
            if isinstance(relayed, Err):
                return PartResult.STOP
            events = relayed.ok_value
            if events:
                self._record_version(active, placement)
                active.event_times.record_event(self._context.now_s())
                self._record_first_event(active, placement)
                await self._send_events(active, head, events)
            if not active.count_partial_event(self._context.now_s()):
                return PartResult.STOP
            return PartResult.PROGRESS if events else PartResult.NO_PROGRESS

        ended = await exchange.relay_parts(relay)
        if isinstance(ended, Err):
            return await self._end_after_fault(active, placement, ended.err_value)
        if not ended.ok_value:
            return AttemptEnd.BROKEN
        if _is_broken_off(active.relay, exchange):
            await self._faults.check_crash(active, placement)
            return AttemptEnd.BROKEN
        self._record_event_gap(
            active, placement, active.relay.relayed_events - first_event, started_s
        )
        return await self._end_stream(active, placement, head)

    def _record_version(self, active: ActiveRequest, placement: Placement) -> None:
        """Bind the rest of a stream to the software version that wrote its events so far."""
        if active.ticket.version is None:
            active.ticket.version = placement.listing.version
            self._stream_continuity.record_begun(active, placement.listing.version)

    def _record_event_gap(
        self, active: ActiveRequest, placement: Placement, events: int, started_s: float
    ) -> None:
        """Report the mean time between the events of a completed stream."""
        if events >= MIN_EVENTS_FOR_GAP:
            gap_ms = (self._context.now_s() - started_s) * 1000 / (events - 1)
            self._placement_client.report(
                active.ticket,
                placement,
                gap_ms=gap_ms,
                pause_ms=active.event_times.longest_pause_s * 1000,
            )

    async def _send_events(self, active: ActiveRequest, head: HttpHead, events: bytes) -> None:
        if active.attempts.has_started_answer:
            await active.responder.send(events)
            return
        active.attempts.has_started_answer = True
        active.begun_type = media_type(head.headers)
        await active.responder.start(head.status, head.headers, events)

    async def _end_stream(
        self, active: ActiveRequest, placement: Placement, head: HttpHead
    ) -> AttemptEnd:
        self._record_completion(active)
        self._report_end(active, placement, AttemptEnd.DELIVERED)
        if not active.attempts.has_started_answer:
            await self._send_events(active, head, b"")
        await active.responder.end()
        return AttemptEnd.DELIVERED

    def _record_first_event(self, active: ActiveRequest, placement: Placement) -> None:
        if active.has_first_event:
            return
        active.has_first_event = True
        now_s = self._context.now_s()
        took_s = now_s - active.attempt_started_s
        self._context.metrics.record_first_event(
            active.ticket.service, now_s - active.call.arrived_s
        )
        self._placement_client.report(active.ticket, placement, first_event_s=took_s)
        self._crash_reports.report_begun(active.call.headers.shared_prompt_parts)

    def _record_completion(self, active: ActiveRequest) -> None:
        now_s = self._context.now_s()
        took_s = now_s - active.attempt_started_s
        ended = EndedRequest(took_s, active.relay.relayed_events)
        self._longest_requests.record(active.route.name, ended, now_s)
        if active.call.fingerprint is not None:
            self._crash_reports.report_completed(active.call.fingerprint)

    async def _finish_unplaced(self, active: ActiveRequest, refused: Refused) -> None:
        refusal = CallRefusal(_REFUSAL_CAUSES[refused.reason], refused.retry_after_s)
        await self._finish_refused(active, refusal)

    async def _finish_refused(self, active: ActiveRequest, refusal: CallRefusal) -> None:
        """Refuse a request that no upstream can have executed; any other has failed."""
        step = active.attempts.final_step(has_failure=active.failure is not None)
        if step is NextStep.REFUSE:
            await self._refuse_active(active, refusal)
        else:
            await self._finish_failed(active, step)

    async def _finish_failed(self, active: ActiveRequest, step: NextStep) -> None:
        if step is NextStep.ABORT:
            self._request_log.log_broken_answer(active, "stream-lost")
            active.responder.abort()
        elif step is NextStep.FORWARD_ERROR and active.failure is not None:
            status, headers, body = active.failure
            self._request_log.log_forwarded_error(active, status)
            await active.responder.answer(status, headers, body)
        elif step is NextStep.REFUSE:
            retry_after_s = self._context.settings.dispatch.retry_after_min_s
            await self._refuse_active(active, CallRefusal(RefusalCause.NOT_EXECUTED, retry_after_s))
        else:
            await self._refuse_active(active, CallRefusal(RefusalCause.UPSTREAM_FAILED))

    @property
    def _has_stopped(self) -> bool:
        """Whether this node stops, and the time for its work is over."""
        stop = self._context.stop
        return stop is not None and self._context.now_s() >= stop.ends_s

    async def _finish_timed_out(self, active: ActiveRequest) -> None:
        self.ended_by_stop += self._has_stopped
        if active.attempts.has_started_answer:
            reason = "unread" if active.holder.is_given_up else "timeout"
            if self._has_stopped:
                reason = "stopping"
            self._request_log.log_broken_answer(active, reason)
            active.responder.abort()
        elif active.attempts.sends:
            await self._refuse_active(active, CallRefusal(RefusalCause.TIMED_OUT))
        elif self._has_stopped:
            await self._refuse_active(active, refusal_of_stop())
        else:
            retry_after_s = self._context.settings.dispatch.retry_after_min_s
            await self._refuse_active(active, CallRefusal(RefusalCause.OVERLOADED, retry_after_s))

    async def _refuse_active(self, active: ActiveRequest, refusal: CallRefusal) -> None:
        await self._refuse(active.call, refusal, active.responder, active)

    async def _refuse(
        self,
        call: Call,
        refusal: CallRefusal,
        responder: Responder,
        active: ActiveRequest | None = None,
    ) -> None:
        self._request_log.log_refusal(call, refusal, active)
        await responder.answer(refusal.status, refusal.headers, refusal.body)


def _end_for_gone_caller(active: ActiveRequest, scope: trio.CancelScope) -> None:
    if active.responder.is_complete:
        # A caller may close its connection as soon as it has its answer.
        return
    log_event(Event.CALLER_GONE, request_id=active.call.log_id)
    scope.cancel()


def _is_broken_off(relay: EventRelay, exchange: PathExchange) -> bool:
    """Return whether a stream that has ended is incomplete: it ends inside an event, or its
    connection closed before any event of this attempt."""
    is_empty = relay.attempt_events == 0
    return relay.has_partial_event or (is_empty and exchange.ended_with_connection)


def _announced_bytes(head: HttpHead) -> int:
    """Return the size of an answer, 0 if its head does not name it."""
    length = header_value(head.headers, "content-length") or ""
    return int(length) if length.isdecimal() else 0


async def _reserve(buffer: AnswerBuffer, size: int) -> bool:
    """Wait for memory for an answer of known size, which its upstream holds meanwhile."""
    with trio.move_on_after(MEMORY_WAIT_S):
        while not buffer.reserve(size, trio.current_time()):  # noqa: ASYNC110
            await trio.sleep(MEMORY_POLL_S)
    return not buffer.lacks_memory


async def _read_body(exchange: PathExchange, buffer: AnswerBuffer) -> HttpFault | None:
    """Read the rest of an answer into a buffer; return what prevented that."""
    while True:
        part = await exchange.part()
        if isinstance(part, Err):
            return part.err_value
        if part.ok_value is None:
            return None
        if not buffer.add(part.ok_value, trio.current_time()):
            return HttpFault.WRONG_ANSWER
