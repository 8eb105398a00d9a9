"""From a grant to the first byte: the checks, the claim, and asking again if nothing was sent."""

from dataclasses import replace

from ..ids import Attempt, UpstreamId
from ..scheduler.tickets import Grant, RefusalReason
from ..state.claim_answers import ClaimRequest
from ..upstream.adapters import UpstreamRequest
from .actions import ClaimKey, EntryAction, ReportDispatched, SendUpstream, WithdrawTicket
from .request_book import RequestBook
from .request_endings import decline, refuse
from .request_state import ClaimHold, HeldRequest, RequestState


def is_awaited(held: HeldRequest, grant: Grant) -> bool:
    """Tell whether the request waits for a grant of this attempt."""
    return held.state is RequestState.WAITING and grant.attempt == held.attempt


def is_usable(book: RequestBook, held: HeldRequest, grant: Grant, now_s: float) -> bool:
    """Tell whether a grant that is awaited can be used now."""
    if grant.upstream in book.leaving or grant.upstream in held.ticket.excluded:
        return False
    return now_s < min(grant.expires_s, held.request.deadline_s)


def use_grant(held: HeldRequest) -> list[EntryAction]:
    """Send the request, after its key is claimed where it may not be repeated."""
    request = held.request
    if request.idempotent or request.idempotency_key is None or held.claim is ClaimHold.HELD:
        return _send(held)
    held.state = RequestState.CLAIMING
    held.claim = ClaimHold.ASKED
    claim = ClaimRequest(
        request_id=held.request_id,
        service=request.service,
        client_account=request.client_account,
        key=request.idempotency_key,
        fingerprint=request.fingerprint,
        deadline_s=request.deadline_s,
    )
    return [ClaimKey(claim)]


def send_if_still_granted(book: RequestBook, held: HeldRequest, now_s: float) -> list[EntryAction]:
    """Send with the key held, unless the grant lapsed while the claim was under way."""
    if now_s >= held.request.deadline_s:
        return refuse(book, held, RefusalReason.EXPIRED)
    grant = held.grant
    if grant is None or now_s >= grant.expires_s or grant.upstream in book.leaving:
        return wait_again(book, held, held.ticket.excluded, now_s)
    return _send(held)


def may_dispatch(book: RequestBook, held: HeldRequest, now_s: float) -> bool:
    """Tell whether the first byte may go out now; the last check before dispatch."""
    if held.state is not RequestState.SENDING or held.is_dispatched or held.grant is None:
        return False
    if held.grant.upstream in book.leaving:
        return False
    if not held.request.idempotent and held.claim is not ClaimHold.HELD:
        return False
    return now_s < min(held.grant.expires_s, held.request.deadline_s)


def dispatch_reports(book: RequestBook, held: HeldRequest) -> list[EntryAction]:
    """Return the reports of a dispatch to the schedulers concerned."""
    if held.grant is None:
        return []
    scheduler = book.scheduler(held)
    reports: list[EntryAction] = []
    if held.granted_by is not None and held.granted_by != scheduler:
        # The former scheduler of the shard must not keep room for this request.
        reports.append(WithdrawTicket(held.granted_by, held.shard, held.request_id))
    if scheduler is not None:
        upstream = held.grant.upstream
        reports.append(
            ReportDispatched(scheduler, held.shard, held.request_id, held.attempt, upstream)
        )
    return reports


def ask_again(book: RequestBook, held: HeldRequest, now_s: float) -> list[EntryAction]:
    """Ask for another upstream, since no byte of the request went to this one."""
    if now_s >= held.request.deadline_s:
        return refuse(book, held, RefusalReason.EXPIRED)
    excluded = held.ticket.excluded
    if held.grant is not None and now_s < held.grant.expires_s:
        excluded = excluded | {held.grant.upstream}
    return wait_again(book, held, excluded, now_s)


def wait_again(
    book: RequestBook, held: HeldRequest, excluded: frozenset[UpstreamId], now_s: float
) -> list[EntryAction]:
    """Give the grant back and submit a new attempt; a scheduler takes the old one for over."""
    actions = decline(held)
    held.state = RequestState.WAITING
    next_attempt = Attempt(held.attempt + 1)
    held.ticket = replace(held.ticket, attempt=next_attempt, excluded=excluded)
    actions += book.submit(held, now_s)
    return actions


def _send(held: HeldRequest) -> list[EntryAction]:
    if held.grant is None:
        return []
    held.state = RequestState.SENDING
    request = held.request
    message = UpstreamRequest(
        request_id=held.request_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        streaming=request.streaming,
        idle_timeout_s=request.stream_idle_timeout_s,
    )
    return [SendUpstream(held.grant.upstream, held.attempt, message)]
