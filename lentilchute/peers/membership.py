"""Failure detector and membership list of one node; free of I/O.

Nodes exchange heartbeats. In a small group each node sends to all others and judges each peer by
the heartbeats that it receives from it and by the reports of others. In a larger group a node
sends to its neighbours on a hash ring and to one of its partners, each in turn: the neighbours
detect its failure and changes spread by gossip with the heartbeats, so that traffic per node does
not grow with the number of nodes. The partners are the peers at distances of powers of two on the
ring, so that the number of links of a node grows with the logarithm of the number of nodes.

Time during which this process was paused does not count towards a peer's timeout. After a long
pause a peer counts as alive only once it is reported alive by a heartbeat, its own or another
peer's, whose sender has received a heartbeat of this node since the pause.
"""

import dataclasses
import random
from collections.abc import Iterable

from ..ids import IncarnationId, InstanceId, ShardId
from .hash_ring import Direction, HashRing
from .heartbeats import (
    Heartbeat,
    OutgoingHeartbeat,
    PeerAddress,
    PeerChange,
    PeerChangeKind,
    PeerInfo,
    PeerState,
    PeerStatus,
)
from .rendezvous import rendezvous_order
from .roles import Role
from .settings import MembershipSettings
from .view import PeerRecord, PeerView, incarnation_order

JOIN_WINDOW_S = 10.0
"""How long after the first reply from a peer a node may still raise its generation above that of
another incarnation under its name. Never allowed after a long pause, during which the node may have
been replaced."""
VIEW_REQUESTS_PER_ROUND = 2
"""A node that needs a full view requests it from this many peers with each round of heartbeats."""


