"""Log events for membership changes."""

from ..events import Event
from .heartbeats import PeerChangeKind

PEER_EVENTS = {
    PeerChangeKind.ALIVE: Event.PEER_ALIVE,
    PeerChangeKind.SUSPECT: Event.PEER_SUSPECT,
    PeerChangeKind.LEAVING: Event.PEER_LEAVING,
    PeerChangeKind.GONE: Event.PEER_GONE,
    PeerChangeKind.SELF_REPLACED: Event.PEER_GONE,
}
