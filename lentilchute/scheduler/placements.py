"""Requests that a scheduler has granted, from the grant to the end."""

import heapq
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from ..ids import InstanceId, RequestId, UpstreamId
from .tickets import Ticket

LONGEST_RUN_PAST_DEADLINE_S = 65.0
"""An entry ends each request by this long after its deadline; later its report was lost."""


class PlacementState(Enum):
    """How far a granted request has come."""

    GRANTED = "granted"
    UNCONFIRMED = "unconfirmed"
    """The grant expired; its entry may have dispatched at the last moment."""
    DISPATCHED = "dispatched"


@dataclass(slots=True)
class Placement:
    """One granted request and the room it holds on its upstream."""

    ticket: Ticket
    upstream: UpstreamId
    state: PlacementState
    granted_s: float
    expires_s: float
    prompt_tokens: int
    """Prompt tokens that count as outstanding; 0 after the first token."""
    uncached_tokens: int = 0
    expected_first_token_s: float = 0.0
    """Time from dispatch to first token expected at the grant."""
    dispatched_s: float = 0.0
    first_token_s: float | None = None
    output_tokens: int = 0
    progress_s: float = 0.0
    """When ``output_tokens`` was reported."""


Key = TypeVar("Key", InstanceId, UpstreamId)


def _drop(index: dict[Key, set[RequestId]], key: Key, request_id: RequestId) -> None:
    index[key].discard(request_id)
    if not index[key]:
        del index[key]


class PlacementRegistry:
    """Placements by request, by entry and by upstream, and the expiry of grants."""

    def __init__(self) -> None:
        self._by_id: dict[RequestId, Placement] = {}
        self._by_entry: dict[InstanceId, set[RequestId]] = {}
        self._by_upstream: dict[UpstreamId, set[RequestId]] = {}
        self._expiry: list[tuple[float, RequestId]] = []
        self._over: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, request_id: RequestId) -> Placement | None:
        """Return a placement, or ``None``."""
        return self._by_id.get(request_id)

    def add(self, placement: Placement) -> None:
        """Enter a placement."""
        request_id = placement.ticket.request_id
        self._by_id[request_id] = placement
        self._by_entry.setdefault(placement.ticket.entry, set()).add(request_id)
        self._by_upstream.setdefault(placement.upstream, set()).add(request_id)
        if placement.state is PlacementState.GRANTED:
            heapq.heappush(self._expiry, (placement.expires_s, request_id))
        over_s = placement.ticket.deadline_s + LONGEST_RUN_PAST_DEADLINE_S
        heapq.heappush(self._over, (over_s, request_id))

    def remove(self, request_id: RequestId) -> Placement | None:
        """Take a placement out; ``None`` when there is none."""
        placement = self._by_id.pop(request_id, None)
        if placement is None:
            return None
        _drop(self._by_entry, placement.ticket.entry, request_id)
        _drop(self._by_upstream, placement.upstream, request_id)
        return placement

    def of_entry(self, entry: InstanceId) -> list[Placement]:
        """Return an entry's placements."""
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

    def take_over(self, now_s: float) -> list[RequestId]:
        """Return the requests that are certainly over, since their deadline is long past."""
        over = []
        while self._over and self._over[0][0] <= now_s:
            request_id = heapq.heappop(self._over)[1]
            if request_id in self._by_id:
                over.append(request_id)
        return over

    def next_over_s(self) -> float:
        """Return when ``take_over`` has work; infinity for never."""
        while self._over and self._over[0][1] not in self._by_id:
            heapq.heappop(self._over)
        return self._over[0][0] if self._over else float("inf")

    def next_expiry_s(self) -> float:
        """Return when ``expire`` has work; infinity for never."""
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
