"""The accepted request, and the actions that the entry's decision code asks for.

Actions to a scheduler name the instance that they go to. Results come back by further calls of
``EntryRequests``.
"""

from dataclasses import dataclass, field

from ..ids import (
    Attempt,
    BlockHash,
    ClientAccountId,
    Fingerprint,
    IdempotencyKey,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    ShardId,
    Tier,
    UpstreamId,
)
from ..scheduler.tickets import EndState, Grant, InFlight, Outcome, RefusalReason, Ticket
from ..state.claim_answers import ClaimRequest, KeptAnswer
from ..upstream.adapters import UpstreamRequest


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A caller's request that passed the filters. ``deadline_s`` is on this process's clock."""

    service: ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = field(repr=False)
    streaming: bool
    tier: Tier
    client_account: ClientAccountId
    deadline_s: float
    prompt_tokens: int
    max_output_tokens: int
    model: ModelName
    fingerprint: Fingerprint
    prefix_hashes: tuple[BlockHash, ...] = ()
    idempotent: bool = True
    idempotency_key: IdempotencyKey | None = None
    kept_answer_bytes: int = 65_536
    stream_idle_timeout_s: float = 10.0


@dataclass(frozen=True, slots=True)
class SubmitTicket:
    """Send a ticket to a scheduler."""

    scheduler: InstanceId
    shard: ShardId
    ticket: Ticket


@dataclass(frozen=True, slots=True)
class WithdrawTicket:
    """Tell a scheduler that a request waits no longer."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class DeclineGrant:
    """Tell the scheduler that made a grant that it was not used."""

    scheduler: InstanceId
    shard: ShardId
    grant: Grant


@dataclass(frozen=True, slots=True)
class ReportDispatched:
    """Tell a scheduler that the first byte of a request goes to an upstream."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId
    attempt: Attempt
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Tell a scheduler how many tokens a stream has delivered so far."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId
    output_tokens: int


@dataclass(frozen=True, slots=True)
class ReportEnded:
    """Tell a scheduler how a dispatched request ended."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId
    end: EndState
    cached_prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RefreshScheduler:
    """Send a scheduler all that waits and runs here for a shard, in place of what it knew."""

    scheduler: InstanceId
    shard: ShardId
    waiting: tuple[Ticket, ...]
    in_flight: tuple[InFlight, ...]


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim an idempotency key; ``claim_resolved`` brings the answer."""

    claim: ClaimRequest


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Give up a key, claimed or being claimed, whose request certainly did not run."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class KeepAnswer:
    """The holder of a key ran to its end; ``kept`` is absent when the answer was too large."""

    request_id: RequestId
    kept: KeptAnswer | None


@dataclass(frozen=True, slots=True)
class LeaveKeyClaimed:
    """The holder of a key was dispatched and its end is unknown: the key stays claimed."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Open a connection to an upstream, ask ``may_send`` for the attempt, and send."""

    upstream: UpstreamId
    attempt: Attempt
    request: UpstreamRequest


@dataclass(frozen=True, slots=True)
class ResumeUpstream:
    """Take up a broken stream after event ``after_event`` (0 for from its start)."""

    upstream: UpstreamId
    request_id: RequestId
    after_event: int


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Stop sending to and reading from an upstream, close the connection, and ask it to cancel."""

    upstream: UpstreamId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendHead:
    """Start the caller's answer."""

    request_id: RequestId
    status: int
    headers: tuple[tuple[str, str], ...]
    outcome: Outcome = Outcome.RAN


@dataclass(frozen=True, slots=True)
class SendPart:
    """Send the caller a piece of its answer."""

    request_id: RequestId
    data: bytes


@dataclass(frozen=True, slots=True)
class SendEnd:
    """End the caller's answer cleanly: nothing is missing."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Answer the caller with a refusal; nothing of an answer was sent before."""

    request_id: RequestId
    reason: RefusalReason
    outcome: Outcome
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class BreakAnswer:
    """Cut the caller's answer so that it cannot be taken for a whole one."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class RecordGoodput:
    """Count a whole answer delivered before its deadline."""

    service: ServiceName
    tier: Tier
    output_tokens: int
    first_token_s: float
    """Seconds from acceptance to the first part of the answer."""


@dataclass(frozen=True, slots=True)
class RecordWastedPrefill:
    """Count prompt tokens spent on a request that brought its caller no whole answer."""

    service: ServiceName
    tier: Tier
    prompt_tokens: int
    reason: str


SchedulerAction = (
    SubmitTicket
    | WithdrawTicket
    | DeclineGrant
    | ReportDispatched
    | ReportProgress
    | ReportEnded
    | RefreshScheduler
)
ClaimsAction = ClaimKey | ReleaseKey | KeepAnswer | LeaveKeyClaimed
UpstreamAction = SendUpstream | ResumeUpstream | CancelUpstream
CallerAction = SendHead | SendPart | SendEnd | SendRefusal | BreakAnswer
EntryAction = (
    SchedulerAction
    | ClaimsAction
    | UpstreamAction
    | CallerAction
    | RecordGoodput
    | RecordWastedPrefill
)
