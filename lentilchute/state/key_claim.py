"""One claim of an idempotency key, and what a look at its row means for it."""

from dataclasses import dataclass
from enum import Enum

from .claim_answers import ClaimRequest, ClaimState, KeptAnswer
from .claim_records import ClaimRecord, RecordState, parse_claim_row
from .platform_services import Row


class Intent(Enum):
    """What the claimant wants of the row."""

    CLAIM = "claim"
    HOLD = "hold"
    RELEASE = "release"
    """Make certain that the row does not show this claim and never will."""
    FINISH = "finish"


class ClaimStep(Enum):
    """The next input or output of a claim."""

    NOTHING = "nothing"
    READ = "read"
    WRITE = "write"
    ASK = "ask"
    FETCH = "fetch"
    STORE = "store"


@dataclass(slots=True, eq=False)
class KeyClaim:
    """A claim while this node has something to do about it."""

    request: ClaimRequest
    key: str
    token: str
    intent: Intent = Intent.CLAIM
    step: ClaimStep = ClaimStep.WRITE
    in_flight: ClaimStep = ClaimStep.NOTHING
    """The operation for this claim that waits for its answer."""
    write_intent: Intent = Intent.CLAIM
    """What the write in flight is for; the intent may have changed since it was sent."""
    condition: int = 0
    """Row version on which the next write is conditioned."""
    unknown_outcome_condition: int | None = None
    """Highest condition of a claiming write of unknown outcome; it may still take effect."""
    not_before_s: float = 0.0
    deadline_state: ClaimState = ClaimState.TABLE_UNAVAILABLE
    """What is true to say when the deadline passes now."""
    other_record: ClaimRecord | None = None
    """Another claimant's record, while it is asked about or its answer is fetched."""
    orphaned_token: str | None = None
    """A claim whose claimant is gone or does not know it; it counts once the row is read again."""
    kept: KeptAnswer | None = None
    answer_text: str | None = None
    is_stored: bool = False

    @property
    def is_active(self) -> bool:
        """Whether the claim is wanted or held, so that its request runs or may come to run."""
        return self.intent is not Intent.RELEASE

    @property
    def may_be_committed(self) -> bool:
        """Whether the row may show this claim, now or once a late write takes effect."""
        writes_claim = self.in_flight is ClaimStep.WRITE and self.write_intent is Intent.CLAIM
        return writes_claim or self.unknown_outcome_condition is not None

    def record_unknown_outcome(self) -> None:
        """A claiming write may have taken effect, or may yet."""
        self.unknown_outcome_condition = max(self.condition, self.unknown_outcome_condition or 0)

    def record_version(self, version: int) -> None:
        """A read showed this version: writes conditioned on lower ones can no longer land."""
        self.condition = version
        if self.unknown_outcome_condition is not None and version > self.unknown_outcome_condition:
            self.unknown_outcome_condition = None


class ClaimDecision(Enum):
    """What a claim does after a look at its row."""

    WRITE = "write"
    HELD = "held"
    ASK = "ask"
    FETCH = "fetch"
    OTHER_BODY = "other-body"
    MAY_HAVE_RUN = "may-have-run"
    DONE = "done"
    """Nothing remains to be done about the row."""


def decide_by_row(claim: KeyClaim, row: Row | None) -> ClaimDecision:
    """Return what the row means, and note its version and any other claimant in the claim."""
    record = None if row is None else parse_claim_row(row.value)
    claim.record_version(0 if row is None else row.version)
    if row is not None and record is None:
        return ClaimDecision.MAY_HAVE_RUN if claim.intent is Intent.CLAIM else ClaimDecision.DONE
    if claim.intent is Intent.CLAIM:
        return _decide_for_claim(claim, record)
    if _is_own_claim(claim, record):
        return ClaimDecision.WRITE
    if claim.intent is Intent.RELEASE and claim.unknown_outcome_condition is not None:
        # Writing over what is there now moves the version on, which bars the late write.
        return ClaimDecision.WRITE
    return ClaimDecision.DONE


def _decide_for_claim(claim: KeyClaim, record: ClaimRecord | None) -> ClaimDecision:
    if record is None or record.state is RecordState.RELEASED:
        return ClaimDecision.WRITE
    if _is_own_claim(claim, record):
        return ClaimDecision.HELD
    if record.fingerprint != claim.request.fingerprint:
        return ClaimDecision.OTHER_BODY
    claim.other_record = record
    if record.state is RecordState.FINISHED:
        return ClaimDecision.FETCH
    if claim.orphaned_token == record.token:
        return ClaimDecision.MAY_HAVE_RUN
    return ClaimDecision.ASK


def _is_own_claim(claim: KeyClaim, record: ClaimRecord | None) -> bool:
    if record is None or record.token != claim.token:
        return False
    return record.state is RecordState.CLAIMED
