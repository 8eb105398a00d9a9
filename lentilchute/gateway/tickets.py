"""Tickets of requests that need an upstream, and the decisions about them."""

from dataclasses import field
from enum import Enum
from typing import NamedTuple

from ..ids import (
    AvailabilityZone,
    ClientAccountId,
    IncarnationId,
    ServiceName,
    SoftwareVersion,
    Tier,
    UpstreamId,
)
from ..platform.headers import PromptPart
from ..util.lean_dataclasses import dataclass
from .fleet import UpstreamListing

MAX_TICKET_PARTS = 16
"""Parts beyond these of a prompt take no part in the choice of an upstream."""


class TicketKey(NamedTuple):
    """Identifies a request across all nodes."""

    node: IncarnationId
    number: int


@dataclass(slots=True)
class Ticket:
    """The dispatcher's view of one request, without its body."""

    key: TicketKey
    zone: AvailabilityZone
    """Availability zone of the request's node."""
    service: ServiceName
    tier: Tier
    prompt_tokens: int
    expected_events: float
    """Events of the complete stream, by the caller's estimate; 0 for a plain request."""
    max_events: float
    arrived_s: float
    objective_s: float
    deadline_s: float
    may_repeat: bool
    account: ClientAccountId | None = None
    cost: float = 0.0
    """Amount that the request uses of its account's quota."""
    queued_s: float = 0.0
    """When the ticket was queued; later than its arrival for a repeat."""
    is_repeat: bool = False
    """Whether the request was sent to an upstream before; a repeat uses the retry budget."""
    excluded: set[UpstreamId] = field(default_factory=set)
    """Upstreams that the request was sent to before."""
    subject: str = ""
    """What the request is about, as far as other requests are about the same; may be empty."""
    size: float = 0.0
    """Size of the request, comparable within its route."""
    caller: str = ""
    """The same for every attempt of a caller with one request; empty if unknown."""
    version: SoftwareVersion | None = None
    """The software version that began the stream, at which alone it may go on; ``None`` before its
    first event."""
    route: str | None = None
    """Name of the request's route."""
    max_pause_s: float | None = None
    """Longest pause between two events of a stream that still counts as on time."""
    prompt_parts: tuple[PromptPart, ...] = ()
    """The first parts of the prompt, in order."""

    @property
    def goes_on(self) -> bool:
        """Whether the request continues a stream of which its caller has a part."""
        return self.version is not None

    def allows(self, listing: UpstreamListing) -> bool:
        """Return whether the request may be sent to an upstream."""
        if listing.upstream in self.excluded:
            return False
        return self.version is None or listing.version == self.version


class RefusalReason(Enum):
    """Reason for the refusal of a ticket."""

    NO_UPSTREAM = "no-upstream"
    """No upstream of the service takes new work."""
    OVERLOADED = "overloaded"
    """No upstream had a free slot in time."""
    DEADLINE = "deadline"
    PAUSED = "paused"
    """Every upstream of the service has asked for a pause."""
    OVER_QUOTA = "over-quota"
    NO_BUDGET = "no-retry-budget"


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstream selected for a ticket, and the figures behind the selection."""

    listing: UpstreamListing
    expected_s: float
    """Time to the first event, or to the complete answer of a plain service."""
    gap_s: float
    """Time between two events of a stream."""
    miss_probability: float
    """Probability that the stream will not have ended by the ticket's deadline."""
    work_tokens: int
    running: int
    pace_ms: float
    failure_rate: float
    held_tokens: int = 0
    """Tokens of the prompt that the upstream is expected to hold in memory."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The ticket will not be placed."""

    reason: RefusalReason
    retry_after_s: float


Decision = Placement | Refused
