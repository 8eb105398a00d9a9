"""Admission of new requests within the entry's memory limit for request bodies."""

from ..scheduler.tickets import Outcome, RefusalReason
from .actions import EntryAction, SendRefusal
from .request_endings import refuse
from .request_registry import RequestRegistry
from .request_state import ActiveRequest, RequestState


def admit(registry: RequestRegistry, active: ActiveRequest, now_s: float) -> list[EntryAction]:
    """Register a new request or refuse it; waiting requests of lower tiers are displaced first."""
    request = active.request
    if not request.idempotent and request.idempotency_key is None:
        return refuse_new(registry, active, RefusalReason.KEY_REQUIRED)
    if now_s >= request.deadline_s:
        return refuse_new(registry, active, RefusalReason.EXPIRED)
    actions = _make_room(registry, active)
    if _exceeds_body_limit(registry, active):
        return actions + refuse_new(registry, active, RefusalReason.OVERLOADED)
    registry.add(active)
    return actions


def refuse_new(
    registry: RequestRegistry, active: ActiveRequest, reason: RefusalReason
) -> list[EntryAction]:
    """Refuse a request that was not registered."""
    delay_s = registry.retry_after_s()
    return [SendRefusal(active.request_id, reason, Outcome.NOT_RUN, delay_s)]


def _make_room(registry: RequestRegistry, active: ActiveRequest) -> list[EntryAction]:
    """Displace waiting requests of lower tiers, the lowest tier and newest first.

    Nothing is displaced if that cannot make enough room.
    """
    candidates = [
        candidate
        for candidate in registry.of_service(active.request.service)
        if candidate.state is RequestState.WAITING and candidate.request.tier > active.request.tier
    ]
    freeable_bytes = sum(len(candidate.request.body) for candidate in candidates)
    if _exceeds_body_limit(registry, active, freeable_bytes):
        return []
    candidates.sort(key=lambda candidate: (candidate.request.tier, candidate.accepted_s))
    actions: list[EntryAction] = []
    while candidates and _exceeds_body_limit(registry, active):
        actions += refuse(registry, candidates.pop(), RefusalReason.DISPLACED)
    return actions


def _exceeds_body_limit(
    registry: RequestRegistry, active: ActiveRequest, freeable_bytes: int = 0
) -> bool:
    needed_bytes = registry.held_body_bytes - freeable_bytes + len(active.request.body)
    return needed_bytes > registry.settings.entry.max_held_body_bytes
