"""How a request ends: refused, broken, finished, or left by its caller.

Each function returns the actions that give the caller its final answer, free the room and the key,
and count what the request cost.
"""

from ..ids import UpstreamId
from ..scheduler.tickets import EndState, Outcome, RefusalReason
from ..state.claim_answers import KeptAnswer
from ..upstream.adapters import AnswerEnd
from .actions import (
    BreakAnswer,
    CancelUpstream,
    DeclineGrant,
    EntryAction,
    KeepAnswer,
    LeaveKey,
    RecordGoodput,
    RecordWastedPrefill,
    ReleaseKey,
    ReportEnded,
    SendEnd,
    SendHead,
    SendPart,
    SendRefusal,
)
from .request_book import RequestBook
from .request_state import ClaimHold, HeldRequest, RequestState


def refuse(
    book: RequestBook,
    held: HeldRequest,
    reason: RefusalReason,
    retry_after_s: float | None = None,
    outcome: Outcome | None = None,
) -> list[EntryAction]:
    """Refuse a request that is not dispatched; ``outcome`` tells of an earlier run of its key."""
    said = outcome if outcome is not None else held.outcome
    after_s = retry_after_s if retry_after_s is not None else book.retry_after_s()
    actions: list[EntryAction] = [SendRefusal(held.request_id, reason, said, after_s)]
    actions += _give_back(book, held)
    book.end(held)
    return actions


def fail(
    book: RequestBook,
    held: HeldRequest,
    reason: RefusalReason,
    end: EndState,
) -> list[EntryAction]:
    """End a dispatched request without a whole answer."""
    actions = stop_answering(book, held, reason)
    actions.append(CancelUpstream(_upstream(held), held.request_id))
    actions += _report_end(book, held, end, 0)
    if held.claim is ClaimHold.HELD:
        actions.append(LeaveKey(held.request_id))
    actions.append(_wasted(held, end.value, 0))
    book.end(held)
    return actions


def stop_answering(
    book: RequestBook, held: HeldRequest, reason: RefusalReason
) -> list[EntryAction]:
    """End the caller's side of a dispatched request, whose upstream may still be awaited."""
    if not held.caller_present:
        return []
    held.caller_present = False
    if held.head_status is not None:
        return [BreakAnswer(held.request_id)]
    return [SendRefusal(held.request_id, reason, held.outcome, book.retry_after_s())]


def finish(
    book: RequestBook, held: HeldRequest, item: AnswerEnd, now_s: float
) -> list[EntryAction]:
    """End a request whose whole answer was passed on."""
    actions: list[EntryAction] = []
    if held.caller_present:
        actions.append(SendEnd(held.request_id))
        actions.append(_goodput(held, now_s))
    else:
        actions.append(_wasted(held, EndState.CALLER_GONE.value, item.cached_prompt_tokens))
    if held.claim is ClaimHold.HELD:
        actions.append(KeepAnswer(held.request_id, _kept_answer(held)))
    actions += _report_end(book, held, EndState.COMPLETE, item.cached_prompt_tokens)
    book.end(held)
    return actions


def answer_from_key(book: RequestBook, held: HeldRequest, kept: KeptAnswer) -> list[EntryAction]:
    """Answer a resend with the kept answer of the request that ran before."""
    actions: list[EntryAction] = [SendHead(held.request_id, kept.status, kept.headers)]
    if kept.body:
        actions.append(SendPart(held.request_id, kept.body))
    actions.append(SendEnd(held.request_id))
    held.claim = ClaimHold.NONE
    actions += _give_back(book, held)
    book.end(held)
    return actions


def leave_before_dispatch(book: RequestBook, held: HeldRequest) -> list[EntryAction]:
    """End a request whose caller left before it was dispatched."""
    actions = _give_back(book, held)
    book.end(held)
    return actions


def leave_after_dispatch(book: RequestBook, held: HeldRequest) -> list[EntryAction]:
    """End a repeatable request whose caller left while it ran."""
    actions: list[EntryAction] = [CancelUpstream(_upstream(held), held.request_id)]
    actions += _report_end(book, held, EndState.CALLER_GONE, 0)
    actions.append(_wasted(held, EndState.CALLER_GONE.value, 0))
    book.end(held)
    return actions


def decline(held: HeldRequest) -> list[EntryAction]:
    """Give the request's grant back to the scheduler that made it."""
    grant, scheduler = held.grant, held.granted_by
    held.grant = None
    held.granted_by = None
    if grant is None or scheduler is None:
        return []
    return [DeclineGrant(scheduler, held.shard, grant)]


def _give_back(book: RequestBook, held: HeldRequest) -> list[EntryAction]:
    actions: list[EntryAction] = []
    if held.state is RequestState.SENDING:
        actions.append(CancelUpstream(_upstream(held), held.request_id))
    if held.claim is not ClaimHold.NONE:
        actions.append(ReleaseKey(held.request_id))
    actions += decline(held)
    actions += book.withdraw(held)
    return actions


def _report_end(
    book: RequestBook, held: HeldRequest, end: EndState, cached_prompt_tokens: int
) -> list[EntryAction]:
    scheduler = book.scheduler(held)
    if scheduler is None:
        return []
    return [ReportEnded(scheduler, held.shard, held.request_id, end, cached_prompt_tokens)]


def _goodput(held: HeldRequest, now_s: float) -> RecordGoodput:
    request = held.request
    first_s = held.first_part_s if held.first_part_s is not None else now_s
    return RecordGoodput(
        request.service, request.tier, held.output_tokens, first_s - held.accepted_s
    )


def _wasted(held: HeldRequest, reason: str, cached_prompt_tokens: int) -> RecordWastedPrefill:
    request = held.request
    tokens = max(0, request.prompt_tokens - cached_prompt_tokens)
    return RecordWastedPrefill(request.service, request.tier, tokens, reason)


def _kept_answer(held: HeldRequest) -> KeptAnswer | None:
    if not held.keeps_answer or held.head_status is None:
        return None
    return KeptAnswer(held.head_status, held.head_headers, b"".join(held.kept_parts))


def _upstream(held: HeldRequest) -> UpstreamId:
    if held.grant is None:
        raise ValueError(f"{held.request_id} has no grant")
    return held.grant.upstream
