"""Grants that an entry issues locally while no scheduler responds.

Each entry uses only a small share of every upstream's streams, but at least one stream, so that all
entries together stay within the upstreams' capacity unless there are more entries than streams.
Within this entry higher tiers go first.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import UpstreamId
from ..scheduler.tickets import Grant
from .request_state import ActiveRequest, RequestState


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """An upstream and the maximum number of streams that this entry may run on it."""

    upstream: UpstreamId
    max_streams: int


def local_grants(
    active: Iterable[ActiveRequest],
    upstreams: Iterable[LocalUpstream],
    leaving: frozenset[UpstreamId],
    expires_s: float,
) -> list[Grant]:
    """Return grants for the waiting requests that fit into the local share."""
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
        reason="no scheduler responds; granted from this entry's local share",
    )
