"""What one node believes about its peers: merging reports, and judging silence.

A report counts by its incarnation's generation, then by its sequence, then by its status. An
incarnation that is gone is remembered for a while, so that an old report does not bring it back.
"""

import dataclasses
from dataclasses import dataclass

from ..ids import IncarnationId, InstanceId
from ..settings import MembershipSettings
from .gossip import GossipQueue
from .heartbeats import PeerChange, PeerChangeKind, PeerInfo, PeerState, PeerStatus

UNWATCHED_FACTOR = 3.0
"""A new neighbour on the ring has this many times ``suspect_after_s`` for its first heartbeat."""
SILENT_FACTOR = 4.0
"""A peer of which nothing was heard at all for this many ``forget_after_s`` is suspected."""
TOMBSTONE_FACTOR = 10.0
"""A gone incarnation is remembered for this many ``forget_after_s``."""

_KIND_OF_STATUS = {
    PeerStatus.ALIVE: PeerChangeKind.ALIVE,
    PeerStatus.SUSPECT: PeerChangeKind.SUSPECT,
    PeerStatus.LEAVING: PeerChangeKind.LEAVING,
    PeerStatus.GONE: PeerChangeKind.GONE,
}


@dataclass(slots=True)
class PeerRecord:
    """What this node knows about the current incarnation of one peer."""

    info: PeerInfo
    status: PeerStatus
    sequence: int
    heard_s: float
    """When a higher sequence last arrived, from the peer or by way of another."""
    changed_s: float
    patience_s: float
    direct_s: float | None
    """When the peer's own last heartbeat arrived."""
    confirmed: bool
    """False from the end of a pause of this node until a fresh heartbeat vouches for the peer."""
    watched_since_s: float | None = None
    echoed: int = 0
    """Highest sequence of this node that the peer has returned."""
    echo_s: float | None = None

    @property
    def state(self) -> PeerState:
        """The report that travels with heartbeats."""
        return PeerState(self.info, self.status, self.sequence)

    @property
    def counts_as_alive(self) -> bool:
        """Whether the peer may be given work."""
        return self.status is PeerStatus.ALIVE and self.confirmed

    def shift(self, gap_s: float) -> None:
        """Move the times past a pause of this node, in which nothing could be heard."""
        self.heard_s += gap_s
        self.changed_s += gap_s
        if self.direct_s is not None:
            self.direct_s += gap_s
        if self.echo_s is not None:
            self.echo_s += gap_s
        if self.watched_since_s is not None:
            self.watched_since_s += gap_s


@dataclass(frozen=True, slots=True)
class Tombstone:
    """The last report on an incarnation that is gone."""

    state: PeerState
    gone_s: float


