"""One claim of an idempotency key, and the decision that follows from reading its row."""

from dataclasses import dataclass
from enum import Enum

from .claim_answers import ClaimRequest, ClaimState, KeptAnswer
from .claim_records import ClaimRecord, RecordState, parse_claim_row
from .platform_services import Row


class Intent(Enum):
    """The state that the claimant wants the row to reach."""

    CLAIM = "claim"
    HOLD = "hold"
    RELEASE = "release"
    """Ensure that the row does not show this claim, not even after a delayed write."""
    FINISH = "finish"


class ClaimStep(Enum):
    """The next operation of a claim."""

    NOTHING = "nothing"
    READ = "read"
    WRITE = "write"
    ASK = "ask"
    FETCH = "fetch"
    STORE = "store"


@dataclass(slots=True, eq=False)
class KeyClaim:
    """A claim that this node holds or still has operations for."""

    request: ClaimRequest
    key: str
    token: str
    intent: Intent = Intent.CLAIM
    step: ClaimStep = ClaimStep.WRITE
    in_flight: ClaimStep = ClaimStep.NOTHING
    """The operation whose result is outstanding."""
    write_intent: Intent = Intent.CLAIM
    """Intent of the write in flight; ``intent`` may have changed since it was sent."""
    condition: int = 0
    """Row version that the next write requires."""
    unknown_outcome_condition: int | None = None
    """Highest version required by a claiming write of unknown outcome; it may still be applied."""
    not_before_s: float = 0.0
    """Earliest time at which the next operation may be sent."""
    deadline_state: ClaimState = ClaimState.TABLE_UNAVAILABLE
    """State that the claim resolves to if its deadline passes now."""
    other_record: ClaimRecord | None = None
    """Another claimant's record, while its claimant is queried or its answer is fetched."""
    orphaned_token: str | None = None
    """Token of a claim whose claimant is gone or does not know it; acted on after a reread."""
    kept: KeptAnswer | None = None
    answer_text: str | None = None
    """The serialized form of ``kept``."""
    is_stored: bool = False
    """Whether the answer is in the object store, not in the row."""

    @property
    def is_active(self) -> bool:
        """Whether the key is being claimed, held or finished; false once it is being released."""
        return self.intent is not Intent.RELEASE

    @property
    def may_be_committed(self) -> bool:
        """Whether the row may show this claim, now or after a delayed write is applied."""
        writes_claim = self.in_flight is ClaimStep.WRITE and self.write_intent is Intent.CLAIM
        return writes_claim or self.unknown_outcome_condition is not None

    def record_unknown_outcome(self) -> None:
        """Record that a claiming write may have been applied or may be applied later."""
        self.unknown_outcome_condition = max(self.condition, self.unknown_outcome_condition or 0)

    def record_version(self, version: int) -> None:
        """Record the version that a read returned; writes that require a lower one will fail."""
        self.condition = version
        if self.unknown_outcome_condition is not None and version > self.unknown_outcome_condition:
            self.unknown_outcome_condition = None


class ClaimDecision(Enum):
    """What a claim does after its row has been read."""

    WRITE = "write"
    HELD = "held"
    ASK = "ask"
    FETCH = "fetch"
    OTHER_BODY = "other-body"
    MAY_HAVE_RUN = "may-have-run"
    DONE = "done"
    """The row needs no further operation."""


def decide_by_row(claim: KeyClaim, row: Row | None) -> ClaimDecision:
    """Return the decision for a row; record its version and any other claimant in the claim."""
    record = None if row is None else parse_claim_row(row.value)
    claim.record_version(0 if row is None else row.version)
    if row is not None and record is None:
        return ClaimDecision.MAY_HAVE_RUN if claim.intent is Intent.CLAIM else ClaimDecision.DONE
    if claim.intent is Intent.CLAIM:
        return _decide_for_claim(claim, record)
    if _is_record_of(claim, record):
        return ClaimDecision.WRITE
    if claim.intent is Intent.RELEASE and claim.unknown_outcome_condition is not None:
        # Overwriting the row increments its version, so the delayed write fails its condition.
        return ClaimDecision.WRITE
    return ClaimDecision.DONE


def _decide_for_claim(claim: KeyClaim, record: ClaimRecord | None) -> ClaimDecision:
    if record is None or record.state is RecordState.RELEASED:
        return ClaimDecision.WRITE
    if _is_record_of(claim, record):
        return ClaimDecision.HELD
    if record.fingerprint != claim.request.fingerprint:
        return ClaimDecision.OTHER_BODY
    claim.other_record = record
    if record.state is RecordState.FINISHED:
        return ClaimDecision.FETCH
    if claim.orphaned_token == record.token:
        return ClaimDecision.MAY_HAVE_RUN
    return ClaimDecision.ASK


def _is_record_of(claim: KeyClaim, record: ClaimRecord | None) -> bool:
    if record is None or record.token != claim.token:
        return False
    return record.state is RecordState.CLAIMED
