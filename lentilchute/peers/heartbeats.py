"""What nodes tell each other about themselves and their peers: the content of heartbeats."""

import dataclasses
from dataclasses import dataclass
from enum import Enum

from ..ids import AvailabilityZone, IncarnationId, InstanceId
from ..settings import Role


class PeerStatus(Enum):
    """State of one incarnation. Of two reports with equal sequence the higher value counts."""

    ALIVE = 0
    SUSPECT = 1
    """Silent for longer than ``suspect_after_s``; it gets no new shard."""
    LEAVING = 2
    """It announced its planned stop; an incarnation never returns from this to alive."""
    GONE = 3


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """One run of one node. ``generation`` orders the runs under the same instance name."""

    instance: InstanceId
    incarnation: IncarnationId
    generation: int
    """Wall clock seconds at the start, raised when a peer knows an earlier run as later."""
    address: str
    callers_address: str
    zone: AvailabilityZone
    region: str
    roles: tuple[Role, ...]
    operators_address: str = ""
    strength: float = 1.0
    """Processor cores that the node may use."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """A node known by name and address only, from the settings or the platform's list."""

    instance: InstanceId
    address: str


@dataclass(frozen=True, slots=True)
class PeerState:
    """A report on one incarnation; ``sequence`` counts the heartbeats that it has sent."""

    info: PeerInfo
    status: PeerStatus
    sequence: int

    @property
    def is_abbreviated(self) -> bool:
        """Whether the report leaves out what a receiver that knows the run has already."""
        return not self.info.address

    def abbreviated(self) -> "PeerState":
        """Return the report with the run's names and numbers only."""
        info = dataclasses.replace(self.info, address="", callers_address="", region="", roles=())
        return dataclasses.replace(self, info=info)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender's own state, and a bounded number of reports on other peers."""

    sender: PeerState
    heard: int
    """Highest sequence of the receiver that the sender has seen; proves that this is fresh."""
    digest: int
    """Digest of the sender's configuration in force."""
    ready: bool
    """The sender confirmed its configuration and admits requests."""
    wants_view: bool = False
    """The receiver shall answer with all the peers that it knows."""
    is_view: bool = False
    """The answer to ``wants_view``: ``states`` holds all the peers that the sender knows."""
    states: tuple[PeerState, ...] = ()


@dataclass(frozen=True, slots=True)
class OutgoingHeartbeat:
    """A heartbeat with where to send it."""

    instance: InstanceId
    address: str
    heartbeat: Heartbeat


class PeerChangeKind(Enum):
    """What changed about a peer, or about this node's own place."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"
    SELF_REPLACED = "self-replaced"
    """A later run under this node's own name exists; this one must stop admitting."""


@dataclass(frozen=True, slots=True)
class PeerChange:
    """One change that the rest of the node has to act on."""

    kind: PeerChangeKind
    info: PeerInfo
