"""Table of a node's peers: merges reports about them and detects failed ones.

Reports are ordered by the incarnation's generation, then by sequence, then by status. A tombstone
of an incarnation that is gone is kept for a while, so that a delayed report does not revive it.
"""

import dataclasses

from ..ids import IncarnationId, InstanceId
from ..util.lean_dataclasses import dataclass
from .gossip import GossipQueue
from .heartbeats import PeerChange, PeerChangeKind, PeerInfo, PeerState, PeerStatus
from .settings import MembershipSettings

NEW_NEIGHBOUR_TIMEOUT_FACTOR = 3.0
"""A new neighbour on the ring has this many times its timeout for its first heartbeat."""
UNMONITORED_TIMEOUT_FACTOR = 4.0
"""A peer that this node does not monitor is suspected when no report has advanced its sequence for
this many ``forget_after_s``."""
TOMBSTONE_RETENTION_FACTOR = 10.0
"""Tombstones are kept for this many ``forget_after_s``."""

_CHANGE_KIND_BY_STATUS = {
    PeerStatus.ALIVE: PeerChangeKind.ALIVE,
    PeerStatus.SUSPECT: PeerChangeKind.SUSPECT,
    PeerStatus.LEAVING: PeerChangeKind.LEAVING,
    PeerStatus.GONE: PeerChangeKind.GONE,
}


@dataclass(slots=True)
class PeerRecord:
    """The current incarnation of one peer, as this node knows it."""

    info: PeerInfo
    status: PeerStatus
    sequence: int
    sequence_advanced_s: float
    """When a report with a higher sequence last arrived, from the peer itself or relayed."""
    status_changed_s: float
    timeout_s: float
    last_direct_s: float | None
    """When the last heartbeat from the peer itself arrived."""
    confirmed: bool
    """False from the end of a long pause of this node until a heartbeat that acknowledges one sent
    since the pause reports the peer alive."""
    monitored_since_s: float | None = None
    """Since when this node monitors the peer as a ring neighbour; unused in a small group."""
    echoed_sequence: int = 0
    """Highest sequence of this node that the peer has acknowledged."""
    last_echo_s: float | None = None
    """When ``echoed_sequence`` last rose."""

    @property
    def state(self) -> PeerState:
        """The report on this peer that heartbeats carry."""
        return PeerState(self.info, self.status, self.sequence)

    @property
    def is_confirmed_alive(self) -> bool:
        """Whether the peer may be assigned work."""
        return self.status is PeerStatus.ALIVE and self.confirmed

    def shift_times(self, gap_s: float) -> None:
        """Move all times forward by a pause of this node, during which it could receive nothing."""
        self.sequence_advanced_s += gap_s
        self.status_changed_s += gap_s
        if self.last_direct_s is not None:
            self.last_direct_s += gap_s
        if self.last_echo_s is not None:
            self.last_echo_s += gap_s
        if self.monitored_since_s is not None:
            self.monitored_since_s += gap_s


@dataclass(frozen=True, slots=True)
class Tombstone:
    """The last state of an incarnation that is gone."""

    state: PeerState
    gone_s: float


