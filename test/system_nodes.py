"""One node of the system test: the real decision code, driven in virtual time.

A killed node loses all state. A frozen node handles nothing until it resumes, and then everything
that arrived in the meantime, in order.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from entry_fixtures import node_settings
from system_calls import ClaimCalls, UpstreamCalls
from system_oracle import CallerRecord, Oracle
from system_platform import FakePlatform
from system_upstreams import Connection, FakeUpstream
from system_world import Step, World

from lentilchute.document import ServiceDocument, UpstreamGroup
from lentilchute.entry import actions as ea
from lentilchute.entry.local_share import LocalUpstream
from lentilchute.entry.requests import EntryRequests
from lentilchute.ids import (
    AvailabilityZone,
    IncarnationId,
    InstanceId,
    ShardId,
    UpstreamId,
    service_of,
    shard_id,
)
from lentilchute.peers.heartbeats import PeerAddress, PeerChangeKind, PeerInfo
from lentilchute.peers.membership import Membership
from lentilchute.peers.roles import Role
from lentilchute.scheduler.shard import ShardScheduler
from lentilchute.scheduler.tickets import Decision, Grant
from lentilchute.state.claims import ClaimRegistry
from lentilchute.upstream.adapters import Upstream

TICK_S = 0.1
HEARTBEAT_S = 0.5
LIST_POLL_S = 1.0
CALLER_ACTIONS = (ea.SendHead, ea.SendPart, ea.SendEnd, ea.SendRefusal, ea.BreakAnswer)


class Group(Protocol):
    """The parts of the system that a node uses."""

    world: World
    platform: FakePlatform
    oracle: Oracle
    upstreams: dict[str, FakeUpstream]
    documents: dict[str, ServiceDocument]
    nodes: dict[str, "SimNode"]

    def check_shed(self, record: CallerRecord) -> None: ...


class SimNode(UpstreamCalls, ClaimCalls):
    """One entry instance over its incarnations."""

    def __init__(self, name: str, group: Group) -> None:
        self.name = InstanceId(name)
        self.group = group
        self.world = group.world
        self.incarnation_number = 0
        self.is_up = False
        self.is_stopping = False
        self.ended_by_stop = False
        self.frozen_until_s = 0.0
        self.settings = node_settings(name, max_held_body_bytes=200)

    # The process.

    def start(self) -> None:
        """Start a new incarnation of the process."""
        self.incarnation_number += 1
        self.is_up = True
        self.ended_by_stop = False
        self.is_stopping = False
        now_s = self.world.now_s
        incarnation = IncarnationId(f"{self.name}.{self.incarnation_number}")
        rng = random.Random(self.world.rng.random())
        self.entry = EntryRequests(incarnation, self.settings, rng)
        self.claims = ClaimRegistry(incarnation, self.settings.claims, rng, now_s, 0.0)
        self.membership = Membership(
            self._info(incarnation), self.settings.membership, rng, now_s, self._seeds()
        )
        self.schedulers: dict[ShardId, ShardScheduler] = {}
        self.connections: dict[str, Connection] = {}
        self.leaving: set[str] = set()
        for document in self.group.documents.values():
            self.entry.set_local_share(document.name, _local_share(document))
        # A node reads the instance list before it schedules or dispatches anything.
        self._poll_list()
        self._every(TICK_S, self._tick)
        self._every(HEARTBEAT_S, self._heartbeat)
        self._every(LIST_POLL_S, self._poll_list)

    def kill(self) -> None:
        """Kill the process without a planned stop."""
        self.is_up = False
        self.frozen_until_s = 0.0
        for connection in self.connections.values():
            connection.is_open = False
        self.group.oracle.node_died(self.name)

    def guard(self, step: Step) -> Step:
        """Bind a step to this incarnation: drop it after the end, defer it while frozen."""
        incarnation_number = self.incarnation_number

        def guarded() -> None:
            if not self.is_up or self.incarnation_number != incarnation_number:
                return
            if self.world.now_s < self.frozen_until_s:
                self.world.at(self.frozen_until_s, guarded)
            else:
                step()

        return guarded

    def _every(self, interval_s: float, step: Step) -> None:
        def again() -> None:
            step()
            self.world.after(interval_s, self.guard(again))

        self.world.after(self.world.rng.uniform(0.0, interval_s), self.guard(again))

    def _info(self, incarnation: IncarnationId) -> PeerInfo:
        return PeerInfo(
            instance=self.name,
            incarnation=incarnation,
            generation=self.incarnation_number,
            address=self.name,
            callers_address=self.name,
            zone=AvailabilityZone("zone-1"),
            region="region-1",
            roles=tuple(Role),
        )

    def _seeds(self) -> list[PeerAddress]:
        return [PeerAddress(InstanceId(name), name) for name in self.group.nodes]

    # Time.

    def _tick(self) -> None:
        now_s = self.world.now_s
        self.execute(self.entry.tick(now_s))
        self.execute_claims(self.claims.tick(now_s))
        for shard, scheduler in self.schedulers.items():
            self.send_decisions(shard, scheduler.tick(now_s))
        for change in self.membership.tick(now_s):
            self._peer_changed(change)
        if self.is_stopping and self.entry.is_idle(now_s) and self.claims.is_idle:
            self._exit()

    def _exit(self) -> None:
        self.world.count("planned stop ended")
        open_records = self.group.oracle.open_at(self.name)
        assert (
            not open_records
        ), f"planned stop of {self.name} left requests unanswered: {open_records}"
        self.is_up = False
        self.ended_by_stop = True

    def _heartbeat(self) -> None:
        now_s = self.world.now_s
        for outgoing in self.membership.heartbeat(now_s):
            beat = outgoing.heartbeat
            self.send_to(outgoing.instance, lambda peer, beat=beat: peer.receive_heartbeat(beat))
        self._update_scheduler_order()
        for shard, scheduler in self.schedulers.items():
            for verdict in scheduler.pop_new_verdicts():
                for name in self.group.nodes:
                    self.send_to(name, _verdict_message(shard, verdict))

    def receive_heartbeat(self, beat: Any) -> None:
        """Handle a peer's heartbeat."""
        for change in self.membership.received(beat, self.world.now_s):
            self._peer_changed(change)

    def _peer_changed(self, change: Any) -> None:
        now_s = self.world.now_s
        if change.kind in (PeerChangeKind.SUSPECT, PeerChangeKind.GONE):
            for shard, scheduler in self.schedulers.items():
                self.send_decisions(shard, scheduler.remove_entry(change.info.instance, now_s))
        if change.kind is PeerChangeKind.GONE:
            self.execute_claims(self.claims.incarnation_gone(change.info.incarnation, now_s))
        self._update_scheduler_order()

    def _update_scheduler_order(self) -> None:
        now_s = self.world.now_s
        for document in self.group.documents.values():
            shard = shard_id(document.name)
            order = self.membership.scheduler_order(shard, now_s)
            self.execute(self.entry.set_scheduler_order(shard, order, now_s))

    def _poll_list(self) -> None:
        listed = self.group.platform.listed_leaving()
        for name in listed - self.leaving:
            self._mark_leaving(name)
        for name in self.leaving - listed:
            self._mark_returned(name)

    def _mark_leaving(self, name: str) -> None:
        self.leaving.add(name)
        self.entry.upstream_leaving(UpstreamId(name))
        for shard, scheduler in self.schedulers.items():
            self.send_decisions(shard, scheduler.mark_leaving(UpstreamId(name), self.world.now_s))

    def _mark_returned(self, name: str) -> None:
        self.leaving.discard(name)
        self.entry.upstream_returned(UpstreamId(name))
        for shard, scheduler in self.schedulers.items():
            document = self.group.documents[service_of(shard)]
            if document.group_of(UpstreamId(name)) is not None:
                scheduler.remove_upstream(UpstreamId(name), self.world.now_s)
                self._add_upstream(shard, scheduler, document.upstreams[0], name)

    def stop(self) -> None:
        """Start a planned stop."""
        self.is_stopping = True
        self.membership.leave(self.world.now_s)
        self.execute(self.entry.stop(self.world.now_s))
        self.execute_claims(self.claims.stop(self.world.now_s))

    # Callers.

    def accept(self, record: CallerRecord, request: ea.AcceptedRequest) -> None:
        """Accept a caller's request."""
        now_s = self.world.now_s
        request_id, actions = self.entry.accept(request, now_s)
        self.group.oracle.accepted(record, request_id, now_s)
        self.execute(actions)

    def caller_disconnected(self, record: CallerRecord) -> None:
        """Notify the entry that a caller closed its connection."""
        if record.request_id is not None:
            self.execute(self.entry.caller_gone(record.request_id, self.world.now_s))

    # Other nodes.

    def send_to(self, name: str, message: Callable[["SimNode"], None]) -> None:
        """Send a message to a node, which may be this one."""
        target = self.group.nodes.get(name)
        if target is None:
            return
        if target is self:
            self.world.after(0.0, self.guard(lambda: message(self)))
            return
        self.world.send(self.name, name, lambda: target.guard(lambda: message(target))())

    def scheduler(self, shard: ShardId) -> ShardScheduler:
        """Return this node's scheduler of a shard, created on first use."""
        if shard not in self.schedulers:
            document = self.group.documents[service_of(shard)]
            rng = random.Random(self.world.rng.random())
            created = ShardScheduler(
                shard, document, self.settings.scheduler, rng, self.world.now_s
            )
            self.schedulers[shard] = created
            for member in document.upstreams[0].members:
                self._add_upstream(shard, created, document.upstreams[0], member.name)
        return self.schedulers[shard]

    def _add_upstream(
        self, shard: ShardId, scheduler: ShardScheduler, group: UpstreamGroup, name: str
    ) -> None:
        upstream = Upstream(UpstreamId(name), name, "zone-1", group.kind)
        self.send_decisions(shard, scheduler.add_upstream(upstream, group, self.world.now_s))
        if name in self.leaving:
            self.send_decisions(shard, scheduler.mark_leaving(UpstreamId(name), self.world.now_s))

    def send_to_scheduler(self, action: ea.SchedulerAction) -> None:
        """Send an entry's action to its scheduler, which acknowledges it."""
        sender = self.name

        def arrive(peer: SimNode) -> None:
            now_s = peer.world.now_s
            peer.send_decisions(
                action.shard, _apply_action(peer.scheduler(action.shard), action, sender, now_s)
            )
            peer.send_to(
                sender, lambda entry: entry.entry.record_scheduler_reply(action.shard, peer.name)
            )

        self.send_to(action.scheduler, arrive)

    def send_decisions(self, shard: ShardId, decisions: Iterable[Decision]) -> None:
        """Send a scheduler's decisions to the entries."""
        for decision in decisions:
            self._send_decision(shard, decision)

    def _send_decision(self, shard: ShardId, decision: Decision) -> None:
        sender = self.name
        if isinstance(decision, Grant):
            self.world.count("grant")
            self.send_to(
                decision.entry,
                lambda peer: peer.execute(
                    peer.entry.granted(shard, decision, sender, peer.world.now_s)
                ),
            )
            return
        record = self.group.oracle.by_request.get(decision.request_id)
        if record is not None:
            record.shed_s = self.world.now_s
            record.shed_by = sender
        self.send_to(
            decision.entry,
            lambda peer: peer.execute(peer.entry.refused(decision, sender, peer.world.now_s)),
        )

    # Actions of the entry.

    def execute(self, actions: Iterable[ea.EntryAction]) -> None:
        """Execute the actions that the entry returned."""
        for action in actions:
            self._execute_one(action)

    def _execute_one(self, action: ea.EntryAction) -> None:
        if isinstance(action, ea.SubmitTicket):
            submitted = self.group.oracle.by_request.get(action.ticket.request_id)
            if submitted is not None:
                submitted.waiting_since_s = self.world.now_s
        if isinstance(action, ea.SchedulerAction):
            self.send_to_scheduler(action)
        elif isinstance(action, ea.ClaimsAction):
            self._execute_claim_action(action)
        elif isinstance(action, CALLER_ACTIONS):
            self._send_to_caller(action)
        elif isinstance(action, ea.SendUpstream):
            self._open(action.request.request_id, action.upstream, lambda: self._send(action))
        elif isinstance(action, ea.ResumeUpstream):
            self._open(action.request_id, action.upstream, lambda: self._resume(action))
        elif isinstance(action, ea.CancelUpstream):
            self._close(action.request_id)
            upstream = self.group.upstreams[action.upstream]
            self.world.after(self.world.latency_s(), lambda: upstream.cancel(action.request_id))
        else:
            self.world.count(type(action).__name__)

    def _send_to_caller(self, action: Any) -> None:
        record = self.group.oracle.by_request[action.request_id]
        if record.end is not None or record.has_disconnected:
            return
        self.group.oracle.caller_received(action, action.request_id)
        if isinstance(action, ea.SendRefusal):
            self.group.check_shed(record)

    def _execute_claim_action(self, action: ea.ClaimsAction) -> None:
        now_s = self.world.now_s
        if isinstance(action, ea.ClaimKey):
            self.execute_claims(self.claims.claim(action.claim, now_s))
        elif isinstance(action, ea.ReleaseKey):
            self.execute_claims(self.claims.release(action.request_id, now_s))
        elif isinstance(action, ea.KeepAnswer):
            self.execute_claims(self.claims.finished(action.request_id, action.kept, now_s))
        else:
            self.world.count("key abandoned with unknown outcome")
            self.claims.abandoned(action.request_id)


