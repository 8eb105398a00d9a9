"""Messages between gateway nodes.

A node asks the coordinator to place its requests, and tells it how they went. Reports and refreshes
may be lost: a refresh names everything that runs, so the coordinator's count is right again with
the next one.
"""

from dataclasses import dataclass
from enum import Enum

from ..ids import (
    AvailabilityZone,
    ClientAccountId,
    Fingerprint,
    IncarnationId,
    ServiceName,
    UpstreamId,
)
from ..peers.codec import peer_message

NOT_MEASURED = -1.0
"""Stands for a figure that a report does not give."""


@peer_message("place_request")
@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that waits for an upstream; times are durations."""

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


class ReplyState(Enum):
    """What a reply says."""

    WAITING = "waiting"
    """The ticket waits; another reply follows."""
    PLACED = "placed"
    REFUSED = "refused"
    DECLINED = "declined"
    """The node does not coordinate, or does not know enough yet."""


@peer_message("place_reply")
@dataclass(frozen=True, slots=True)
class PlacementReply:
    """The coordinator's word on a ticket; the fields of a placement are empty for other states."""

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


@dataclass(frozen=True, slots=True)
class Report:
    """What happened to a request at an upstream."""

    number: int
    service: ServiceName
    upstream: UpstreamId
    first_event_s: float
    """From its sending to its first event, or to the whole answer of a plain service."""
    gap_ms: float
    """Mean time between the events of a whole stream."""
    failure: float
    """0 for a good end, 1 for a failure, between for a late one."""
    ended: bool
    unreachable: bool
    """The upstream could not be connected to."""


@peer_message("ticket_withdrawal")
@dataclass(frozen=True, slots=True)
class TicketWithdrawal:
    """A node does not wait for a ticket's answer any more."""

    node: IncarnationId
    number: int
    service: ServiceName


@peer_message("load_reports")
@dataclass(frozen=True, slots=True)
class LoadReports:
    """Reports of one node since its last ones."""

    node: IncarnationId
    items: tuple[Report, ...]


@dataclass(frozen=True, slots=True)
class RunningTicket:
    """One request of a node at an upstream."""

    number: int
    service: ServiceName
    upstream: UpstreamId
    prompt_tokens: int
    work_tokens: int
    age_s: float
    has_first_event: bool


@dataclass(frozen=True, slots=True)
class AccountHistory:
    """What was used of an account's quota in the last window."""

    account: ClientAccountId
    parts: tuple[float, ...]
    """Sums of the parts of the window, the oldest first."""


@peer_message("load_refresh")
@dataclass(frozen=True, slots=True)
class LoadRefresh:
    """Everything that one node has running, and what it has used of quotas."""

    node: IncarnationId
    running: tuple[RunningTicket, ...]
    accounts: tuple[AccountHistory, ...]
    """What the receiver has not counted itself."""
    told: tuple[AccountHistory, ...]
    """What another coordinator had counted for all nodes, until the receiver tells its own."""
    told_age_s: float


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """All nodes' requests at an upstream, and what is known about it."""

    upstream: UpstreamId
    running: int
    backlog_tokens: int
    """Prompt tokens of the requests that have not shown their first event."""
    pace_ms: float
    pace_weight: float
    gap_ms: float
    gap_weight: float
    failures: float
    results: float


@peer_message("fleet_digest")
@dataclass(frozen=True, slots=True)
class FleetDigest:
    """What the coordinator knows, for nodes that lose sight of it or take its place."""

    upstreams: tuple[UpstreamLoad, ...]
    accounts: tuple[AccountHistory, ...]


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
    """How long ago the sender asked for them."""
    rows: tuple[ChangedRow, ...]
    is_partial: bool
    """Rows were left out for their size; the receiver reads them itself."""
    after_outage: bool


@peer_message("crash_notice")
@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Contents that were in flight from one node when an upstream crashed."""

    upstream: UpstreamId
    contents: tuple[Fingerprint, ...]


@peer_message("cleared_notice")
@dataclass(frozen=True, slots=True)
class ClearedNotice:
    """A suspected content that completed."""

    content: Fingerprint
