"""Messages between gateway nodes.

A node asks the coordinator to place its requests and reports their progress. Reports and refreshes
may be lost: each refresh lists all requests in flight, so it corrects the coordinator's count.
"""

from enum import Enum

from ..ids import (
    AvailabilityZone,
    ClientAccountId,
    Fingerprint,
    IncarnationId,
    PromptPartId,
    ServiceName,
    SoftwareVersion,
    StreamId,
    UpstreamId,
)
from ..peers.codec import peer_message
from ..platform.headers import PromptPart
from ..util.lean_dataclasses import dataclass

NOT_MEASURED = -1.0
"""Placeholder for a figure that a report does not contain."""


@peer_message("place_request")
@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs an upstream; times are durations."""

    node: IncarnationId
    zone: AvailabilityZone
    number: int
    service: ServiceName
    tier: int
    prompt_tokens: int
    expected_events: float
    max_events: float
    waited_s: float
    objective_s: float
    time_left_s: float
    may_repeat: bool
    is_repeat: bool
    excluded: tuple[UpstreamId, ...]
    account: ClientAccountId
    """Empty for a request without an account."""
    cost: float
    version: SoftwareVersion | None = None
    """The software version that the upstream must have, if any."""
    route: str | None = None
    """Name of the request's route; ``None`` from a node of an earlier version."""
    subject: str | None = None
    size: float | None = None
    caller: str | None = None
    max_pause_s: float | None = None
    """Longest pause between two events of a stream that still counts as on time, if there is
    one."""
    prompt_parts: tuple[PromptPart, ...] = ()
    """The first parts of the prompt, in order."""


class ReplyState(Enum):
    """State of a ticket in a placement reply."""

    WAITING = "waiting"
    """The ticket is queued; another reply follows."""
    PLACED = "placed"
    REFUSED = "refused"
    DECLINED = "declined"
    """The node is not the coordinator, or is not ready yet."""


@peer_message("place_reply")
@dataclass(frozen=True, slots=True)
class PlacementReply:
    """The coordinator's decision about a ticket; without a placement, its fields are empty."""

    number: int
    state: ReplyState
    upstream: UpstreamId
    started_ms: int
    expected_s: float
    gap_s: float
    miss_probability: float
    work_tokens: int
    running: int
    pace_ms: float
    failure_rate: float
    reason: str
    retry_after_s: float
    held_tokens: int | None = None
    """Tokens of the prompt that the upstream is expected to hold in memory."""


@dataclass(frozen=True, slots=True)
class Report:
    """Progress of a request at an upstream."""

    number: int
    service: ServiceName
    upstream: UpstreamId
    first_event_s: float = NOT_MEASURED
    """Time from sending to the first event, or to the complete answer of a plain service."""
    gap_ms: float = NOT_MEASURED
    """Mean time between the events of a complete stream."""
    failure: float = NOT_MEASURED
    """0 for success, 1 for a failure, a value between for a late success."""
    ended: bool = False
    unreachable: bool = False
    """Connecting to the upstream failed."""
    pause_s: float = NOT_MEASURED
    """Time for which the upstream asked for no requests."""
    limit_per_s: float | None = None
    """Requests a second that the upstream takes, infinite if it lifted its limit; ``None`` if it
    said nothing new."""
    is_brittle: bool | None = None
    """The upstream said that it falls over when it has to turn requests away."""
    is_excused: bool | None = None
    """Whether a failure says nothing about the upstream's software."""
    stated_running: int | None = None
    """Requests that run at the upstream, as it said itself."""
    stated_waiting: int | None = None
    slowdown: float | None = None
    """How long work takes at the upstream, relative to what is usual there."""
    pause_ms: float | None = None
    """Longest pause between two events of a complete stream."""
    is_rejected: bool | None = None
    """The upstream turned the request away without executing it."""
    is_handed_over: bool | None = None
    """The coordinator placed the request and is not told of its end; the deputy has its place."""


@peer_message("ticket_withdrawal")
@dataclass(frozen=True, slots=True)
class TicketWithdrawal:
    """A node no longer waits for the decision about a ticket."""

    node: IncarnationId
    number: int
    service: ServiceName


@peer_message("load_reports")
@dataclass(frozen=True, slots=True)
class LoadReports:
    """Reports of one node since its last message."""

    node: IncarnationId
    items: tuple[Report, ...]
    placed: tuple["RunningTicket", ...] = ()
    """Requests that the deputy has placed since the last message."""


@dataclass(frozen=True, slots=True)
class RunningTicket:
    """One request of a node in flight at an upstream."""

    number: int
    service: ServiceName
    upstream: UpstreamId
    prompt_tokens: int
    work_tokens: int
    age_s: float
    has_first_event: bool
    is_own_choice: bool | None = None
    """Whether the node placed it without the coordinator, at a place of its own."""


@dataclass(frozen=True, slots=True)
class AccountHistory:
    """Usage of an account's quota in the last window."""

    account: ClientAccountId
    parts: tuple[float, ...]
    """Sums over the parts of the window, oldest first."""


@dataclass(frozen=True, slots=True)
class LimitedUpstream:
    """An incarnation of an upstream that names a limit."""

    service: ServiceName
    upstream: UpstreamId
    started_ms: int
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class BlockedPart:
    """A part of prompts that crashes upstreams."""

    part: PromptPartId
    age_s: float
    """Time since its last crash."""


@dataclass(frozen=True, slots=True)
class ReturnPromise:
    """What a caller was told that was refused for want of room."""

    service: ServiceName
    caller: str
    due_in_s: float
    first_age_s: float
    """Time since the caller's first attempt."""


