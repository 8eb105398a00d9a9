"""Messages about the availability of upstreams. Field names are those of ``peers/peer.thrift``."""

from dataclasses import dataclass
from enum import Enum

from ..ids import UpstreamId
from ..peers.codec import peer_message


class UpstreamAvailability(Enum):
    """Availability of an upstream, as a node broadcasts it."""

    LIVE = "live"
    LEAVING = "leaving"
    """The upstream itself announced that it is leaving."""
    DRAINED = "drained"
    """An operator drained it."""
    UNDRAINED = "undrained"


@peer_message("upstream_notice")
@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """A change in an upstream's availability, from the upstream itself or an operator."""

    upstream: UpstreamId
    news: UpstreamAvailability
