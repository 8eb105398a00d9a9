"""Steps from a grant to dispatch: checks, the key's claim, and resubmission if nothing was sent."""

from dataclasses import replace

from ..ids import Attempt, UpstreamId
from ..scheduler.tickets import Grant, RefusalReason
from ..state.claim_answers import ClaimRequest
from ..upstream.adapters import UpstreamRequest
from .actions import ClaimKey, EntryAction, ReportDispatched, SendUpstream, WithdrawTicket
from .request_endings import decline, refuse
from .request_registry import RequestRegistry
from .request_state import ActiveRequest, ClaimStatus, RequestState


def awaits_grant(active: ActiveRequest, grant: Grant) -> bool:
    """Return whether the request waits for a grant of this attempt."""
    return active.state is RequestState.WAITING and grant.attempt == active.attempt


def is_grant_usable(
    registry: RequestRegistry, active: ActiveRequest, grant: Grant, now_s: float
) -> bool:
    """Return whether an awaited grant can be used now."""
    if grant.upstream in registry.leaving or grant.upstream in active.ticket.excluded:
        return False
    return now_s < min(grant.expires_s, active.request.deadline_s)


def use_grant(active: ActiveRequest) -> list[EntryAction]:
    """Send the request; if it is not idempotent, claim its key first."""
    request = active.request
    if request.idempotent or request.idempotency_key is None or active.claim is ClaimStatus.HELD:
        return _send(active)
    active.state = RequestState.CLAIMING
    active.claim = ClaimStatus.REQUESTED
    claim = ClaimRequest(
        request_id=active.request_id,
        service=request.service,
        client_account=request.client_account,
        key=request.idempotency_key,
        fingerprint=request.fingerprint,
        deadline_s=request.deadline_s,
    )
    return [ClaimKey(claim)]


def send_if_still_granted(
    registry: RequestRegistry, active: ActiveRequest, now_s: float
) -> list[EntryAction]:
    """Send after the key was claimed, or resubmit if the grant is no longer usable."""
    if now_s >= active.request.deadline_s:
        return refuse(registry, active, RefusalReason.EXPIRED)
    grant = active.grant
    if grant is None or now_s >= grant.expires_s or grant.upstream in registry.leaving:
        return resubmit(registry, active, active.ticket.excluded, now_s)
    return _send(active)


def may_dispatch(registry: RequestRegistry, active: ActiveRequest, now_s: float) -> bool:
    """Return whether the first byte may be sent now; the last check before dispatch."""
    if active.state is not RequestState.SENDING or active.is_dispatched or active.grant is None:
        return False
    if active.grant.upstream in registry.leaving:
        return False
    if not active.request.idempotent and active.claim is not ClaimStatus.HELD:
        return False
    return now_s < min(active.grant.expires_s, active.request.deadline_s)


def dispatch_reports(registry: RequestRegistry, active: ActiveRequest) -> list[EntryAction]:
    """Return the reports of a dispatch to the schedulers concerned."""
    if active.grant is None:
        return []
    scheduler = registry.scheduler(active)
    reports: list[EntryAction] = []
    if active.granted_by is not None and active.granted_by != scheduler:
        # The shard's former scheduler must not reserve capacity for this request any longer.
        reports.append(WithdrawTicket(active.granted_by, active.shard, active.request_id))
    if scheduler is not None:
        upstream = active.grant.upstream
        reports.append(
            ReportDispatched(scheduler, active.shard, active.request_id, active.attempt, upstream)
        )
    return reports


def retry_unsent(
    registry: RequestRegistry, active: ActiveRequest, now_s: float
) -> list[EntryAction]:
    """Resubmit a request of which no byte was sent, excluding its upstream.

    An upstream whose grant has expired meanwhile is not excluded.
    """
    if now_s >= active.request.deadline_s:
        return refuse(registry, active, RefusalReason.EXPIRED)
    excluded = active.ticket.excluded
    if active.grant is not None and now_s < active.grant.expires_s:
        excluded = excluded | {active.grant.upstream}
    return resubmit(registry, active, excluded, now_s)


def resubmit(
    registry: RequestRegistry, active: ActiveRequest, excluded: frozenset[UpstreamId], now_s: float
) -> list[EntryAction]:
    """Decline the grant and submit a new attempt, which supersedes the old one at the scheduler."""
    actions = decline(active)
    active.state = RequestState.WAITING
    next_attempt = Attempt(active.attempt + 1)
    active.ticket = replace(active.ticket, attempt=next_attempt, excluded=excluded)
    actions += registry.submit(active, now_s)
    return actions


def _send(active: ActiveRequest) -> list[EntryAction]:
    if active.grant is None:
        return []
    active.state = RequestState.SENDING
    request = active.request
    message = UpstreamRequest(
        request_id=active.request_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        streaming=request.streaming,
        idle_timeout_s=request.stream_idle_timeout_s,
    )
    return [SendUpstream(active.grant.upstream, active.attempt, message)]
