"""Messages by which a node sends a request to an upstream through a peer.

A node that has lost its paths to upstreams goes on deciding about its requests; the peer only
carries bytes. Messages may be lost with their link, so the parts of an answer are numbered.
"""

from enum import Enum

from ..ids import UpstreamId
from ..peers.codec import peer_message
from ..util.lean_dataclasses import dataclass


class PathState(Enum):
    """What a node finds when it connects to an upstream."""

    OPEN = "open"
    REFUSED = "refused"
    """The node cannot connect, though it reaches another upstream."""
    CLOSED = "closed"
    """The node would connect, but knows that the upstream takes no new work."""
    UNKNOWN = "unknown"
    """The node cannot tell, since it is cut off itself or is stopping."""


@peer_message("path_question")
@dataclass(frozen=True, slots=True)
class PathQuestion:
    """Asks a peer whether it can connect to an upstream."""

    number: int
    upstream: UpstreamId
    started_ms: int


@peer_message("path_reply")
@dataclass(frozen=True, slots=True)
class PathReply:
    """Answers a ``PathQuestion``."""

    number: int
    state: PathState


@dataclass(frozen=True, slots=True)
class RelayHeader:
    """One header of a request or an answer."""

    name: str
    value: str


@peer_message("relay_request")
@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request as it is to be sent to an upstream."""

    number: int
    upstream: UpstreamId
    started_ms: int
    method: str
    path: str
    headers: tuple[RelayHeader, ...]
    body: bytes
    head_timeout_s: float
    read_timeout_s: float
    needs_new_connection: bool


@peer_message("relay_head")
@dataclass(frozen=True, slots=True)
class RelayHead:
    """The head of the upstream's answer."""

    number: int
    status: int
    headers: tuple[RelayHeader, ...]
    is_reused: bool
    """The request went out on a connection that carried another one before."""


@peer_message("relay_part")
@dataclass(frozen=True, slots=True)
class RelayPart:
    """A piece of the answer's body."""

    number: int
    index: int
    """Counts the pieces from 0."""
    data: bytes


@peer_message("relay_end")
@dataclass(frozen=True, slots=True)
class RelayEnd:
    """The end of the exchange, or what prevented it."""

    number: int
    parts: int
    """Pieces of the body that were sent before."""
    fault: str
    """Value of an ``HttpFault``; empty after the regular end of the answer."""
    state: PathState
    is_reused: bool
    ended_with_connection: bool


@peer_message("relay_cancel")
@dataclass(frozen=True, slots=True)
class RelayCancel:
    """The answer is no longer needed."""

    number: int
