"""Messages between gateway nodes."""

from dataclasses import dataclass

from ..ids import ClientAccountId, Fingerprint, IncarnationId, UpstreamId
from ..peer_codec import peer_message


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """One node's requests at an upstream, and what it has learned there."""

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


@dataclass(frozen=True, slots=True)
class AccountUsage:
    """What one run of a node has taken of an account's quota in all."""

    account: ClientAccountId
    used: float


@peer_message("load_digest")
@dataclass(frozen=True, slots=True)
class LoadDigest:
    """The whole load of one node; a later digest replaces an earlier one."""

    incarnation: IncarnationId
    upstreams: tuple[UpstreamLoad, ...]
    accounts: tuple[AccountUsage, ...]


@dataclass(frozen=True, slots=True)
class NewsRow:
    """A row of the store as a peer read it."""

    key: str
    version: int
    value: bytes
    removed: bool


@peer_message("table_news")
@dataclass(frozen=True, slots=True)
class TableNews:
    """Changes of a store table between two versions, as one node read them."""

    table_name: str
    base: int
    version: int
    age_s: float
    """How long ago the sender asked for them."""
    rows: tuple[NewsRow, ...]
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
