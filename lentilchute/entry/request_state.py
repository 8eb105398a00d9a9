"""The state of one accepted request at its entry."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import Attempt, InstanceId, RequestId, ShardId, UpstreamId, shard_id
from ..scheduler.tickets import Grant, InFlight, Outcome, Ticket
from ..upstream.adapters import UpstreamFault
from .actions import AcceptedRequest


class RequestState(Enum):
    """The stage of a request; it may be dispatched only from ``SENDING`` on."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    SENDING = "sending"
    STREAMING = "streaming"
    RESUMING = "resuming"
    ENDED = "ended"


class ClaimStatus(Enum):
    """Whether this request has claimed its idempotency key."""

    NONE = "none"
    REQUESTED = "asked"
    HELD = "held"


@dataclass(slots=True)
class ActiveRequest:
    """A request from acceptance to its end."""

    request_id: RequestId
    request: AcceptedRequest
    accepted_s: float
    ticket: Ticket
    state: RequestState = RequestState.WAITING
    grant: Grant | None = None
    granted_by: InstanceId | None = None
    claim: ClaimStatus = ClaimStatus.NONE
    dispatched_s: float | None = None
    """When ``may_send`` returned true: from then on an upstream may have run the request."""
    head_status: int | None = None
    head_headers: tuple[tuple[str, str], ...] = ()
    last_event: int = 0
    """Id of the last event relayed; event ids start at 1."""
    parts_without_event: int = 0
    output_tokens: int = 0
    first_part_s: float | None = None
    last_progress_s: float | None = None
    resumes: int = 0
    resume_at_s: float | None = None
    first_fault: UpstreamFault | None = None
    caller_connected: bool = True
    kept_parts: list[bytes] = field(default_factory=list)
    kept_bytes: int = 0

    @property
    def attempt(self) -> Attempt:
        """The attempt that a grant must name."""
        return self.ticket.attempt

    @property
    def shard(self) -> ShardId:
        """The shard that schedules this request."""
        return shard_id(self.request.service)

    @property
    def upstream(self) -> UpstreamId | None:
        """The upstream of the grant in use."""
        return self.grant.upstream if self.grant else None

    @property
    def is_dispatched(self) -> bool:
        """Whether a byte may have reached an upstream."""
        return self.dispatched_s is not None

    @property
    def outcome(self) -> Outcome:
        """The outcome to report if the request ends now without an answer."""
        return Outcome.MAY_HAVE_RUN if self.is_dispatched else Outcome.NOT_RUN

    @property
    def keeps_answer(self) -> bool:
        """Whether the answer is to be stored for a resend and is still small enough."""
        return self.claim is ClaimStatus.HELD and self.kept_bytes <= self.request.kept_answer_bytes

    def in_flight(self, now_s: float) -> InFlight | None:
        """Return the request as reported in a refresh, sent or not; ``None`` without a grant."""
        if self.grant is None:
            return None
        dispatched_s = self.dispatched_s if self.dispatched_s is not None else now_s
        return InFlight(self.ticket, self.grant.upstream, dispatched_s, self.output_tokens)
