"""Messages between entries and schedulers, one frozen dataclass each.

All messages are one-way. A link may drop messages when it breaks: a refresh or a repeated query
recovers from the loss. Field names are those of ``peers/peer.thrift``.
"""

from dataclasses import dataclass

from ..ids import Attempt, InstanceId, RequestId, ServiceName, UpstreamId
from ..peers.codec import peer_message
from .suspects import PoisonVerdict
from .tickets import EndState, Grant, InFlight, Refusal, Ticket


@peer_message("grant")
@dataclass(frozen=True, slots=True)
class GrantNotice:
    """A scheduler's grant, sent to the entry named in it."""

    service: ServiceName
    grant: Grant


@peer_message("refusal")
@dataclass(frozen=True, slots=True)
class RefusalNotice:
    """A scheduler's refusal, sent to the entry named in it."""

    service: ServiceName
    refusal: Refusal


@peer_message("scheduler_ack")
@dataclass(frozen=True, slots=True)
class SchedulerAck:
    """A scheduler acknowledges what the receiver sent it for a service."""

    service: ServiceName


@peer_message("submit")
@dataclass(frozen=True, slots=True)
class Submit:
    """A ticket that an entry submits to the scheduler of the ticket's service."""

    ticket: Ticket


@peer_message("withdraw")
@dataclass(frozen=True, slots=True)
class Withdraw:
    """The entry no longer wants a grant for this request."""

    service: ServiceName
    request_id: RequestId


@peer_message("dispatched")
@dataclass(frozen=True, slots=True)
class Dispatched:
    """The first byte of the request was sent to the granted upstream."""

    service: ServiceName
    request_id: RequestId
    attempt: Attempt
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class ProgressLine:
    """Number of output tokens of one streamed request so far."""

    request_id: RequestId
    output_tokens: int


@peer_message("progress")
@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of several streamed requests of one service."""

    service: ServiceName
    lines: tuple[ProgressLine, ...]


@peer_message("ended")
@dataclass(frozen=True, slots=True)
class Ended:
    """A dispatched request ended at its upstream."""

    service: ServiceName
    request_id: RequestId
    end: EndState
    cached_prompt_tokens: int


@peer_message("declined")
@dataclass(frozen=True, slots=True)
class Declined:
    """The entry has not used this grant and will not use it."""

    service: ServiceName
    request_id: RequestId
    attempt: Attempt


@peer_message("refresh")
@dataclass(frozen=True, slots=True)
class Refresh:
    """All waiting and in-flight requests of an entry for one service."""

    service: ServiceName
    entry: InstanceId
    waiting: tuple[Ticket, ...]
    in_flight: tuple[InFlight, ...]


@peer_message("refresh_request")
@dataclass(frozen=True, slots=True)
class RefreshRequest:
    """A scheduler that has just taken over a service requests a refresh from an entry."""

    service: ServiceName


@peer_message("poison_notice")
@dataclass(frozen=True, slots=True)
class PoisonNotice:
    """A scheduler's verdicts on contents that were in flight at a crash."""

    service: ServiceName
    verdicts: tuple[PoisonVerdict, ...]