class PeerView:
    """Records of all peers and the rules by which reports change them."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self.gossip = GossipQueue(settings.change_states, settings.rotation_states)
        self.peers: dict[InstanceId, PeerRecord] = {}
        self.tombstones: dict[IncarnationId, Tombstone] = {}
        self.misses_peer = False
        """Set when a brief report names a run that is not known here."""
        self.revision = 0
        """Grows whenever a peer appears, disappears or changes its status."""

    @property
    def is_full_mesh(self) -> bool:
        """Whether the group is small enough for everyone to hear everyone."""
        return len(self.peers) < self._settings.full_mesh_nodes

    def merge(
        self, state: PeerState, now_s: float, *, direct: bool, confirmed: bool
    ) -> list[PeerChange]:
        """Take in one report; ``direct`` when it is the sender's word on itself."""
        known = self.peers.get(state.info.instance)
        if state.is_brief and self._misses(known, state):
            self.misses_peer = True
            return []
        if known is None:
            return self._add(state, now_s, direct=direct, confirmed=confirmed)
        if known.info.incarnation == state.info.incarnation:
            return self._advance(known, state, now_s, direct=direct)
        if run_order(state.info) < run_order(known.info):
            return self.bury_earlier_run(state, now_s)
        changes = self._bury(known, now_s)
        return changes + self._add(state, now_s, direct=direct, confirmed=confirmed)

    def bury_earlier_run(self, state: PeerState, now_s: float) -> list[PeerChange]:
        """Note that a run is over because a later one under its name is known."""
        if state.info.incarnation in self.tombstones:
            return []
        gone = PeerState(state.info, PeerStatus.GONE, state.sequence)
        self.tombstones[state.info.incarnation] = Tombstone(gone, now_s)
        return [PeerChange(PeerChangeKind.GONE, state.info)]

    def judge_silence(self, now_s: float) -> list[PeerChange]:
        """Suspect silent peers, and give up those suspected or leaving for long."""
        changes: list[PeerChange] = []
        for peer in list(self.peers.values()):
            if self._is_silent(peer, now_s):
                changes += self._judge_silent(peer, now_s)
        self._drop_old_tombstones(now_s)
        return changes

    def reported_state(self, name: InstanceId) -> PeerState | None:
        """Return what may be told about ``name``: nothing remembered from before a pause."""
        peer = self.peers.get(name)
        if peer is not None:
            return peer.state if peer.confirmed else None
        stones = [stone.state for stone in self.tombstones.values()]
        gone = [state for state in stones if state.info.instance == name]
        return gone[-1] if gone else None

    def _misses(self, known: PeerRecord | None, state: PeerState) -> bool:
        if known is not None:
            return run_order(state.info) > run_order(known.info) and (
                state.info.incarnation != known.info.incarnation
            )
        stone = self.tombstones.get(state.info.incarnation)
        return stone is None or state.sequence > stone.state.sequence

    def _add(
        self, state: PeerState, now_s: float, *, direct: bool, confirmed: bool
    ) -> list[PeerChange]:
        incarnation = state.info.incarnation
        stone = self.tombstones.get(incarnation)
        if stone is not None and state.sequence <= stone.state.sequence:
            return []
        if state.status is PeerStatus.GONE:
            self.tombstones[incarnation] = Tombstone(state, now_s)
            return [PeerChange(PeerChangeKind.GONE, state.info)]
        self.tombstones.pop(incarnation, None)
        peer = PeerRecord(
            info=state.info,
            status=state.status,
            sequence=state.sequence,
            heard_s=now_s,
            changed_s=now_s,
            patience_s=self._settings.suspect_after_s,
            direct_s=now_s if direct else None,
            confirmed=confirmed,
        )
        self.peers[state.info.instance] = peer
        return self._changed(peer, now_s)

    def _advance(
        self, peer: PeerRecord, state: PeerState, now_s: float, *, direct: bool
    ) -> list[PeerChange]:
        if state.info.generation > peer.info.generation:
            peer.info = dataclasses.replace(peer.info, generation=state.info.generation)
        if not self._is_news(peer, state, now_s):
            return []
        if state.sequence > peer.sequence:
            peer.sequence = state.sequence
            peer.heard_s = now_s
        if direct:
            peer.direct_s = now_s
            peer.patience_s = self._settings.suspect_after_s
        return self._change_status(peer, state.status, now_s, direct=direct)

    def _change_status(
        self, peer: PeerRecord, status: PeerStatus, now_s: float, *, direct: bool
    ) -> list[PeerChange]:
        if status is peer.status:
            return []
        if status is PeerStatus.GONE:
            return self._bury(peer, now_s)
        if peer.status is PeerStatus.LEAVING:
            return []
        if peer.status is PeerStatus.SUSPECT and not direct:
            # Others hear a peer that this node does not: wait longer before the next suspicion.
            peer.patience_s = min(peer.patience_s * 2, self._settings.forget_after_s)
        peer.status = status
        return self._changed(peer, now_s)

    def _is_news(self, peer: PeerRecord, state: PeerState, now_s: float) -> bool:
        if state.sequence < peer.sequence:
            return False
        if state.sequence == peer.sequence and state.status.value <= peer.status.value:
            return False
        if state.status in (PeerStatus.SUSPECT, PeerStatus.GONE) and peer.direct_s is not None:
            # A peer that this node hears itself is not doubted on another's word.
            return now_s - peer.direct_s > self._settings.suspect_after_s
        return True

    def _is_silent(self, peer: PeerRecord, now_s: float) -> bool:
        silent_s = now_s - peer.heard_s
        if self.is_full_mesh:
            return silent_s > peer.patience_s
        if peer.watched_since_s is None:
            return silent_s > SILENT_FACTOR * self._settings.forget_after_s
        if peer.direct_s is None or peer.direct_s < peer.watched_since_s:
            return now_s - peer.watched_since_s > UNWATCHED_FACTOR * peer.patience_s
        return min(now_s - peer.direct_s, silent_s) > peer.patience_s

    def _judge_silent(self, peer: PeerRecord, now_s: float) -> list[PeerChange]:
        if peer.status is PeerStatus.LEAVING:
            return self._bury(peer, now_s)
        if peer.status is PeerStatus.ALIVE:
            peer.status = PeerStatus.SUSPECT
            return self._changed(peer, now_s)
        if now_s - peer.changed_s > self._settings.forget_after_s:
            return self._bury(peer, now_s)
        return []

    def _bury(self, peer: PeerRecord, now_s: float) -> list[PeerChange]:
        peer.status = PeerStatus.GONE
        self.tombstones[peer.info.incarnation] = Tombstone(peer.state, now_s)
        del self.peers[peer.info.instance]
        return self._changed(peer, now_s)

    def _changed(self, peer: PeerRecord, now_s: float) -> list[PeerChange]:
        peer.changed_s = now_s
        self.revision += 1
        self.gossip.changed(peer.info.instance, len(self.peers))
        return [PeerChange(_KIND_OF_STATUS[peer.status], peer.info)]

    def _drop_old_tombstones(self, now_s: float) -> None:
        limit_s = TOMBSTONE_FACTOR * self._settings.forget_after_s
        old = [key for key, stone in self.tombstones.items() if now_s - stone.gone_s > limit_s]
        for key in old:
            del self.tombstones[key]


def run_order(info: PeerInfo) -> tuple[int, str]:
    """Return what orders the runs under one instance name: a later run compares higher."""
    return (info.generation, info.incarnation)
