"""Forwards one request to an upstream and passes the answer on, with repeats where they are
allowed."""

import trio
from result import Err, Ok, Result

from ..events import Event, log_event
from ..http.client import (
    ClientRequest,
    HttpClient,
    HttpClientSettings,
    HttpExchange,
    HttpFault,
    HttpHead,
    open_tcp,
)
from ..http.requests import HttpRequest
from ..http.responder import Responder
from ..ids import Tier
from ..platform.headers import decode_answer, decode_call, upstream_headers
from .admission import admit
from .attempts import AttemptBook, AttemptEnd, NextStep
from .calls import Call, CallRefusal, RefusalCause
from .context import GatewayContext
from .crash_news import CrashNewsController
from .desk import DispatchDesk
from .event_relay import EventRelay
from .messages import NOT_MEASURED
from .request_log import RequestLog
from .request_run import RequestRun
from .routes import RequestKind
from .tickets import Placement, RefusalReason, Refused, Ticket, TicketKey

CONNECT_TIMEOUT_S = 0.4
"""Upstreams are a few milliseconds away; with a packet lost, another upstream is faster."""
CRASH_CHECK_TIMEOUT_S = 0.2
"""A live upstream takes a connection in a few milliseconds; a crashed one refuses it as fast."""
ANSWER_MARGIN_S = 0.03
"""The final answer leaves this long before a request's deadline, to be there in time."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Bounds memory for an answer that is collected before it is passed on."""
FIRST_EVENT_PATIENCE = 3.0
"""A repeatable request without a first event for this many objectives is tried elsewhere."""
PAUSE_PATIENCE = 5.0
"""A resumable stream without an event for this many longest pauses is taken up elsewhere, while its
caller still waits: callers leave after eight (platform)."""
EXPECTED_PATIENCE = 3.0
"""A request is not given up at an upstream before this many times what was expected there."""

MIN_GAP_EVENTS = 4
"""Shorter streams say little about the time between events."""
_CAUSES = {
    RefusalReason.NO_UPSTREAM: RefusalCause.NO_UPSTREAM,
    RefusalReason.OVERLOADED: RefusalCause.OVERLOADED,
    RefusalReason.DEADLINE: RefusalCause.OVERLOADED,
    RefusalReason.OVER_QUOTA: RefusalCause.OVER_QUOTA,
    RefusalReason.NO_BUDGET: RefusalCause.NOT_EXECUTED,
}

