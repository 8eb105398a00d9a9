"""The ways in which a request ends: refused, broken, finished, or abandoned by its caller.

Each function returns the actions that send the caller its final answer, release the upstream's
capacity and the idempotency key, and record metrics.
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
    LeaveKeyClaimed,
    RecordGoodput,
    RecordWastedPrefill,
    ReleaseKey,
    ReportEnded,
    SendEnd,
    SendHead,
    SendPart,
    SendRefusal,
)
from .request_registry import RequestRegistry
from .request_state import ActiveRequest, ClaimStatus, RequestState


def refuse(
    registry: RequestRegistry,
    active: ActiveRequest,
    reason: RefusalReason,
    retry_after_s: float | None = None,
    outcome: Outcome | None = None,
) -> list[EntryAction]:
    """Refuse a request that is not dispatched.

    ``outcome`` is given where an earlier request with the same key ran or may have run.
    """
    reported_outcome = outcome if outcome is not None else active.outcome
    delay_s = retry_after_s if retry_after_s is not None else registry.retry_after_s()
    actions: list[EntryAction] = [SendRefusal(active.request_id, reason, reported_outcome, delay_s)]
    actions += _release_resources(registry, active)
    registry.end(active)
    return actions


def fail(
    registry: RequestRegistry,
    active: ActiveRequest,
    reason: RefusalReason,
    end: EndState,
) -> list[EntryAction]:
    """End a dispatched request whose answer is incomplete."""
    actions = stop_answering(registry, active, reason)
    actions.append(CancelUpstream(_upstream(active), active.request_id))
    actions += _report_end(registry, active, end, 0)
    if active.claim is ClaimStatus.HELD:
        actions.append(LeaveKeyClaimed(active.request_id))
    actions.append(_wasted_prefill(active, end.value, 0))
    registry.end(active)
    return actions


def stop_answering(
    registry: RequestRegistry, active: ActiveRequest, reason: RefusalReason
) -> list[EntryAction]:
    """End the caller's answer of a dispatched request; the upstream may still be read."""
    if not active.caller_connected:
        return []
    active.caller_connected = False
    if active.head_status is not None:
        return [BreakAnswer(active.request_id)]
    return [SendRefusal(active.request_id, reason, active.outcome, registry.retry_after_s())]


def finish(
    registry: RequestRegistry, active: ActiveRequest, item: AnswerEnd, now_s: float
) -> list[EntryAction]:
    """End a request whose answer was relayed completely."""
    actions: list[EntryAction] = []
    if active.caller_connected:
        actions.append(SendEnd(active.request_id))
        actions.append(_goodput(active, now_s))
    else:
        actions.append(
            _wasted_prefill(active, EndState.CALLER_GONE.value, item.cached_prompt_tokens)
        )
    if active.claim is ClaimStatus.HELD:
        actions.append(KeepAnswer(active.request_id, _kept_answer(active)))
    actions += _report_end(registry, active, EndState.COMPLETE, item.cached_prompt_tokens)
    registry.end(active)
    return actions


def replay_kept_answer(
    registry: RequestRegistry, active: ActiveRequest, kept: KeptAnswer
) -> list[EntryAction]:
    """Answer a resend with the stored answer of the earlier request."""
    actions: list[EntryAction] = [SendHead(active.request_id, kept.status, kept.headers)]
    if kept.body:
        actions.append(SendPart(active.request_id, kept.body))
    actions.append(SendEnd(active.request_id))
    active.claim = ClaimStatus.NONE
    actions += _release_resources(registry, active)
    registry.end(active)
    return actions


def abandon_before_dispatch(registry: RequestRegistry, active: ActiveRequest) -> list[EntryAction]:
    """End a request whose caller disconnected before it was dispatched."""
    actions = _release_resources(registry, active)
    registry.end(active)
    return actions


def abandon_after_dispatch(registry: RequestRegistry, active: ActiveRequest) -> list[EntryAction]:
    """End an idempotent request whose caller disconnected after its dispatch."""
    actions: list[EntryAction] = [CancelUpstream(_upstream(active), active.request_id)]
    actions += _report_end(registry, active, EndState.CALLER_GONE, 0)
    actions.append(_wasted_prefill(active, EndState.CALLER_GONE.value, 0))
    registry.end(active)
    return actions


def decline(active: ActiveRequest) -> list[EntryAction]:
    """Clear the request's grant, and decline it if a scheduler issued it."""
    grant, scheduler = active.grant, active.granted_by
    active.grant = None
    active.granted_by = None
    if grant is None or scheduler is None:
        return []
    return [DeclineGrant(scheduler, active.shard, grant)]


def _release_resources(registry: RequestRegistry, active: ActiveRequest) -> list[EntryAction]:
    actions: list[EntryAction] = []
    if active.state is RequestState.SENDING:
        actions.append(CancelUpstream(_upstream(active), active.request_id))
    if active.claim is not ClaimStatus.NONE:
        actions.append(ReleaseKey(active.request_id))
    actions += decline(active)
    actions += registry.withdraw(active)
    return actions


def _report_end(
    registry: RequestRegistry, active: ActiveRequest, end: EndState, cached_prompt_tokens: int
) -> list[EntryAction]:
    scheduler = registry.scheduler(active)
    if scheduler is None:
        return []
    return [ReportEnded(scheduler, active.shard, active.request_id, end, cached_prompt_tokens)]


def _goodput(active: ActiveRequest, now_s: float) -> RecordGoodput:
    request = active.request
    first_s = active.first_part_s if active.first_part_s is not None else now_s
    return RecordGoodput(
        request.service, request.tier, active.output_tokens, first_s - active.accepted_s
    )


def _wasted_prefill(
    active: ActiveRequest, reason: str, cached_prompt_tokens: int
) -> RecordWastedPrefill:
    request = active.request
    tokens = max(0, request.prompt_tokens - cached_prompt_tokens)
    return RecordWastedPrefill(request.service, request.tier, tokens, reason)


def _kept_answer(active: ActiveRequest) -> KeptAnswer | None:
    if not active.keeps_answer or active.head_status is None:
        return None
    return KeptAnswer(active.head_status, active.head_headers, b"".join(active.kept_parts))


def _upstream(active: ActiveRequest) -> UpstreamId:
    if active.grant is None:
        raise ValueError(f"{active.request_id} has no grant")
    return active.grant.upstream