def _apply_action(
    scheduler: ShardScheduler, action: ea.SchedulerAction, entry: InstanceId, now_s: float
) -> list[Decision]:
    if isinstance(action, ea.SubmitTicket):
        return scheduler.submit(action.ticket, now_s)
    if isinstance(action, ea.WithdrawTicket):
        return scheduler.withdraw(action.request_id, now_s)
    if isinstance(action, ea.DeclineGrant):
        return scheduler.declined(action.grant.request_id, action.grant.attempt, now_s)
    if isinstance(action, ea.ReportDispatched):
        return scheduler.dispatched(action.request_id, action.attempt, action.upstream, now_s)
    if isinstance(action, ea.ReportProgress):
        scheduler.progress(action.request_id, action.output_tokens, now_s)
        return []
    if isinstance(action, ea.ReportEnded):
        cached = action.cached_prompt_tokens
        return scheduler.ended(action.request_id, action.end, cached, now_s)
    return scheduler.refresh(entry, list(action.waiting), list(action.in_flight), now_s)


def _verdict_message(shard: ShardId, verdict: Any) -> Callable[[SimNode], None]:
    def apply_verdict(peer: SimNode) -> None:
        decisions = peer.scheduler(shard).apply_peer_verdict(verdict, peer.world.now_s)
        peer.send_decisions(shard, decisions)

    return apply_verdict


def _local_share(document: ServiceDocument) -> tuple[LocalUpstream, ...]:
    members = document.upstreams[0].members
    return tuple(LocalUpstream(UpstreamId(member.name), 1) for member in members)