_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run."""


class Forwarder:
    """Handles all callers' requests of one node."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._desk = context.controller(DispatchDesk)
        self._crash_news = context.controller(CrashNewsController)
        self._numbers = 0
        self._log = RequestLog(context)
        self._client_settings = HttpClientSettings(
            connect_timeout_s=CONNECT_TIMEOUT_S, accepts_close_delimited=True
        )
        self.in_progress = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request; the work ends at once when its caller leaves."""
        self._numbers += 1
        call = Call(request, decode_call(request.headers), self._numbers, self._context.now_s())
        refusal = admit(call, self._context, call.arrived_s)
        if refusal is not None:
            await self._refuse(call, refusal, responder)
            return
        self.in_progress += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, call, responder, nursery.cancel_scope)
                await self._run(self._new_run(call, responder))
                nursery.cancel_scope.cancel()
        finally:
            self.in_progress -= 1

    async def _watch_caller(
        self, call: Call, responder: Responder, scope: trio.CancelScope
    ) -> None:
        await call.request.caller_gone.wait()
        if responder.is_complete:
            # A caller may close its connection as soon as it has its answer.
            return
        log_event(Event.CALLER_GONE, request_id=call.log_id)
        scope.cancel()

    def _new_run(self, call: Call, responder: Responder) -> RequestRun:
        route, service = call.route, call.service
        assert route is not None and service is not None
        headers = call.headers
        wait_s = route.timeout_s
        if headers.time_left_s is not None:
            wait_s = min(wait_s, headers.time_left_s)
        deadline_s = call.arrived_s + max(wait_s - ANSWER_MARGIN_S, 0.0)
        stride = self._tokens_per_event(call)
        ticket = Ticket(
            key=TicketKey(self._context.incarnation, call.number),
            zone=self._context.zone,
            service=service,
            tier=Tier(route.tier),
            prompt_tokens=headers.prompt_tokens,
            expected_events=(headers.expected_output_tokens or headers.max_output_tokens) / stride,
            max_events=headers.max_output_tokens / stride,
            arrived_s=call.arrived_s,
            objective_s=route.objective_s,
            deadline_s=deadline_s,
            may_repeat=route.is_repeatable,
            account=None if call.account is None else call.account.name,
            cost=call.cost,
        )
        book = AttemptBook(route, deadline_s)
        return RequestRun(call, route, ticket, book, responder, EventRelay(headers.resume_after))

    def _tokens_per_event(self, call: Call) -> int:
        assert call.config is not None and call.service is not None
        profile = call.config.services.get(call.service)
        return 1 if profile is None or profile.model is None else profile.model.tokens_per_event

    async def _run(self, run: RequestRun) -> None:
        with trio.CancelScope(deadline=run.book.deadline_s) as scope:
            await self._attempt_until_done(run)
        if scope.cancelled_caught:
            await self._time_out(run)

    async def _attempt_until_done(self, run: RequestRun) -> None:
        while True:
            decision = await self._desk.place(run.ticket)
            if isinstance(decision, Refused):
                await self._give_up(run, decision)
                return
            end = await self._attempt(run, decision)
            step = run.book.ended(end, self._context.now_s())
            if step is NextStep.FINISH:
                self._log.finished(run, decision)
                return
            self._log.attempt_ended(run, decision, end, step)
            if step is not NextStep.RETRY:
                await self._finish_failed(run, step)
                return
            run.ticket.excluded.add(decision.listing.upstream)
            run.ticket.is_repeat = run.book.sends > 0
            run.ticket.cost = 0.0

    async def _attempt(self, run: RequestRun, placement: Placement) -> AttemptEnd:
        """Send the request to the upstream of a placement and pass its answer on."""
        self._log.attempt_started(run, placement)
        run.attempt_s = self._context.now_s()
        run.has_first_event = False
        failure = NOT_MEASURED
        try:
            end = await self._exchange(run, placement)
            is_repeat = run.ticket.is_repeat
            self._context.metrics.attempt(run.ticket.service, end.value, is_repeat=is_repeat)
            if end is not AttemptEnd.NOT_SENT:
                failure = run.failure_share(end)
        finally:
            self._desk.report(run.ticket, placement, failure=failure, ended=True)
        return end

    async def _exchange(self, run: RequestRun, placement: Placement) -> AttemptEnd:
        client = HttpClient(placement.listing.address, self._client_settings)
        request = self._upstream_request(run, placement)
        was_asked = False

        def may_send() -> bool:
            nonlocal was_asked
            was_asked = True
            listing = placement.listing
            if not self._context.fleet.takes_work(listing.upstream, listing.started_ms):
                return False
            run.book.sent()
            return True

        async with client.exchange(request, may_send) as exchange:
            head = await exchange.head()
            if isinstance(head, Err):
                return await self._fault_end(run, placement, head.err_value, was_asked)
            return await self._take_answer(run, placement, exchange, head.ok_value)

    def _upstream_request(self, run: RequestRun, placement: Placement) -> ClientRequest:
        request, call = run.call.request, run.call
        resumed = run.relay.last_event_id if run.book.has_started_answer else None
        silence_s = self._silence_limit_s(run, placement)
        return ClientRequest(
            method=request.method,
            path=request.path,
            headers=upstream_headers(
                request.headers,
                upstream=placement.listing.upstream,
                account=None if call.account is None else call.account.name,
                time_left_s=run.book.deadline_s - self._context.now_s(),
                resume_after=resumed,
            ),
            body=request.body,
            head_timeout_s=silence_s,
            read_timeout_s=self._pause_limit_s(run),
        )

    def _silence_limit_s(self, run: RequestRun, placement: Placement) -> float:
        """Return how long to wait for the beginning of an answer."""
        left_s = run.book.deadline_s - self._context.now_s()
        if not self._could_repeat(run):
            return left_s
        patience_s = FIRST_EVENT_PATIENCE * run.route.objective_s
        return min(left_s, max(patience_s, EXPECTED_PATIENCE * placement.expected_s))

    def _pause_limit_s(self, run: RequestRun) -> float:
        """Return how long to wait for the next part of an answer."""
        left_s = run.book.deadline_s - self._context.now_s()
        if not self._could_repeat(run) or run.route.max_pause_s is None:
            return left_s
        return min(left_s, PAUSE_PATIENCE * run.route.max_pause_s)

    def _could_repeat(self, run: RequestRun) -> bool:
        return run.route.is_repeatable and run.book.sends + 1 < run.route.max_attempts

    async def _fault_end(
        self, run: RequestRun, placement: Placement, fault: HttpFault, was_asked: bool
    ) -> AttemptEnd:
        if fault is HttpFault.NOT_SENT:
            if not was_asked:
                self._desk.report(run.ticket, placement, unreachable=True)
            return AttemptEnd.NOT_SENT
        if fault is HttpFault.TIMED_OUT:
            return AttemptEnd.SILENT
        if fault is HttpFault.RESET:
            await self._check_crash(run, placement)
        return AttemptEnd.BROKEN

    async def _check_crash(self, run: RequestRun, placement: Placement) -> None:
        """Find out whether a broken connection means that the upstream has crashed."""
        try:
            with trio.fail_after(CRASH_CHECK_TIMEOUT_S):
                stream = await open_tcp(placement.listing.address)
        except trio.TooSlowError:
            return
        except OSError:
            self._desk.report(run.ticket, placement, unreachable=True)
            log_event(
                Event.UPSTREAM_CRASHED,
                request_id=run.call.log_id,
                upstream=placement.listing.upstream,
            )
            if run.call.content is not None:
                self._crash_news.report_crash(placement.listing.upstream, (run.call.content,))
            return
        await trio.aclose_forcefully(stream)

    async def _take_answer(
        self, run: RequestRun, placement: Placement, exchange: HttpExchange, head: HttpHead
    ) -> AttemptEnd:
        answer = decode_answer(head.headers)
        if answer.attempt_id is not None and answer.attempt_id != run.call.headers.attempt_id:
            return AttemptEnd.BROKEN
        if answer.is_not_executed or head.status == 421:
            return AttemptEnd.NOT_EXECUTED
        is_success = 200 <= head.status < 300
        if is_success and (not answer.is_signed or answer.has_encoding):
            return AttemptEnd.BROKEN
        if is_success and run.route.kind is RequestKind.STREAM:
            return await self._relay_events(run, placement, exchange, head)
        return await self._relay_whole(run, placement, exchange, head)

    async def _relay_whole(
        self, run: RequestRun, placement: Placement, exchange: HttpExchange, head: HttpHead
    ) -> AttemptEnd:
        """Collect the whole answer, then pass it on."""
        body = await _collect(exchange)
        if isinstance(body, Err):
            return await self._fault_end(run, placement, body.err_value, was_asked=True)
        if head.status in _PROMISES:
            # The upstream did not say that it did not run the request, so nobody may promise it.
            return AttemptEnd.BROKEN
        if head.status >= 500:
            run.failure = (head.status, head.headers, body.ok_value)
            return AttemptEnd.SERVER_ERROR
        self._note_first_event(run, placement)
        if run.book.has_started_answer:
            return AttemptEnd.BROKEN
        run.book.has_started_answer = True
        await run.responder.answer(head.status, head.headers, body.ok_value)
        return AttemptEnd.DELIVERED

    async def _relay_events(
        self, run: RequestRun, placement: Placement, exchange: HttpExchange, head: HttpHead
    ) -> AttemptEnd:
        """Pass a stream's events on as they come."""
        run.relay.start_run()
        first_event = run.relay.passed_events
        started_s = self._context.now_s()
        while True:
            part = await exchange.part()
            if isinstance(part, Err):
                return await self._fault_end(run, placement, part.err_value, was_asked=True)
            if part.ok_value is None:
                self._note_gap(run, placement, run.relay.passed_events - first_event, started_s)
                return await self._end_stream(run, head)
            passed = run.relay.feed(part.ok_value)
            if isinstance(passed, Err):
                return AttemptEnd.BROKEN
            if passed.ok_value:
                run.pauses.note(self._context.now_s())
                self._note_first_event(run, placement)
                await self._send_events(run, head, passed.ok_value)

    def _note_gap(
        self, run: RequestRun, placement: Placement, events: int, started_s: float
    ) -> None:
        """Learn the time between events from a whole stream."""
        if events >= MIN_GAP_EVENTS:
            gap_ms = (self._context.now_s() - started_s) * 1000 / (events - 1)
            self._desk.report(run.ticket, placement, gap_ms=gap_ms)

    async def _send_events(self, run: RequestRun, head: HttpHead, events: bytes) -> None:
        if run.book.has_started_answer:
            await run.responder.send(events)
            return
        run.book.has_started_answer = True
        await run.responder.start(head.status, head.headers, events)

    async def _end_stream(self, run: RequestRun, head: HttpHead) -> AttemptEnd:
        if run.relay.has_partial_event:
            return AttemptEnd.BROKEN
        if not run.book.has_started_answer:
            await self._send_events(run, head, b"")
        await run.responder.end()
        return AttemptEnd.DELIVERED

    def _note_first_event(self, run: RequestRun, placement: Placement) -> None:
        if run.has_first_event:
            return
        run.has_first_event = True
        now_s = self._context.now_s()
        took_s = now_s - run.attempt_s
        self._context.metrics.first_event(run.ticket.service, now_s - run.call.arrived_s)
        self._desk.report(run.ticket, placement, first_event_s=took_s)
        if run.call.content is not None:
            self._crash_news.report_completed(run.call.content)

    async def _give_up(self, run: RequestRun, refused: Refused) -> None:
        step = run.book.give_up(has_failure=run.failure is not None)
        if step is NextStep.REFUSE:
            cause = _CAUSES[refused.reason]
            await self._refuse_run(run, CallRefusal(cause, refused.retry_after_s))
        else:
            await self._finish_failed(run, step)

    async def _finish_failed(self, run: RequestRun, step: NextStep) -> None:
        if step is NextStep.BREAK_OFF:
            self._log.broken(run, "stream-lost")
            run.responder.abort()
        elif step is NextStep.PASS_ON and run.failure is not None:
            status, headers, body = run.failure
            self._log.passed_on(run, status)
            await run.responder.answer(status, headers, body)
        elif step is NextStep.REFUSE:
            retry_after_s = self._context.settings.dispatch.retry_after_min_s
            await self._refuse_run(run, CallRefusal(RefusalCause.NOT_EXECUTED, retry_after_s))
        else:
            await self._refuse_run(run, CallRefusal(RefusalCause.UPSTREAM_FAILED))

    async def _time_out(self, run: RequestRun) -> None:
        if run.book.has_started_answer:
            self._log.broken(run, "timeout")
            run.responder.abort()
        elif run.book.sends:
            await self._refuse_run(run, CallRefusal(RefusalCause.TIMED_OUT))
        else:
            retry_after_s = self._context.settings.dispatch.retry_after_min_s
            await self._refuse_run(run, CallRefusal(RefusalCause.OVERLOADED, retry_after_s))

    async def _refuse_run(self, run: RequestRun, refusal: CallRefusal) -> None:
        await self._refuse(run.call, refusal, run.responder, run)

    async def _refuse(
        self, call: Call, refusal: CallRefusal, responder: Responder, run: RequestRun | None = None
    ) -> None:
        self._log.refused(call, refusal, run)
        await responder.answer(refusal.status, refusal.headers, refusal.body)


async def _collect(exchange: HttpExchange) -> Result[bytes, HttpFault]:
    body = bytearray()
    while True:
        part = await exchange.part()
        if isinstance(part, Err):
            return part
        if part.ok_value is None:
            return Ok(bytes(body))
        body += part.ok_value
        if len(body) > MAX_ANSWER_BYTES:
            return Err(HttpFault.WRONG_ANSWER)
