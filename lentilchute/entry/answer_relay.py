"""Passing an upstream's answer on to its caller: whole, in order, without gaps or repeats."""

from ..scheduler.tickets import EndState, RefusalReason
from ..upstream.adapters import AnswerEnd, AnswerHead, AnswerItem, AnswerPart, UpstreamFault
from .actions import EntryAction, ReportProgress, ResumeUpstream, SendHead, SendPart
from .request_book import RequestBook
from .request_endings import fail, finish
from .request_state import ClaimHold, HeldRequest, RequestState

PROGRESS_INTERVAL_S = 0.5
MAX_RESUMES_WITHOUT_PROGRESS = 3
RESUME_DELAY_S = 0.2


def relay_item(
    book: RequestBook, held: HeldRequest, item: AnswerItem, now_s: float
) -> list[EntryAction]:
    """Handle one item of a dispatched request's answer."""
    if isinstance(item, AnswerHead):
        return _relay_head(book, held, item, now_s)
    if isinstance(item, AnswerPart):
        return _relay_part(book, held, item, now_s)
    if isinstance(item, AnswerEnd):
        return _relay_end(book, held, item, now_s)
    return relay_fault(book, held, item, now_s)


def relay_fault(
    book: RequestBook, held: HeldRequest, fault: UpstreamFault, now_s: float
) -> list[EntryAction]:
    """Resume a dispatched request's broken stream, or end it where that cannot work."""
    is_crash = _is_crash(held.first_fault, fault)
    held.first_fault = held.first_fault or fault
    if is_crash or not _can_resume(held, fault):
        return fail(book, held, RefusalReason.UPSTREAM_FAILED, _end_state(held))
    held.state = RequestState.RESUMING
    held.resumes += 1
    held.resume_at_s = now_s + RESUME_DELAY_S * (held.resumes - 1)
    book.wake_at(held, held.resume_at_s)
    return resume_if_due(held, now_s)


def resume_if_due(held: HeldRequest, now_s: float) -> list[EntryAction]:
    """Return the resume that waited for its time, if that has come."""
    if held.resume_at_s is None or now_s < held.resume_at_s or held.grant is None:
        return []
    held.resume_at_s = None
    return [ResumeUpstream(held.grant.upstream, held.request_id, held.last_event)]


def _is_crash(first: UpstreamFault | None, fault: UpstreamFault) -> bool:
    """Tell whether a stream is lost with its upstream's process.

    A connection that was reset and then refused means that nothing listens there any more. Trying
    again would only delay the report, while the same content may be on its way to other upstreams.
    """
    return first is UpstreamFault.RESET and fault is UpstreamFault.NOT_SENT


def _can_resume(held: HeldRequest, fault: UpstreamFault) -> bool:
    if fault is UpstreamFault.NOT_SUPPORTED or held.parts_without_event > 0:
        return False
    return held.resumes < MAX_RESUMES_WITHOUT_PROGRESS


def _end_state(held: HeldRequest) -> EndState:
    if held.first_fault in (UpstreamFault.RESET, UpstreamFault.NOT_SENT):
        return EndState.UPSTREAM_CRASHED
    return EndState.BROKEN


def _relay_head(
    book: RequestBook, held: HeldRequest, item: AnswerHead, now_s: float
) -> list[EntryAction]:
    if held.head_status is not None:
        # A resumed stream brings a head again, which must be the one the caller has seen.
        if item.status != held.head_status:
            return relay_fault(book, held, UpstreamFault.NOT_SUPPORTED, now_s)
        return []
    if held.state is RequestState.RESUMING and item.status >= 400:
        # The upstream no longer knows the request; this is not the answer to it.
        return relay_fault(book, held, UpstreamFault.NOT_SUPPORTED, now_s)
    held.head_status = item.status
    held.head_headers = item.headers
    held.state = RequestState.STREAMING
    if not held.caller_present:
        return []
    return [SendHead(held.request_id, item.status, item.headers)]


def _relay_part(
    book: RequestBook, held: HeldRequest, item: AnswerPart, now_s: float
) -> list[EntryAction]:
    if held.head_status is None or _leaves_gap(held, item):
        return relay_fault(book, held, UpstreamFault.WRONG_ANSWER, now_s)
    if item.event_id is not None and item.event_id <= held.last_event:
        return []
    held.state = RequestState.STREAMING
    held.resumes = 0
    held.first_fault = None
    _note_part(held, item, now_s)
    actions: list[EntryAction] = []
    if held.caller_present:
        actions.append(SendPart(held.request_id, item.data))
    return actions + _progress(book, held, now_s)


def _leaves_gap(held: HeldRequest, item: AnswerPart) -> bool:
    return item.event_id is not None and item.event_id > held.last_event + 1


def _note_part(held: HeldRequest, item: AnswerPart, now_s: float) -> None:
    if item.event_id is None:
        held.parts_without_event += 1
    else:
        held.last_event = item.event_id
    if held.first_part_s is None:
        held.first_part_s = now_s
    held.output_tokens += item.tokens
    if held.claim is ClaimHold.HELD:
        _keep_part(held, item.data)


def _keep_part(held: HeldRequest, data: bytes) -> None:
    held.kept_bytes += len(data)
    if held.keeps_answer:
        held.kept_parts.append(data)
    else:
        held.kept_parts.clear()


def _progress(book: RequestBook, held: HeldRequest, now_s: float) -> list[EntryAction]:
    scheduler = book.scheduler(held)
    is_first = held.reported_s is None
    if scheduler is None or held.output_tokens == 0:
        return []
    if not is_first and now_s < (held.reported_s or 0.0) + PROGRESS_INTERVAL_S:
        return []
    held.reported_s = now_s
    return [ReportProgress(scheduler, held.shard, held.request_id, held.output_tokens)]


def _relay_end(
    book: RequestBook, held: HeldRequest, item: AnswerEnd, now_s: float
) -> list[EntryAction]:
    if held.head_status is None:
        return relay_fault(book, held, UpstreamFault.WRONG_ANSWER, now_s)
    return finish(book, held, item, now_s)
