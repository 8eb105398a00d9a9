"""The content of heartbeats: reports of nodes on themselves and their peers."""

import dataclasses
from enum import Enum

from ..ids import AvailabilityZone, IncarnationId, InstanceId
from ..util.lean_dataclasses import dataclass
from .codec import peer_message
from .roles import Role


class PeerStatus(Enum):
    """State of one incarnation. Of two reports with equal sequence the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    """Timed out, after ``suspect_after_s`` or longer; it gets no new shard."""
    LEAVING = 2
    """It announced a planned stop; an incarnation never returns from this state to ``ALIVE``."""
    GONE = 3


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """One incarnation of a node; ``generation`` orders those under the same instance name."""

    instance: InstanceId
    incarnation: IncarnationId
    generation: int
    """Wall clock time of the start in seconds, raised when a peer reports an earlier incarnation
    whose generation is not lower."""
    address: str
    callers_address: str
    zone: AvailabilityZone
    region: str
    roles: tuple[Role, ...]
    operators_address: str = ""
    strength: float = 1.0
    """CPU capacity that the node may use, in standard cores."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Name and address of a node, from the settings or the platform's list."""

    instance: InstanceId
    address: str


@dataclass(frozen=True, slots=True)
class PeerState:
    """A report on one incarnation; ``sequence`` is the number of heartbeats that it has sent."""

    info: PeerInfo
    status: PeerStatus
    sequence: int

    @property
    def is_abbreviated(self) -> bool:
        """Whether the report omits what a receiver that knows the incarnation already has."""
        return not self.info.address

    def abbreviated(self) -> "PeerState":
        """Return the report without ``address``, ``callers_address``, ``region`` and ``roles``."""
        info = dataclasses.replace(self.info, address="", callers_address="", region="", roles=())
        return dataclasses.replace(self, info=info)


@peer_message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender's state, and reports on other peers: a bounded number, but for a full view."""

    sender: PeerState
    heard: int
    """Highest sequence of the receiver that the sender has received: an acknowledgement that shows
    how recent this heartbeat is."""
    digest: int
    """Digest of the sender's configuration in force."""
    ready: bool
    """The sender has confirmed its configuration and admits requests."""
    wants_view: bool = False
    """Requests a full view: all peers that the receiver knows."""
    is_view: bool = False
    """The reply to ``wants_view``: ``states`` holds the peers that the sender knows."""
    states: tuple[PeerState, ...] = ()


@dataclass(frozen=True, slots=True)
class OutgoingHeartbeat:
    """A heartbeat and its destination."""

    instance: InstanceId
    address: str
    heartbeat: Heartbeat


class PeerChangeKind(Enum):
    """What changed about a peer, or about this node's membership."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"
    SELF_REPLACED = "self-replaced"
    """A later incarnation under this node's name exists; this one must stop admitting requests."""


@dataclass(frozen=True, slots=True)
class PeerChange:
    """A change in membership, passed to the components of the node that depend on it."""

    kind: PeerChangeKind
    info: PeerInfo
