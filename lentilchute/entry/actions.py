"""The accepted request, and the actions that the entry's decision code returns.

Actions for a scheduler name the target instance. Results come back as further calls of
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
    """A caller's request that passed the filters; ``deadline_s`` is on this process's clock."""

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
    """Withdraw a request that no longer waits from a scheduler."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class DeclineGrant:
    """Return an unused grant to the scheduler that issued it."""

    scheduler: InstanceId
    shard: ShardId
    grant: Grant


@dataclass(frozen=True, slots=True)
class ReportDispatched:
    """Report to a scheduler that a request is being sent to an upstream."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId
    attempt: Attempt
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Report to a scheduler how many tokens a stream has delivered so far."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId
    output_tokens: int


@dataclass(frozen=True, slots=True)
class ReportEnded:
    """Report to a scheduler how a dispatched request ended."""

    scheduler: InstanceId
    shard: ShardId
    request_id: RequestId
    end: EndState
    cached_prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RefreshScheduler:
    """Send a scheduler all active requests of a shard, replacing its view of this entry."""

    scheduler: InstanceId
    shard: ShardId
    waiting: tuple[Ticket, ...]
    in_flight: tuple[InFlight, ...]


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim an idempotency key; the result is passed to ``claim_resolved``."""

    claim: ClaimRequest


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Release a key, claimed or being claimed, whose request certainly did not run."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class KeepAnswer:
    """Store the answer of the finished request that holds a key.

    ``kept`` is ``None`` if the answer was too large.
    """

    request_id: RequestId
    kept: KeptAnswer | None


@dataclass(frozen=True, slots=True)
class LeaveKeyClaimed:
    """Leave a key claimed, since its request was dispatched and its outcome is unknown."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Connect to an upstream, check ``may_send`` for the attempt, and send the request."""

    upstream: UpstreamId
    attempt: Attempt
    request: UpstreamRequest


@dataclass(frozen=True, slots=True)
class ResumeUpstream:
    """Resume a broken stream after event ``after_event``; 0 resumes from the start."""

    upstream: UpstreamId
    request_id: RequestId
    after_event: int


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Close the connection to an upstream and ask it to cancel the request."""

    upstream: UpstreamId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendHead:
    """Send the status and headers of the caller's answer."""

    request_id: RequestId
    status: int
    headers: tuple[tuple[str, str], ...]
    outcome: Outcome = Outcome.RAN


@dataclass(frozen=True, slots=True)
class SendPart:
    """Send a part of the caller's answer."""

    request_id: RequestId
    data: bytes


@dataclass(frozen=True, slots=True)
class SendEnd:
    """End the caller's answer, which is complete."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Answer the caller with a refusal; no part of an answer has been sent."""

    request_id: RequestId
    reason: RefusalReason
    outcome: Outcome
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class BreakAnswer:
    """Abort the caller's answer so that it is recognizably incomplete."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class RecordGoodput:
    """Count a complete answer that was delivered before its deadline."""

    service: ServiceName
    tier: Tier
    output_tokens: int
    first_token_s: float
    """Seconds from acceptance to the first part of the answer."""


@dataclass(frozen=True, slots=True)
class RecordWastedPrefill:
    """Count the prompt tokens of a request whose caller got no complete answer."""

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
