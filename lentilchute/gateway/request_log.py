"""Log lines and counts for what happens to requests."""

from ..events import Event, log_event
from .attempts import AttemptEnd, NextStep
from .calls import Call, CallRefusal
from .context import GatewayContext
from .log_limit import LogLimit
from .request_run import RequestRun
from .tickets import Placement


class RequestLog:
    """Writes one line for each decision that touches a request, with what decided it."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._limit = LogLimit()

    def refused(self, call: Call, refusal: CallRefusal, run: RequestRun | None) -> None:
        """Note an answer of the gateway's own."""
        self._context.metrics.request(call.service, refusal.cause.value)
        left_out = self._limit.take(refusal.cause.value, self._context.now_s())
        if left_out is None:
            return
        log_event(
            Event.REQUEST_REFUSED,
            request_id=call.log_id,
            status=refusal.status,
            reason=refusal.cause.value,
            retry_after_s=refusal.retry_after_s,
            route=None if call.route is None else call.route.name,
            account=None if call.account is None else call.account.name,
            config_version=None if call.config is None else call.config.version,
            waited_s=round(self._context.now_s() - call.arrived_s, 4),
            tried=[] if run is None else run.tried,
            left_out=left_out,
        )

    def attempt_started(self, run: RequestRun, placement: Placement) -> None:
        """Note that a request goes to an upstream."""
        run.tried.append(placement.listing.upstream)
        waited_s = self._context.now_s() - run.call.arrived_s
        self._context.metrics.waited(run.ticket.service, waited_s)
        log_event(
            Event.ATTEMPT_STARTED,
            request_id=run.call.log_id,
            upstream=placement.listing.upstream,
            attempt=len(run.tried),
            route=run.route.name,
            config_version=run.call.config.version if run.call.config else None,
            waited_s=round(waited_s, 4),
            expected_s=round(placement.expected_s, 4),
            work_tokens=placement.work_tokens,
            running=placement.running,
            pace_ms=round(placement.pace_ms, 2),
            gap_ms=round(placement.gap_s * 1000, 1),
            miss_probability=round(placement.miss_probability, 3),
            failure_rate=round(placement.failure_rate, 3),
            coordinator=self._context.choice.coordinator,
        )

    def attempt_ended(
        self, run: RequestRun, placement: Placement, end: AttemptEnd, step: NextStep
    ) -> None:
        """Note an attempt that failed, and what follows."""
        log_event(
            Event.ATTEMPT_ENDED,
            request_id=run.call.log_id,
            upstream=placement.listing.upstream,
            end=end.value,
            next=step.value,
            events=run.relay.passed_events,
            left_s=round(run.book.deadline_s - self._context.now_s(), 3),
        )

    def finished(self, run: RequestRun, placement: Placement) -> None:
        """Note a whole answer."""
        self._context.metrics.request(run.ticket.service, "delivered")
        if run.relay.passed_events:
            self._context.metrics.longest_pause(run.ticket.service, run.pauses.longest_s)
        first_s = run.pauses.first_s
        log_event(
            Event.REQUEST_FINISHED,
            request_id=run.call.log_id,
            upstream=placement.listing.upstream,
            took_s=round(self._context.now_s() - run.call.arrived_s, 4),
            first_event_s=None if first_s is None else round(first_s - run.call.arrived_s, 4),
            longest_pause_s=round(run.pauses.longest_s, 4),
            events=run.relay.passed_events,
            tried=run.tried,
        )

    def passed_on(self, run: RequestRun, status: int) -> None:
        """Note an upstream's own failure that goes to the caller."""
        self._context.metrics.request(run.ticket.service, "upstream-error")
        log_event(
            Event.REQUEST_FINISHED, request_id=run.call.log_id, status=status, tried=run.tried
        )

    def broken(self, run: RequestRun, reason: str) -> None:
        """Note an answer that is left without its end."""
        self._context.metrics.request(run.ticket.service, "broken")
        log_event(
            Event.REQUEST_BROKEN,
            request_id=run.call.log_id,
            reason=reason,
            events=run.relay.passed_events,
            tried=run.tried,
        )
