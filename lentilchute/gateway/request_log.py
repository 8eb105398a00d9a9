"""Log lines and metrics for the outcomes of requests."""

from ..events import Event, log_event
from ..util.log_limit import LogLineLimiter
from .active_request import ActiveRequest
from .attempts import AttemptEnd, NextStep
from .calls import Call, CallRefusal
from .context import GatewayContext
from .tickets import Placement


class RequestLog:
    """Logs and counts each decision about a request, with the inputs of the decision."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._line_limiter = LogLineLimiter()

    def log_refusal(self, call: Call, refusal: CallRefusal, active: ActiveRequest | None) -> None:
        """Log a refusal by the gateway itself."""
        self._context.metrics.record_request(call.service, refusal.cause.value)
        suppressed = self._line_limiter.acquire(refusal.cause.value, self._context.now_s())
        if suppressed is None:
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
            resumed_stream=call.headers.resumed_stream,
            tried=[] if active is None else active.tried,
            left_out=suppressed,
        )

    def log_attempt_start(self, active: ActiveRequest, placement: Placement) -> None:
        """Log that a request is sent to an upstream."""
        active.tried.append(placement.listing.upstream)
        waited_s = self._context.now_s() - active.call.arrived_s
        ticket = active.ticket
        if ticket.prompt_parts:
            self._context.metrics.record_prompt(
                ticket.service, ticket.prompt_tokens - placement.held_tokens, placement.held_tokens
            )
        self._context.metrics.record_wait(active.ticket.service, waited_s)
        log_event(
            Event.ATTEMPT_STARTED,
            request_id=active.call.log_id,
            upstream=placement.listing.upstream,
            upstream_version=placement.listing.version,
            attempt=len(active.tried),
            resume_after=active.relay.last_event_id,
            resumed_stream=active.call.headers.resumed_stream,
            route=active.route.name,
            config_version=active.call.config.version if active.call.config else None,
            waited_s=round(waited_s, 4),
            expected_s=round(placement.expected_s, 4),
            work_tokens=placement.work_tokens,
            held_tokens=placement.held_tokens,
            running=placement.running,
            pace_ms=round(placement.pace_ms, 2),
            gap_ms=round(placement.gap_s * 1000, 1),
            miss_probability=round(placement.miss_probability, 3),
            failure_rate=round(placement.failure_rate, 3),
            coordinator=self._context.choice.coordinator,
        )

    def log_failed_attempt(
        self, active: ActiveRequest, placement: Placement, end: AttemptEnd, step: NextStep
    ) -> None:
        """Log a failed attempt and the step that follows."""
        log_event(
            Event.ATTEMPT_ENDED,
            request_id=active.call.log_id,
            upstream=placement.listing.upstream,
            end=end.value,
            next=step.value,
            events=active.relay.relayed_events,
            left_s=round(active.attempts.deadline_s - self._context.now_s(), 3),
        )

    def log_crash(self, active: ActiveRequest, placement: Placement) -> None:
        """Log that an upstream crashed with a request in flight, and what the request consists
        of."""
        self._context.metrics.record_crash(active.ticket.service)
        log_event(
            Event.UPSTREAM_CRASHED,
            request_id=active.call.log_id,
            upstream=placement.listing.upstream,
            started_ms=placement.listing.started_ms,
            fingerprint=active.call.fingerprint,
            prompt_parts=active.call.headers.shared_prompt_parts,
            has_begun=active.has_first_event,
        )

    def log_unreachable(
        self, active: ActiveRequest, placement: Placement, *, is_down: bool
    ) -> None:
        """Log that a request found no path to an upstream; ``is_down`` says that the upstream is
        blamed for it."""
        self._context.metrics.record_unreachable(active.ticket.service)
        log_event(
            Event.UPSTREAM_UNREACHABLE,
            request_id=active.call.log_id,
            upstream=placement.listing.upstream,
            is_down=is_down,
            took_s=round(self._context.now_s() - active.attempt_started_s, 4),
        )

    def log_delivery(self, active: ActiveRequest, placement: Placement) -> None:
        """Log a completely delivered answer."""
        self._context.metrics.record_request(active.ticket.service, "delivered")
        if active.relay.relayed_events:
            self._context.metrics.record_longest_pause(
                active.ticket.service, active.event_times.longest_pause_s
            )
        first_s = active.event_times.first_s
        log_event(
            Event.REQUEST_FINISHED,
            request_id=active.call.log_id,
            upstream=placement.listing.upstream,
            took_s=round(self._context.now_s() - active.call.arrived_s, 4),
            first_event_s=None if first_s is None else round(first_s - active.call.arrived_s, 4),
            longest_pause_s=round(active.event_times.longest_pause_s, 4),
            events=active.relay.relayed_events,
            tried=active.tried,
        )

    def log_forwarded_error(self, active: ActiveRequest, status: int) -> None:
        """Log an upstream's server error that is relayed to the caller."""
        self._context.metrics.record_request(active.ticket.service, "upstream-error")
        log_event(
            Event.REQUEST_FINISHED, request_id=active.call.log_id, status=status, tried=active.tried
        )

    def log_broken_answer(self, active: ActiveRequest, reason: str) -> None:
        """Log an answer that was aborted before its end."""
        self._context.metrics.record_request(active.ticket.service, "broken")
        log_event(
            Event.REQUEST_BROKEN,
            request_id=active.call.log_id,
            reason=reason,
            events=active.relay.relayed_events,
            tried=active.tried,
        )
