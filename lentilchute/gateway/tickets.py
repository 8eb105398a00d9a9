"""A request that waits for an upstream, and the decisions about it."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..ids import AvailabilityZone, ClientAccountId, IncarnationId, ServiceName, Tier, UpstreamId
from .fleet import UpstreamListing


class TicketKey(NamedTuple):
    """Names a request of any node."""

    node: IncarnationId
    number: int


@dataclass(slots=True)
class Ticket:
    """What the dispatcher knows about one request; never its body."""

    key: TicketKey
    zone: AvailabilityZone
    """Where the request's node is."""
    service: ServiceName
    tier: Tier
    prompt_tokens: int
    expected_events: float
    """Events of the whole stream, by the caller's estimate; 0 for a plain request."""
    max_events: float
    arrived_s: float
    objective_s: float
    deadline_s: float
    may_repeat: bool
    account: ClientAccountId | None = None
    cost: float = 0.0
    """What the request uses of its account's quota."""
    queued_s: float = 0.0
    """When it began to wait for a place; later than its arrival where it is sent once more."""
    is_repeat: bool = False
    """An upstream has had the request already, so that sending it again uses the retry budget."""
    excluded: set[UpstreamId] = field(default_factory=set)
    """Upstreams that have had the request already."""


class RefusalReason(Enum):
    """Why a ticket was given up."""

    NO_UPSTREAM = "no-upstream"
    """No upstream of the service is known to take work."""
    OVERLOADED = "overloaded"
    """No upstream had room in time."""
    DEADLINE = "deadline"
    OVER_QUOTA = "over-quota"
    NO_BUDGET = "no-retry-budget"


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream for a ticket, with what decided it."""

    listing: UpstreamListing
    expected_s: float
    """To the first event, or to the whole answer of a plain service."""
    gap_s: float
    """Between two events of a stream."""
    miss_probability: float
    """That the stream will not have ended by the ticket's deadline."""
    work_tokens: int
    running: int
    pace_ms: float
    failure_rate: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The ticket will not be placed."""

    reason: RefusalReason
    retry_after_s: float


Decision = Placement | Refused
