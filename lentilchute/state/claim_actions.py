"""Actions of the claim registry, and the queries about claims between nodes."""

from dataclasses import dataclass
from enum import Enum

from ..ids import IncarnationId, RequestId
from .claim_answers import ClaimAnswer
from .platform_services import Transaction


class ClaimReplyState(Enum):
    """State of a claim as reported by its claimant, or as inferred from the network."""

    RUNNING = "running"
    """The claimant holds the key or is claiming it."""
    RELEASING = "releasing"
    """The claimant has given up the key and is writing the release."""
    UNKNOWN = "unknown"
    """The claimant has no such claim: it has ended, or its outcome is unknown."""
    GONE = "gone"
    """The claimant's process no longer exists."""
    UNREACHABLE = "unreachable"
    """No reply arrived in time; the claimant may still be alive."""


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """A query to a claimant about one claim."""

    claimant: IncarnationId
    key: str
    token: str


@dataclass(frozen=True, slots=True)
class CommitTable:
    """Commit the transaction; the result goes to ``table_committed``."""

    call_id: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Read these rows in one call; the result goes to ``table_read``."""

    call_id: int
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PutObject:
    """Store the object; the result goes to ``object_stored``."""

    call_id: int
    key: str
    body: bytes


@dataclass(frozen=True, slots=True)
class GetObject:
    """Fetch the object; the result goes to ``object_fetched``."""

    call_id: int
    key: str


@dataclass(frozen=True, slots=True)
class AskClaimant:
    """Query the claimant's process; the reply goes to ``claimant_answered``.

    The reply is ``GONE`` if membership does not list this incarnation of the node as present, and
    ``UNREACHABLE`` after a timeout.
    """

    query_id: int
    query: ClaimQuery


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """The claim of a request is resolved; returned once per ``claim``."""

    request_id: RequestId
    answer: ClaimAnswer


ClaimAction = CommitTable | ReadTable | PutObject | GetObject | AskClaimant | ClaimResolved
