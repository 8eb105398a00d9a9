"""Whether an entry takes a new request in, and what it displaces within its memory bound."""

from ..scheduler.tickets import Outcome, RefusalReason
from .actions import EntryAction, SendRefusal
from .request_book import RequestBook
from .request_endings import refuse
from .request_state import HeldRequest, RequestState


def admit(book: RequestBook, held: HeldRequest, now_s: float) -> list[EntryAction]:
    """Hold a new request, or refuse it; a lower tier's waiting request gives way first."""
    request = held.request
    if not request.idempotent and request.idempotency_key is None:
        return refuse_new(book, held, RefusalReason.KEY_REQUIRED)
    if now_s >= request.deadline_s:
        return refuse_new(book, held, RefusalReason.EXPIRED)
    actions = _make_room(book, held)
    if _is_over_bound(book, held):
        return actions + refuse_new(book, held, RefusalReason.OVERLOADED)
    book.add(held)
    return actions


def refuse_new(book: RequestBook, held: HeldRequest, reason: RefusalReason) -> list[EntryAction]:
    """Refuse a request that was never held."""
    after_s = book.retry_after_s()
    return [SendRefusal(held.request_id, reason, Outcome.NOT_RUN, after_s)]


def _make_room(book: RequestBook, held: HeldRequest) -> list[EntryAction]:
    """Displace waiting requests of lower tiers, the lowest and youngest first."""
    lower = [
        other
        for other in book.of_service(held.request.service)
        if other.state is RequestState.WAITING and other.request.tier > held.request.tier
    ]
    freeable_bytes = sum(len(other.request.body) for other in lower)
    if _is_over_bound(book, held, freeable_bytes):
        return []
    lower.sort(key=lambda other: (other.request.tier, other.accepted_s))
    actions: list[EntryAction] = []
    while lower and _is_over_bound(book, held):
        actions += refuse(book, lower.pop(), RefusalReason.DISPLACED)
    return actions


def _is_over_bound(book: RequestBook, held: HeldRequest, freeable_bytes: int = 0) -> bool:
    needed_bytes = book.held_body_bytes - freeable_bytes + len(held.request.body)
    return needed_bytes > book.settings.entry.max_held_body_bytes