class Membership:
    """Membership as one node sees it; call ``tick`` and ``heartbeat`` at the heartbeat interval.

    Addresses in ``seeds`` are always retried, other addresses only while the platform lists them.
    """

    def __init__(
        self,
        self_info: PeerInfo,
        settings: MembershipSettings,
        rng: random.Random,
        now_s: float,
        seeds: Iterable[PeerAddress] = (),
    ) -> None:
        self._info = self_info
        self._settings = settings
        self._rng = rng
        self._first_reply_s: float | None = None
        self._last_call_s = now_s
        self._status = PeerStatus.ALIVE
        self._sequence = 0
        self._resume_sequence = 0
        self._may_raise_generation = True
        self._wants_view = True
        self._is_replaced = False
        self._digest = 0
        self._is_ready = False
        self._view = PeerView(settings)
        self._seeds = {seed.instance: seed.address for seed in seeds}
        self._listed: dict[InstanceId, str] = {}
        self._reply_to: dict[InstanceId, str] = {}
        self._view_requesters: set[InstanceId] = set()
        self._ring = HashRing(())
        self._partners: list[InstanceId] = []
        self._ring_revision = 0
        self._alive: tuple[PeerInfo, ...] = ()
        self._alive_basis: tuple[int, PeerInfo, PeerStatus, bool] | None = None
        """What ``_alive`` was computed from."""

    @property
    def info(self) -> PeerInfo:
        """Information about this node, with its current generation."""
        return self._info

    @property
    def is_replaced(self) -> bool:
        """Whether a later incarnation under this node's name has been seen."""
        return self._is_replaced

    @property
    def is_unconfirmed(self) -> bool:
        """True from the end of a long pause until a peer has sent this node a full view."""
        return self._resume_sequence > 0 and self._wants_view

    def set_configuration(self, digest: int, *, ready: bool) -> None:
        """Set the configuration state that the next heartbeats report."""
        self._digest = digest
        self._is_ready = ready

    def leave(self, now_s: float) -> None:
        """Announce a planned stop of this node with the next heartbeats."""
        self._detect_pause(now_s)
        self._status = PeerStatus.LEAVING

    def set_listed_peers(self, addresses: Iterable[PeerAddress], now_s: float) -> None:
        """Set the addresses that the platform lists; they don't affect whether a peer is alive."""
        self._detect_pause(now_s)
        self._listed = {item.instance: item.address for item in addresses}

    def alive(self, now_s: float) -> tuple[PeerInfo, ...]:
        """Return the live nodes, including this one unless it is leaving or replaced."""
        self._detect_pause(now_s)
        basis = (self._view.revision, self._info, self._status, self._is_replaced)
        if basis != self._alive_basis:
            self._alive_basis = basis
            self._alive = self._live_nodes()
        return self._alive

    def _live_nodes(self) -> tuple[PeerInfo, ...]:
        found = [peer.info for peer in self._view.peers.values() if peer.is_confirmed_alive]
        if self._status is PeerStatus.ALIVE and not self._is_replaced:
            found.append(self._info)
        return tuple(sorted(found, key=lambda info: info.instance))

    def present(self) -> tuple[PeerInfo, ...]:
        """Return the peers that may still respond: alive, suspected or leaving."""
        return tuple(peer.info for peer in self._view.peers.values())

    def address_of(self, instance: InstanceId) -> str | None:
        """Return the peer address of an instance that may still respond, or ``None``."""
        peer = self._view.peers.get(instance)
        return None if peer is None else peer.info.address

    def incarnation_of(self, instance: InstanceId) -> IncarnationId | None:
        """Return the incarnation of an instance that may still respond, or ``None``."""
        peer = self._view.peers.get(instance)
        return None if peer is None else peer.info.incarnation

    def is_present(self, incarnation: IncarnationId) -> bool:
        """Return whether this incarnation is among the peers that may still respond."""
        return any(info.incarnation == incarnation for info in self.present())

    def is_teller_of(self, instance: InstanceId) -> bool:
        """Return whether this node is one of the few that tell a peer what it missed: in a small
        group all, in a larger one its neighbours on the ring, as this node sees it.

        A node that knows fewer peers takes itself for a neighbour of more of them.
        """
        if self._view.is_full_mesh:
            return True
        return any(instance in self._neighbours(direction) for direction in Direction)

    def scheduler_order(self, shard: ShardId, now_s: float) -> tuple[InstanceId, ...]:
        """Return the nodes that may schedule ``shard``, in order of preference.

        Nodes with which this one cannot exchange heartbeats in both directions come last, since
        grants or tickets would be lost.
        """
        names = [info.instance for info in self.alive(now_s) if Role.SCHEDULER in info.roles]
        order = [InstanceId(name) for name in rendezvous_order(shard, names)]
        return tuple(sorted(order, key=lambda name: self.is_link_down(name, now_s)))

    def is_link_down(self, name: InstanceId, now_s: float) -> bool:
        """Return whether heartbeats to or from a peer are being lost; false in a large group."""
        peer = self._view.peers.get(name)
        if peer is None or not self._view.is_full_mesh:
            return False
        limit_s = 2 * self._settings.suspect_after_s
        if peer.last_echo_s is None or peer.last_direct_s is None:
            return now_s - peer.status_changed_s > limit_s
        return now_s - min(peer.last_echo_s, peer.last_direct_s) > limit_s

    def heartbeat(self, now_s: float) -> list[OutgoingHeartbeat]:
        """Return the next round of heartbeats, to a bounded number of peers."""
        self._detect_pause(now_s)
        if self._is_replaced:
            return []
        self._sequence += 1
        targets = self._targets()
        view_sources: set[InstanceId] = set()
        if self._wants_view or self._view.has_unknown_incarnation:
            view_sources.update(
                self._rng.sample(sorted(targets), min(VIEW_REQUESTS_PER_ROUND, len(targets)))
            )
        outgoing = [
            OutgoingHeartbeat(
                name, address, self._heartbeat_to(name, now_s, wants_view=name in view_sources)
            )
            for name, address in [*targets.items(), *self._replies(targets)]
        ]
        self._view_requesters.clear()
        self._reply_to.clear()
        return outgoing

    def received(self, heartbeat: Heartbeat, now_s: float) -> list[PeerChange]:
        """Process a peer's heartbeat; duplicate and reordered heartbeats have no effect."""
        self._detect_pause(now_s)
        sender = heartbeat.sender
        if sender.info.incarnation == self._info.incarnation:
            return []
        changes = self._merge(sender, now_s, direct=True)
        reported = [
            change
            for state in heartbeat.states
            for change in self._merge(state, now_s, direct=False)
        ]
        changes += reported
        if heartbeat.is_view and self._is_joining(now_s):
            # What a new node learns from a view is new to few others.
            for change in reported:
                self._view.gossip.shorten(change.info.instance)
        self._record_sender(heartbeat, now_s)
        if self.is_fresh(heartbeat):
            self._first_reply_s = now_s if self._first_reply_s is None else self._first_reply_s
            self._confirm_peers(heartbeat)
        return changes

    def is_fresh(self, heartbeat: Heartbeat) -> bool:
        """Return whether the sender had received a heartbeat of this incarnation before sending.

        After a long pause of this node, only its heartbeats sent since the pause count.
        """
        first = max(self._resume_sequence, 1)
        return first <= heartbeat.heard <= self._sequence

    def tick(self, now_s: float) -> list[PeerChange]:
        """Suspect peers that have timed out, and remove those suspected for too long."""
        self._detect_pause(now_s)
        if not self._view.is_full_mesh:
            self._update_monitored(now_s)
        return self._view.check_timeouts(now_s)

    def _targets(self) -> dict[InstanceId, str]:
        targets: dict[InstanceId, str] = {}
        for name in [*self._regular_targets(), *sorted(self._view_requesters)]:
            if name in self._view.peers:
                targets[name] = self._view.peers[name].info.address
        for name, address in self._join_targets():
            targets.setdefault(name, address)
        return targets

    def _replies(self, targets: dict[InstanceId, str]) -> list[tuple[InstanceId, str]]:
        """Return the replies to incarnations other than the known one under their name."""
        return [item for item in self._reply_to.items() if targets.get(item[0]) != item[1]]

    def _regular_targets(self) -> list[InstanceId]:
        known = list(self._view.peers)
        if self._view.is_full_mesh:
            return known
        return [*self._neighbours(Direction.FORWARDS), self._next_partner()]

    def _join_targets(self) -> list[tuple[InstanceId, str]]:
        """Return a few unknown nodes: those that would be partners, and one at random."""
        known_addresses = {**self._listed, **self._seeds}
        unknown = {
            name: address
            for name, address in sorted(known_addresses.items())
            if name not in self._view.peers and name != self._info.instance
        }
        if not unknown:
            return []
        ring = HashRing([*self._view.peers, *unknown])
        partners = [name for name in ring.partners(self._info.instance) if name in unknown]
        count = min(len(partners), self._settings.fanout - 1)
        chosen = {*self._rng.sample(partners, count), self._rng.choice(list(unknown))}
        return [(name, unknown[name]) for name in sorted(chosen)]

    def _heartbeat_to(self, name: InstanceId, now_s: float, *, wants_view: bool) -> Heartbeat:
        peer = self._view.peers.get(name)
        own_state = PeerState(self._info, self._status, self._sequence)
        return Heartbeat(
            sender=own_state.abbreviated() if self._is_acknowledged_by(peer, now_s) else own_state,
            heard=0 if peer is None else peer.sequence,
            digest=self._digest,
            ready=self._is_ready,
            wants_view=wants_view,
            is_view=name in self._view_requesters,
            states=self._states_for(name),
        )

    def _is_acknowledged_by(self, peer: PeerRecord | None, now_s: float) -> bool:
        """Return whether a peer has recently acknowledged a heartbeat of this incarnation."""
        if peer is None or peer.last_echo_s is None:
            return False
        return now_s - peer.last_echo_s <= self._settings.suspect_after_s

    def _states_for(self, receiver: InstanceId) -> tuple[PeerState, ...]:
        if receiver in self._view_requesters:
            return self._reported_states(list(self._view.peers))
        others = [name for name in self._view.peers if name != receiver]
        changed = [name for name in self._view.gossip.next_changes() if name != receiver]
        rotated = [
            name for name in self._view.gossip.next_in_rotation(others) if name not in changed
        ]
        states = [*self._reported_states(changed)]
        states += [state.abbreviated() for state in self._reported_states(rotated)]
        if receiver in self._reply_to and receiver in self._view.peers:
            # The existence of another incarnation under the receiver's name is reported even when
            # that incarnation is unconfirmed.
            states.append(self._view.peers[receiver].state)
        return tuple(states)

    def _reported_states(self, names: list[InstanceId]) -> tuple[PeerState, ...]:
        states = [self._view.reported_state(name) for name in names]
        return tuple(state for state in states if state is not None)

    def _record_sender(self, heartbeat: Heartbeat, now_s: float) -> None:
        sender = heartbeat.sender.info
        peer = self._view.peers.get(sender.instance)
        if peer is None or peer.info.incarnation != sender.incarnation:
            # The reply informs an older incarnation, or one whose clock is behind, of the one that
            # replaced it. An abbreviated heartbeat has no address; its sender includes the address
            # again when its heartbeats are no longer acknowledged.
            if sender.address:
                self._reply_to[sender.instance] = sender.address
            return
        if heartbeat.wants_view:
            self._view_requesters.add(sender.instance)
        # A sequence above that of this incarnation acknowledges an earlier one under its name.
        if peer.echoed_sequence < heartbeat.heard <= self._sequence:
            peer.echoed_sequence = heartbeat.heard
            peer.last_echo_s = now_s

    def _confirm_peers(self, heartbeat: Heartbeat) -> None:
        if heartbeat.is_view:
            self._wants_view = False
            self._view.has_unknown_incarnation = False
        alive = [state for state in heartbeat.states if state.status is PeerStatus.ALIVE]
        for state in [heartbeat.sender, *alive]:
            peer = self._view.peers.get(state.info.instance)
            if peer is None or peer.info.incarnation != state.info.incarnation:
                continue
            if not peer.confirmed:
                peer.confirmed = True
                self._view.revision += 1

    def _merge(self, state: PeerState, now_s: float, *, direct: bool) -> list[PeerChange]:
        if state.info.instance == self._info.instance:
            return self._resolve_name_conflict(state, now_s)
        return self._view.merge(state, now_s, direct=direct, confirmed=not self.is_unconfirmed)

    def _resolve_name_conflict(self, state: PeerState, now_s: float) -> list[PeerChange]:
        if state.info.incarnation == self._info.incarnation:
            return []
        if incarnation_order(state.info) < incarnation_order(self._info):
            return self._view.record_superseded(state, now_s)
        if self._is_joining(now_s):
            later = state.info.generation + 1
            self._info = dataclasses.replace(self._info, generation=later)
            return self._view.record_superseded(state, now_s)
        if self._is_replaced:
            return []
        self._is_replaced = True
        return [PeerChange(PeerChangeKind.SELF_REPLACED, state.info)]

    def _is_joining(self, now_s: float) -> bool:
        if not self._may_raise_generation:
            return False
        return self._first_reply_s is None or now_s - self._first_reply_s <= JOIN_WINDOW_S

    def _detect_pause(self, now_s: float) -> None:
        gap_s = now_s - self._last_call_s
        self._last_call_s = max(now_s, self._last_call_s)
        if gap_s <= 2 * self._settings.heartbeat_interval_s:
            return
        for peer in self._view.peers.values():
            peer.shift_times(gap_s)
        if gap_s > self._settings.pause_limit_s:
            self._mark_view_stale()

    def _mark_view_stale(self) -> None:
        self._may_raise_generation = False
        self._wants_view = True
        self._resume_sequence = self._sequence + 1
        for peer in self._view.peers.values():
            peer.confirmed = False
        self._view.revision += 1

    def _update_monitored(self, now_s: float) -> None:
        monitored = set(self._neighbours(Direction.BACKWARDS))
        for name, peer in self._view.peers.items():
            if name not in monitored:
                peer.monitored_since_s = None
            elif peer.monitored_since_s is None:
                peer.monitored_since_s = now_s

    def _neighbours(self, direction: Direction) -> list[InstanceId]:
        self._update_rings()
        return self._ring.neighbours(self._info.instance, direction, self._settings.fanout - 1)

    def _next_partner(self) -> InstanceId:
        """Return the partner whose turn it is, from those that are not neighbours too."""
        neighbours = self._neighbours(Direction.FORWARDS)
        partners = [name for name in self._partners if name not in neighbours] or neighbours
        return partners[self._sequence % len(partners)]

    def _update_rings(self) -> None:
        if self._ring_revision == self._view.revision:
            return
        self._ring_revision = self._view.revision
        peers = self._view.peers.items()
        self._ring = HashRing(name for name, peer in peers if peer.status is not PeerStatus.SUSPECT)
        # Suspected peers stay partners, so that nodes find each other again after a cut.
        self._partners = HashRing(self._view.peers).partners(self._info.instance)
