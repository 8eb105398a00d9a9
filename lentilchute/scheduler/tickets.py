"""Tickets, grants and refusals: the data that entries and schedulers exchange about a request.

A ticket describes a waiting request without its body. The scheduler answers it with a grant or a
refusal. Times are in seconds on the clock of the process that holds the object; messages between
processes carry remaining durations instead (see ``messages``).
"""

from dataclasses import dataclass
from enum import Enum

from ..ids import (
    Attempt,
    AvailabilityZone,
    BlockHash,
    ClientAccountId,
    Fingerprint,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    Tier,
    UpstreamId,
)


class Outcome(Enum):
    """Whether a request ran, as reported to its caller; the value is the outcome header's text."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class RefusalReason(Enum):
    """Why a request was refused; the value is shown to callers and in metrics."""

    OVERLOADED = "overloaded"
    DISPLACED = "displaced"
    DEADLINE = "deadline-cannot-be-met"
    EXPIRED = "deadline-passed"
    POISON = "crashes-upstreams"
    NO_UPSTREAM = "no-upstream"
    NO_SCHEDULER = "no-scheduler"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ACCOUNT = "unknown-client-account"
    UNKNOWN_MODEL = "unknown-model"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    KEY_RUNNING = "idempotency-key-running"
    KEY_UNRESOLVED = "idempotency-key-unresolved"
    TABLE_UNAVAILABLE = "table-unavailable"
    UPSTREAM_FAILED = "upstream-failed"
    NOT_READY = "not-ready"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Ticket:
    """The description of a waiting request for its scheduler, without the body."""

    request_id: RequestId
    attempt: Attempt
    entry: InstanceId
    zone: AvailabilityZone
    service: ServiceName
    tier: Tier
    client_account: ClientAccountId
    deadline_s: float
    prompt_tokens: int
    max_output_tokens: int
    model: ModelName
    fingerprint: Fingerprint
    prefix_hashes: tuple[BlockHash, ...] = ()
    idempotent: bool = True
    excluded: frozenset[UpstreamId] = frozenset()
    """Upstreams that an earlier attempt could not be sent to; they are not granted again."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to dispatch one attempt of a request to one upstream before ``expires_s``."""

    request_id: RequestId
    attempt: Attempt
    entry: InstanceId
    upstream: UpstreamId
    expires_s: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The scheduler's rejection of a waiting request, which was not dispatched."""

    request_id: RequestId
    attempt: Attempt
    entry: InstanceId
    reason: RefusalReason
    retry_after_s: float


Decision = Grant | Refusal


class EndState(Enum):
    """How a dispatched request ended at its upstream, as observed by its entry."""

    COMPLETE = "complete"
    BROKEN = "broken"
    """The stream was interrupted or timed out, and could not be resumed."""
    UPSTREAM_CRASHED = "upstream-crashed"
    """The upstream's connection was reset or refused while the request was in flight."""
    CALLER_GONE = "caller-gone"


@dataclass(frozen=True, slots=True)
class InFlight:
    """A request with a grant, dispatched or not, as an entry reports it in a refresh."""

    ticket: Ticket
    upstream: UpstreamId
    dispatched_s: float
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's self-reported load, which lags.

    ``age_s`` is the age of the figures on arrival.
    """

    upstream: UpstreamId
    running: int
    waiting: int
    outstanding_prompt_tokens: int
    age_s: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One entry of an upstream's prefix cache log; ``sequence`` increases by one for each entry."""

    upstream: UpstreamId
    sequence: int
    stored: tuple[BlockHash, ...] = ()
    evicted: tuple[BlockHash, ...] = ()
