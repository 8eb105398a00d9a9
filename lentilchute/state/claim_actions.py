"""Actions of the claim book, and what nodes ask each other about a claim."""

from dataclasses import dataclass
from enum import Enum

from ..ids import IncarnationId, RequestId
from .claim_answers import ClaimAnswer
from .platform_services import Transaction


class ClaimReplyState(Enum):
    """What a claimant, or the network in its place, says about a claim."""

    RUNNING = "running"
    """The claimant holds the key, or may be about to."""
    RELEASING = "releasing"
    """The claimant gave the key up and is writing so."""
    UNKNOWN = "unknown"
    """The claimant holds no such claim any more: it ended, or its end is not known."""
    GONE = "gone"
    """The claimant's process is no longer there."""
    UNREACHABLE = "unreachable"
    """No answer came in time; the claimant may live."""


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """A question to a claimant about one claim."""

    claimant: IncarnationId
    key: str
    token: str


@dataclass(frozen=True, slots=True)
class CommitTable:
    """Commit the transaction; answer with ``table_committed``."""

    call_id: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Read these rows at once; answer with ``table_read``."""

    call_id: int
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PutObject:
    """Store the object; answer with ``object_stored``."""

    call_id: int
    key: str
    body: bytes


@dataclass(frozen=True, slots=True)
class GetObject:
    """Fetch the object; answer with ``object_fetched``."""

    call_id: int
    key: str


@dataclass(frozen=True, slots=True)
class AskClaimant:
    """Ask the claimant's process; answer with ``claimant_answered``.

    The network answers ``GONE`` where membership says that this run of the node is not present,
    and ``UNREACHABLE`` after a timeout.
    """

    query_id: int
    query: ClaimQuery


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """The claim of a request came to its end; sent once for each ``claim``."""

    request_id: RequestId
    answer: ClaimAnswer


ClaimAction = CommitTable | ReadTable | PutObject | GetObject | AskClaimant | ClaimResolved
