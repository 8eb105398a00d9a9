"""Granted requests, from the grant to the end of the request."""

import heapq
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from ..ids import InstanceId, RequestId, UpstreamId
from .tickets import Ticket

MAX_RUN_PAST_DEADLINE_S = 65.0
"""Time past its deadline after which a request without a reported end has ended.

An entry ends each request earlier, within its ``KEYED_ANSWER_GRACE_S`` of the deadline, so the
report of the end was lost.
"""


class PlacementState(Enum):
    """Progress of a granted request."""

    GRANTED = "granted"
    UNCONFIRMED = "unconfirmed"
    """The grant expired, but its entry may have dispatched the request just before."""
    DISPATCHED = "dispatched"


@dataclass(slots=True)
class Placement:
    """One granted request and the capacity that it occupies on its upstream."""

    ticket: Ticket
    upstream: UpstreamId
    state: PlacementState
    granted_s: float
    expires_s: float
    prompt_tokens: int
    """Prompt tokens that count as outstanding; 0 after the first token."""
    uncached_tokens: int = 0
    expected_first_token_s: float = 0.0
    """Time from dispatch to first token, as expected when the grant was made."""
    dispatched_s: float = 0.0
    first_token_s: float | None = None
    output_tokens: int = 0
    progress_s: float = 0.0
    """Time of the last report of ``output_tokens``."""


Key = TypeVar("Key", InstanceId, UpstreamId)


def _discard_from_index(index: dict[Key, set[RequestId]], key: Key, request_id: RequestId) -> None:
    index[key].discard(request_id)
    if not index[key]:
        del index[key]


class PlacementRegistry:
    """Placements indexed by request, entry and upstream, with the expiry of grants."""

    def __init__(self) -> None:
        self._by_id: dict[RequestId, Placement] = {}
        self._by_entry: dict[InstanceId, set[RequestId]] = {}
        self._by_upstream: dict[UpstreamId, set[RequestId]] = {}
        self._expiry: list[tuple[float, RequestId]] = []
        self._overdue: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, request_id: RequestId) -> Placement | None:
        """Return the placement of a request, or ``None``."""
        return self._by_id.get(request_id)

    def add(self, placement: Placement) -> None:
        """Add a placement."""
        request_id = placement.ticket.request_id
        self._by_id[request_id] = placement
        self._by_entry.setdefault(placement.ticket.entry, set()).add(request_id)
        self._by_upstream.setdefault(placement.upstream, set()).add(request_id)
        if placement.state is PlacementState.GRANTED:
            heapq.heappush(self._expiry, (placement.expires_s, request_id))
        overdue_s = placement.ticket.deadline_s + MAX_RUN_PAST_DEADLINE_S
        heapq.heappush(self._overdue, (overdue_s, request_id))

    def remove(self, request_id: RequestId) -> Placement | None:
        """Remove and return a placement, or return ``None`` if there is none."""
        placement = self._by_id.pop(request_id, None)
        if placement is None:
            return None
        _discard_from_index(self._by_entry, placement.ticket.entry, request_id)
        _discard_from_index(self._by_upstream, placement.upstream, request_id)
        return placement

    def of_entry(self, entry: InstanceId) -> list[Placement]:
        """Return the placements of an entry's requests."""
        return [self._by_id[request_id] for request_id in self._by_entry.get(entry, ())]

    def of_upstream(self, upstream: UpstreamId) -> list[Placement]:
        """Return the placements on an upstream."""
        return [self._by_id[request_id] for request_id in self._by_upstream.get(upstream, ())]

    def expire(self, now_s: float) -> list[Placement]:
        """Mark grants past their expiry as unconfirmed and return them."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now_s:
            expires_s, request_id = heapq.heappop(self._expiry)
            placement = self._by_id.get(request_id)
            if placement is not None and self._is_pending(placement, expires_s):
                placement.state = PlacementState.UNCONFIRMED
                expired.append(placement)
        return expired

    def pop_overdue(self, now_s: float) -> list[RequestId]:
        """Return the requests that must have ended, given the time since their deadline."""
        overdue = []
        while self._overdue and self._overdue[0][0] <= now_s:
            request_id = heapq.heappop(self._overdue)[1]
            if request_id in self._by_id:
                overdue.append(request_id)
        return overdue

    def next_overdue_s(self) -> float:
        """Return when the next placement becomes overdue; infinity for never."""
        while self._overdue and self._overdue[0][1] not in self._by_id:
            heapq.heappop(self._overdue)
        return self._overdue[0][0] if self._overdue else float("inf")

    def next_expiry_s(self) -> float:
        """Return when the next grant expires; infinity for never."""
        while self._expiry:
            expires_s, request_id = self._expiry[0]
            placement = self._by_id.get(request_id)
            if placement is not None and self._is_pending(placement, expires_s):
                return expires_s
            heapq.heappop(self._expiry)
        return float("inf")

    @staticmethod
    def _is_pending(placement: Placement, expires_s: float) -> bool:
        return placement.state is PlacementState.GRANTED and placement.expires_s == expires_s
