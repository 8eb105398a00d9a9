"""Relays an upstream's answer to its caller: in order, without gaps or repeated parts."""

from ..scheduler.tickets import EndState, RefusalReason
from ..upstream.adapters import AnswerEnd, AnswerHead, AnswerItem, AnswerPart, UpstreamFault
from .actions import EntryAction, ReportProgress, ResumeUpstream, SendHead, SendPart
from .request_endings import fail, finish
from .request_registry import RequestRegistry
from .request_state import ActiveRequest, ClaimStatus, RequestState

PROGRESS_INTERVAL_S = 0.5
"""Minimum time between the progress reports of one request."""

MAX_RESUMES_WITHOUT_PROGRESS = 3

RESUME_DELAY_S = 0.2
"""Delay before the second resume without progress; the first has none, the third twice this."""


def relay_item(
    registry: RequestRegistry, active: ActiveRequest, item: AnswerItem, now_s: float
) -> list[EntryAction]:
    """Relay one item of a dispatched request's answer."""
    if isinstance(item, AnswerHead):
        return _relay_head(registry, active, item, now_s)
    if isinstance(item, AnswerPart):
        return _relay_part(registry, active, item, now_s)
    if isinstance(item, AnswerEnd):
        return _relay_end(registry, active, item, now_s)
    return relay_fault(registry, active, item, now_s)


def relay_fault(
    registry: RequestRegistry, active: ActiveRequest, fault: UpstreamFault, now_s: float
) -> list[EntryAction]:
    """Resume a dispatched request's broken stream, or fail the request if that is impossible."""
    is_crash = _is_crash(active.first_fault, fault)
    active.first_fault = active.first_fault or fault
    if is_crash or not _can_resume(active, fault):
        return fail(registry, active, RefusalReason.UPSTREAM_FAILED, _end_state(active))
    active.state = RequestState.RESUMING
    active.resumes += 1
    active.resume_at_s = now_s + RESUME_DELAY_S * (active.resumes - 1)
    registry.wake_at(active, active.resume_at_s)
    return resume_if_due(active, now_s)


def resume_if_due(active: ActiveRequest, now_s: float) -> list[EntryAction]:
    """Return the delayed resume, if it is due."""
    if active.resume_at_s is None or now_s < active.resume_at_s or active.grant is None:
        return []
    active.resume_at_s = None
    return [ResumeUpstream(active.grant.upstream, active.request_id, active.last_event)]


def _is_crash(first: UpstreamFault | None, fault: UpstreamFault) -> bool:
    """Return whether a stream was lost because its upstream's process ended.

    A connection that was reset and then refused means that nothing listens there any more. Retrying
    would only delay the crash report, while requests with the same content may be sent to other
    upstreams.
    """
    return first is UpstreamFault.RESET and fault is UpstreamFault.NOT_SENT


def _can_resume(active: ActiveRequest, fault: UpstreamFault) -> bool:
    if fault is UpstreamFault.NOT_SUPPORTED or active.parts_without_event > 0:
        return False
    return active.resumes < MAX_RESUMES_WITHOUT_PROGRESS


def _end_state(active: ActiveRequest) -> EndState:
    if active.first_fault in (UpstreamFault.RESET, UpstreamFault.NOT_SENT):
        return EndState.UPSTREAM_CRASHED
    return EndState.BROKEN


def _relay_head(
    registry: RequestRegistry, active: ActiveRequest, item: AnswerHead, now_s: float
) -> list[EntryAction]:
    if active.head_status is not None:
        # A resumed stream starts with a head again, whose status must match the one sent before.
        if item.status != active.head_status:
            return relay_fault(registry, active, UpstreamFault.NOT_SUPPORTED, now_s)
        return []
    if active.state is RequestState.RESUMING and item.status >= 400:
        # The upstream no longer knows the request, so this status is not the request's answer.
        return relay_fault(registry, active, UpstreamFault.NOT_SUPPORTED, now_s)
    active.head_status = item.status
    active.head_headers = item.headers
    active.state = RequestState.STREAMING
    if not active.caller_connected:
        return []
    return [SendHead(active.request_id, item.status, item.headers)]


def _relay_part(
    registry: RequestRegistry, active: ActiveRequest, item: AnswerPart, now_s: float
) -> list[EntryAction]:
    if active.head_status is None or _leaves_gap(active, item):
        return relay_fault(registry, active, UpstreamFault.WRONG_ANSWER, now_s)
    if item.event_id is not None and item.event_id <= active.last_event:
        return []
    active.state = RequestState.STREAMING
    active.resumes = 0
    active.first_fault = None
    _record_part(active, item, now_s)
    actions: list[EntryAction] = []
    if active.caller_connected:
        actions.append(SendPart(active.request_id, item.data))
    return actions + _progress_report(registry, active, now_s)


def _leaves_gap(active: ActiveRequest, item: AnswerPart) -> bool:
    return item.event_id is not None and item.event_id > active.last_event + 1


def _record_part(active: ActiveRequest, item: AnswerPart, now_s: float) -> None:
    if item.event_id is None:
        active.parts_without_event += 1
    else:
        active.last_event = item.event_id
    if active.first_part_s is None:
        active.first_part_s = now_s
    active.output_tokens += item.tokens
    if active.claim is ClaimStatus.HELD:
        _buffer_part(active, item.data)


def _buffer_part(active: ActiveRequest, data: bytes) -> None:
    active.kept_bytes += len(data)
    if active.keeps_answer:
        active.kept_parts.append(data)
    else:
        active.kept_parts.clear()


def _progress_report(
    registry: RequestRegistry, active: ActiveRequest, now_s: float
) -> list[EntryAction]:
    scheduler = registry.scheduler(active)
    is_first = active.last_progress_s is None
    if scheduler is None or active.output_tokens == 0:
        return []
    if not is_first and now_s < (active.last_progress_s or 0.0) + PROGRESS_INTERVAL_S:
        return []
    active.last_progress_s = now_s
    return [ReportProgress(scheduler, active.shard, active.request_id, active.output_tokens)]


def _relay_end(
    registry: RequestRegistry, active: ActiveRequest, item: AnswerEnd, now_s: float
) -> list[EntryAction]:
    if active.head_status is None:
        return relay_fault(registry, active, UpstreamFault.WRONG_ANSWER, now_s)
    return finish(registry, active, item, now_s)
