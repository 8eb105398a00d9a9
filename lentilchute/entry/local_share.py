"""Grants that an entry gives itself while no scheduler answers.

Each entry uses only a small part of every upstream's streams, so that all entries together stay
within what the upstreams can take. Higher tiers go first within this entry.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import UpstreamId
from ..scheduler.tickets import Grant
from .request_state import ActiveRequest, RequestState


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """An upstream and the number of this entry's streams that it may carry."""

    upstream: UpstreamId
    max_streams: int


def local_grants(
    active: Iterable[ActiveRequest],
    upstreams: Iterable[LocalUpstream],
    leaving: frozenset[UpstreamId],
    expires_s: float,
) -> list[Grant]:
    """Return grants for the waiting requests that the local share has room for."""
    active = list(active)
    running: Counter[UpstreamId | None] = Counter(request.upstream for request in active)
    usable = [candidate for candidate in upstreams if candidate.upstream not in leaving]
    waiting = [request for request in active if request.state is RequestState.WAITING]
    grants = []
    for request in sorted(waiting, key=lambda waiter: (waiter.request.tier, waiter.accepted_s)):
        upstream = _least_loaded(usable, running, request)
        if upstream is None:
            continue
        running[upstream] += 1
        grants.append(_local_grant(request, upstream, expires_s))
    return grants


def _least_loaded(
    usable: list[LocalUpstream], running: Counter[UpstreamId | None], request: ActiveRequest
) -> UpstreamId | None:
    free = [
        candidate
        for candidate in usable
        if running[candidate.upstream] < candidate.max_streams
        and candidate.upstream not in request.ticket.excluded
    ]
    if not free:
        return None
    return min(
        free, key=lambda candidate: running[candidate.upstream] / candidate.max_streams
    ).upstream


def _local_grant(request: ActiveRequest, upstream: UpstreamId, expires_s: float) -> Grant:
    return Grant(
        request_id=request.request_id,
        attempt=request.attempt,
        entry=request.ticket.entry,
        upstream=upstream,
        expires_s=expires_s,
        reason="no scheduler answers; within this entry's local share",
    )