@peer_message("load_refresh")
@dataclass(frozen=True, slots=True)
class LoadRefresh:
    """All requests of one node in flight, and its usage of quotas."""

    node: IncarnationId
    running: tuple[RunningTicket, ...]
    accounts: tuple[AccountHistory, ...]
    """Usage that the receiver has not counted itself."""
    told: tuple[AccountHistory, ...]
    """What an earlier coordinator had counted for all nodes; empty once the receiver has sent its
    own digest."""
    told_age_s: float
    blocked_parts: tuple[BlockedPart, ...]
    limited: tuple[LimitedUpstream, ...]
    promised: tuple[ReturnPromise, ...] = ()
    """To callers of this node, as far as the receiver does not know of them."""
    is_partial: bool | None = None
    """Whether this lists only the requests that the receiver placed as the coordinator's deputy."""


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """All nodes' requests at an upstream, and its estimated performance."""

    upstream: UpstreamId
    running: int
    backlog_tokens: int
    """Prompt tokens of the requests that have not received their first event."""
    pace_ms: float
    pace_weight: float
    gap_ms: float
    gap_weight: float
    failures: float
    results: float
    limit_per_s: float | None = None
    """Requests a second that the upstream takes, if it names a limit."""
    slowdown: float | None = None
    """How long work took there when it said so last, relative to what is usual there."""
    slowdown_age_s: float | None = None
    pause_ms: float | None = None
    """Longest pause between two events of a stream, on average."""
    pause_weight: float | None = None
    granted: int | None = None
    """Those of ``running`` that a coordinator placed; ``None`` if the sender does not tell them
    apart."""


@peer_message("fleet_digest")
@dataclass(frozen=True, slots=True)
class FleetDigest:
    """The coordinator's state, for nodes that lose contact with it or take over from it."""

    upstreams: tuple[UpstreamLoad, ...]
    accounts: tuple[AccountHistory, ...]
    blocked_parts: tuple[BlockedPart, ...]


@dataclass(frozen=True, slots=True)
class ChangedRow:
    """A row of the store as a peer read it."""

    key: str
    version: int
    value: bytes
    removed: bool


@peer_message("table_news")
@dataclass(frozen=True, slots=True)
class TableChanges:
    """Changes of a store table between two versions, as one node read them."""

    table_name: str
    base: int
    version: int
    age_s: float
    """Time since the sender requested the changes."""
    rows: tuple[ChangedRow, ...]
    is_partial: bool
    """Rows were left out because of their size; the receiver reads them itself."""
    after_outage: bool
    era: int
    """The store's era that the versions belong to."""


@peer_message("config_relay")
@dataclass(frozen=True, slots=True)
class ConfigRelay:
    """The configuration in force at the sender, for a peer that serves an older one."""

    value: bytes
    """The value of its row in the store."""


@dataclass(frozen=True, slots=True)
class LeavingUpstream:
    """An incarnation of an upstream that said that it is leaving."""

    upstream: UpstreamId
    started_ms: int


@peer_message("leaving_notice")
@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Upstreams that take no new work whatever their rows in the store say."""

    leaving: tuple[LeavingUpstream, ...]
    """Upstreams that announced their leaving in an answer."""
    departed: tuple[LeavingUpstream, ...]
    """Upstreams that had left before the store came back from an older copy, a moment ago."""


@dataclass(frozen=True, slots=True)
class CrashedPrompt:
    """A request whose answer had not begun when its upstream crashed."""

    request: Fingerprint
    parts: tuple[PromptPartId, ...]
    """The parts of its prompt that other requests may have as well."""


@peer_message("crash_notice")
@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Requests that one node had in flight when an incarnation of an upstream crashed."""

    upstream: UpstreamId
    contents: tuple[Fingerprint, ...]
    """Fingerprints of all of them."""
    started_ms: int | None
    prompts: tuple[CrashedPrompt, ...]
    """Those whose answers had not begun."""
    begun: tuple[Fingerprint, ...] = ()
    """Those whose first events had come; earlier builds don't tell."""
    age_s: float | None = None
    """Time since the crash, if it is told again to a node that may have missed it."""


@dataclass(frozen=True, slots=True)
class StreamGroup:
    """Streams that began at one software version of a service."""

    service: ServiceName
    version: SoftwareVersion
    streams: tuple[StreamId, ...]


@dataclass(frozen=True, slots=True)
class VersionSighting:
    """A software version of a service that its upstreams had until a moment ago."""

    service: ServiceName
    version: SoftwareVersion
    age_s: float
    """Time since its last upstream was listed."""


@peer_message("stream_question")
@dataclass(frozen=True, slots=True)
class StreamQuestion:
    """A caller takes a stream up at a node that does not know where it began; peers reply with a
    notice."""

    stream: StreamId


@peer_message("missed_notices_question")
@dataclass(frozen=True, slots=True)
class MissedNoticesQuestion:
    """Asks for what the sender missed before its start; peers that know of anything reply with
    notices."""


@peer_message("stream_notice")
@dataclass(frozen=True, slots=True)
class StreamNotice:
    """Where streams began that their callers may take up at any node."""

    groups: tuple[StreamGroup, ...]
    gone: tuple[VersionSighting, ...]
    complete_for_s: float
    """For how long the sender cannot have missed a version."""


@peer_message("cleared_notice")
@dataclass(frozen=True, slots=True)
class ClearedNotice:
    """A suspected request that has completed, or suspected parts of a prompt whose answer has
    begun."""

    content: Fingerprint
    """Empty if only parts are cleared. Earlier builds also name a request whose answer has
    begun."""
    parts: tuple[PromptPartId, ...]