class PeerView:
    """Records of all peers, and the rules for merging reports into them."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self.gossip = GossipQueue(settings.change_states, settings.rotation_states)
        self.peers: dict[InstanceId, PeerRecord] = {}
        self.tombstones: dict[IncarnationId, Tombstone] = {}
        self.has_unknown_incarnation = False
        """Set when an abbreviated report names an incarnation that this node does not know."""
        self.revision = 0
        """Incremented whenever a peer is added or removed, or its status or info changes."""

    @property
    def is_full_mesh(self) -> bool:
        """Whether the group is small enough for each node to send heartbeats to all others."""
        return len(self.peers) < self._settings.full_mesh_nodes

    def merge(
        self, state: PeerState, now_s: float, *, direct: bool, confirmed: bool
    ) -> list[PeerChange]:
        """Merge one report; ``direct`` when the peer itself sent it."""
        record = self.peers.get(state.info.instance)
        if state.is_abbreviated and self._is_unknown_incarnation(record, state):
            self.has_unknown_incarnation = True
            return []
        if record is None:
            return self._add(state, now_s, direct=direct, confirmed=confirmed)
        if record.info.incarnation == state.info.incarnation:
            return self._update_record(record, state, now_s, direct=direct)
        if incarnation_order(state.info) < incarnation_order(record.info):
            return self.record_superseded(state, now_s)
        changes = self._remove(record, now_s)
        return changes + self._add(state, now_s, direct=direct, confirmed=confirmed)

    def record_superseded(self, state: PeerState, now_s: float) -> list[PeerChange]:
        """Add a tombstone for an incarnation that a later one under the same name has replaced."""
        if state.info.incarnation in self.tombstones:
            return []
        gone = PeerState(state.info, PeerStatus.GONE, state.sequence)
        self.tombstones[state.info.incarnation] = Tombstone(gone, now_s)
        return [PeerChange(PeerChangeKind.GONE, state.info)]

    def check_timeouts(self, now_s: float) -> list[PeerChange]:
        """Suspect peers that time out; remove leaving ones and those suspected for long.

        A suspected peer is removed after ``forget_after_s``.
        """
        changes: list[PeerChange] = []
        for peer in list(self.peers.values()):
            if self._is_timed_out(peer, now_s):
                changes += self._handle_timeout(peer, now_s)
        self._drop_expired_tombstones(now_s)
        return changes

    def reported_state(self, name: InstanceId) -> PeerState | None:
        """Return the state of ``name`` to include in heartbeats, or ``None``.

        A peer that is unconfirmed since a long pause of this node is not reported.
        """
        peer = self.peers.get(name)
        if peer is not None:
            return peer.state if peer.confirmed else None
        states = [tombstone.state for tombstone in self.tombstones.values()]
        gone = [state for state in states if state.info.instance == name]
        return gone[-1] if gone else None

    def _is_unknown_incarnation(self, record: PeerRecord | None, state: PeerState) -> bool:
        if record is not None:
            return incarnation_order(state.info) > incarnation_order(record.info) and (
                state.info.incarnation != record.info.incarnation
            )
        tombstone = self.tombstones.get(state.info.incarnation)
        return tombstone is None or state.sequence > tombstone.state.sequence

    def _add(
        self, state: PeerState, now_s: float, *, direct: bool, confirmed: bool
    ) -> list[PeerChange]:
        incarnation = state.info.incarnation
        tombstone = self.tombstones.get(incarnation)
        if tombstone is not None and state.sequence <= tombstone.state.sequence:
            return []
        if state.status is PeerStatus.GONE:
            self.tombstones[incarnation] = Tombstone(state, now_s)
            return [PeerChange(PeerChangeKind.GONE, state.info)]
        self.tombstones.pop(incarnation, None)
        peer = PeerRecord(
            info=state.info,
            status=state.status,
            sequence=state.sequence,
            sequence_advanced_s=now_s,
            status_changed_s=now_s,
            timeout_s=self._settings.suspect_after_s,
            last_direct_s=now_s if direct else None,
            confirmed=confirmed,
        )
        self.peers[state.info.instance] = peer
        return self._record_change(peer, now_s)

    def _update_record(
        self, peer: PeerRecord, state: PeerState, now_s: float, *, direct: bool
    ) -> list[PeerChange]:
        if state.info.generation > peer.info.generation:
            peer.info = dataclasses.replace(peer.info, generation=state.info.generation)
            self.revision += 1
        if not self._supersedes(peer, state, now_s):
            return []
        if state.sequence > peer.sequence:
            peer.sequence = state.sequence
            peer.sequence_advanced_s = now_s
        if direct:
            peer.last_direct_s = now_s
            peer.timeout_s = self._settings.suspect_after_s
        return self._change_status(peer, state.status, now_s, direct=direct)

    def _change_status(
        self, peer: PeerRecord, status: PeerStatus, now_s: float, *, direct: bool
    ) -> list[PeerChange]:
        if status is peer.status:
            return []
        if status is PeerStatus.GONE:
            return self._remove(peer, now_s)
        if peer.status is PeerStatus.LEAVING:
            return []
        if peer.status is PeerStatus.SUSPECT and not direct:
            # Other nodes receive heartbeats from this peer while this node does not, so its timeout
            # is doubled before the next suspicion.
            peer.timeout_s = min(peer.timeout_s * 2, self._settings.forget_after_s)
        peer.status = status
        return self._record_change(peer, now_s)

    def _supersedes(self, peer: PeerRecord, state: PeerState, now_s: float) -> bool:
        if state.sequence < peer.sequence:
            return False
        if state.sequence == peer.sequence and state.status.value <= peer.status.value:
            return False
        if state.status in (PeerStatus.SUSPECT, PeerStatus.GONE) and peer.last_direct_s is not None:
            # Recent heartbeats from the peer itself take precedence over the reports of others.
            return now_s - peer.last_direct_s > self._settings.suspect_after_s
        return True

    def _is_timed_out(self, peer: PeerRecord, now_s: float) -> bool:
        elapsed_s = now_s - peer.sequence_advanced_s
        if self.is_full_mesh:
            return elapsed_s > peer.timeout_s
        if peer.monitored_since_s is None:
            return elapsed_s > UNMONITORED_TIMEOUT_FACTOR * self._settings.forget_after_s
        if peer.last_direct_s is None or peer.last_direct_s < peer.monitored_since_s:
            return now_s - peer.monitored_since_s > NEW_NEIGHBOUR_TIMEOUT_FACTOR * peer.timeout_s
        return min(now_s - peer.last_direct_s, elapsed_s) > peer.timeout_s

    def _handle_timeout(self, peer: PeerRecord, now_s: float) -> list[PeerChange]:
        if peer.status is PeerStatus.LEAVING:
            return self._remove(peer, now_s)
        if peer.status is PeerStatus.ALIVE:
            peer.status = PeerStatus.SUSPECT
            return self._record_change(peer, now_s)
        if now_s - peer.status_changed_s > self._settings.forget_after_s:
            return self._remove(peer, now_s)
        return []

    def _remove(self, peer: PeerRecord, now_s: float) -> list[PeerChange]:
        peer.status = PeerStatus.GONE
        self.tombstones[peer.info.incarnation] = Tombstone(peer.state, now_s)
        del self.peers[peer.info.instance]
        return self._record_change(peer, now_s)

    def _record_change(self, peer: PeerRecord, now_s: float) -> list[PeerChange]:
        peer.status_changed_s = now_s
        self.revision += 1
        self.gossip.enqueue_change(peer.info.instance, len(self.peers))
        return [PeerChange(_CHANGE_KIND_BY_STATUS[peer.status], peer.info)]

    def _drop_expired_tombstones(self, now_s: float) -> None:
        limit_s = TOMBSTONE_RETENTION_FACTOR * self._settings.forget_after_s
        old = [
            key for key, tombstone in self.tombstones.items() if now_s - tombstone.gone_s > limit_s
        ]
        for key in old:
            del self.tombstones[key]


def incarnation_order(info: PeerInfo) -> tuple[int, str]:
    """Return the sort key of incarnations under one instance name; a later one compares higher."""
    return (info.generation, info.incarnation)
