"""The messages that nodes send each other, one frozen dataclass each.

All are one-way. A lost message is made good by a refresh, a poll or a repeated query, so a link
may drop messages when it breaks. Field names are those of ``peer.thrift``.
"""

from dataclasses import dataclass
from enum import Enum

from ..ids import Attempt, DocumentVersion, InstanceId, RequestId, ServiceName, UpstreamId
from ..scheduler.suspects import PoisonVerdict
from ..scheduler.tickets import EndState, Grant, InFlight, Refusal, Ticket
from ..state.claim_actions import ClaimQuery, ClaimReplyState
from .codec import peer_message
from .heartbeats import Heartbeat

peer_message("heartbeat")(Heartbeat)


@peer_message("grant")
@dataclass(frozen=True, slots=True)
class GrantNotice:
    """A scheduler's grant for the entry that it names."""

    service: ServiceName
    grant: Grant


@peer_message("refusal")
@dataclass(frozen=True, slots=True)
class RefusalNotice:
    """A scheduler's refusal for the entry that it names."""

    service: ServiceName
    refusal: Refusal


@peer_message("scheduler_ack")
@dataclass(frozen=True, slots=True)
class SchedulerAck:
    """A scheduler has taken in what the receiver sent it for a service."""

    service: ServiceName


@peer_message("submit")
@dataclass(frozen=True, slots=True)
class Submit:
    """An entry's ticket for the scheduler of its service."""

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
    """The first byte of the request went to the granted upstream."""

    service: ServiceName
    request_id: RequestId
    attempt: Attempt
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class ProgressLine:
    """Output tokens so far of one streamed request."""

    request_id: RequestId
    output_tokens: int


@peer_message("progress")
@dataclass(frozen=True, slots=True)
class Progress:
    """Output tokens so far of several streamed requests of one service."""

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
    """The entry did not and will not use this grant."""

    service: ServiceName
    request_id: RequestId
    attempt: Attempt


@peer_message("refresh")
@dataclass(frozen=True, slots=True)
class Refresh:
    """All that an entry has waiting and in flight for one service."""

    service: ServiceName
    entry: InstanceId
    waiting: tuple[Ticket, ...]
    in_flight: tuple[InFlight, ...]


@peer_message("refresh_request")
@dataclass(frozen=True, slots=True)
class RefreshRequest:
    """A scheduler that has just taken over a service asks an entry for a refresh."""

    service: ServiceName


@peer_message("config_notice")
@dataclass(frozen=True, slots=True)
class ConfigNotice:
    """A version of a service document that is in force at the sender."""

    service: ServiceName
    version: DocumentVersion
    text: str


@dataclass(frozen=True, slots=True)
class ServiceVersion:
    """A service and the version of its document in force."""

    service: ServiceName
    version: DocumentVersion


@peer_message("config_versions")
@dataclass(frozen=True, slots=True)
class ConfigVersions:
    """The versions in force at the sender, sent when two nodes' digests differ."""

    versions: tuple[ServiceVersion, ...]


@peer_message("poison_notice")
@dataclass(frozen=True, slots=True)
class PoisonNotice:
    """What a scheduler has found about contents that were in flight at a crash."""

    service: ServiceName
    verdicts: tuple[PoisonVerdict, ...]


class UpstreamAvailability(Enum):
    """What a node learned about an upstream."""

    LIVE = "live"
    LEAVING = "leaving"
    """The upstream itself says that it is leaving."""
    DRAINED = "drained"
    """An operator took it out."""
    UNDRAINED = "undrained"


@peer_message("upstream_notice")
@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """News of an upstream, from the upstream itself or an operator."""

    upstream: UpstreamId
    news: UpstreamAvailability


@peer_message("claim_question")
@dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """A node that met another's claim asks the claimant about it."""

    query_id: int
    query: ClaimQuery


@peer_message("claim_reply")
@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The claimant's answer."""

    query_id: int
    state: ClaimReplyState
