"""One node of the system test: the real decision code, driven in virtual time.

A node that is killed loses everything; one that is frozen handles nothing until it wakes, and then
all that arrived meanwhile, in order.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from entry_fixtures import node_settings
from system_oracle import CallerRecord, Oracle
from system_platform import FakePlatform
from system_upstreams import Connection, FakeUpstream
from system_world import Step, World

from lentilchute import claim_actions as ca
from lentilchute import entry_actions as ea
from lentilchute.claims import ClaimBook
from lentilchute.document import ServiceDocument, UpstreamGroup
from lentilchute.entry_requests import EntryRequests
from lentilchute.ids import (
    AvailabilityZone,
    IncarnationId,
    InstanceId,
    ShardId,
    UpstreamId,
    service_of,
    shard_id,
)
from lentilchute.local_share import LocalUpstream
from lentilchute.membership import Membership
from lentilchute.peers import PeerAddress, PeerChangeKind, PeerInfo
from lentilchute.scheduler import ShardScheduler
from lentilchute.settings import Role
from lentilchute.tickets import Decision, Grant
from lentilchute.upstreams import AnswerItem, Upstream, UpstreamFault

TICK_S = 0.1
HEARTBEAT_S = 0.5
LIST_POLL_S = 1.0
QUERY_TIMEOUT_S = 1.0
MAX_CONNECT_S = 0.05
CALLER_ACTIONS = (ea.SendHead, ea.SendPart, ea.SendEnd, ea.SendRefusal, ea.BreakAnswer)


class Group(Protocol):
    """What a node needs of the system around it."""

    world: World
    platform: FakePlatform
    oracle: Oracle
    upstreams: dict[str, FakeUpstream]
    documents: dict[str, ServiceDocument]
    nodes: dict[str, "SimNode"]

    def shed(self, record: CallerRecord) -> None: ...


class SimNode:
    """One entry instance over its runs."""

    def __init__(self, name: str, group: Group) -> None:
        self.name = InstanceId(name)
        self.group = group
        self.world = group.world
        self.run = 0
        self.is_up = False
        self.is_stopping = False
        self.ended_by_stop = False
        self.frozen_until_s = 0.0
        self.settings = node_settings(name, max_held_body_bytes=200)

    # The process.

    def start(self) -> None:
        """Start a new run of the process."""
        self.run += 1
        self.is_up = True
        self.ended_by_stop = False
        self.is_stopping = False
        now_s = self.world.now_s
        incarnation = IncarnationId(f"{self.name}.{self.run}")
        rng = random.Random(self.world.rng.random())
        self.entry = EntryRequests(incarnation, self.settings, rng)
        self.claims = ClaimBook(incarnation, self.settings.claims, rng, now_s, 0.0)
        self.membership = Membership(
            self._info(incarnation), self.settings.membership, rng, now_s, self._seeds()
        )
        self.schedulers: dict[ShardId, ShardScheduler] = {}
        self.connections: dict[str, Connection] = {}
        self.leaving: set[str] = set()
        for document in self.group.documents.values():
            self.entry.set_local_share(document.name, _local_share(document))
        # A node reads the list before it schedules or sends anything.
        self._poll_list()
        self._every(TICK_S, self._tick)
        self._every(HEARTBEAT_S, self._heartbeat)
        self._every(LIST_POLL_S, self._poll_list)

    def kill(self) -> None:
        """End the process without a word."""
        self.is_up = False
        self.frozen_until_s = 0.0
        for connection in self.connections.values():
            connection.is_open = False
        self.group.oracle.node_died(self.name)

    def guard(self, step: Step) -> Step:
        """Bind a step to this run: dropped once it ended, held while the process is frozen."""
        run = self.run

        def guarded() -> None:
            if not self.is_up or self.run != run:
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
            generation=self.run,
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
        self.act(self.entry.tick(now_s))
        self.act_claims(self.claims.tick(now_s))
        for shard, scheduler in self.schedulers.items():
            self.decide(shard, scheduler.tick(now_s))
        for change in self.membership.tick(now_s):
            self._peer_changed(change)
        if self.is_stopping and self.entry.is_idle(now_s) and self.claims.is_idle:
            self._exit()

    def _exit(self) -> None:
        self.world.count("planned stop ended")
        open_records = self.group.oracle.open_at(self.name)
        assert not open_records, f"planned stop of {self.name} cut {open_records}"
        self.is_up = False
        self.ended_by_stop = True

    def _heartbeat(self) -> None:
        now_s = self.world.now_s
        for outgoing in self.membership.heartbeat(now_s):
            beat = outgoing.heartbeat
            self.tell(outgoing.instance, lambda peer, beat=beat: peer.heard_heartbeat(beat))
        self._order_schedulers()
        for shard, scheduler in self.schedulers.items():
            for verdict in scheduler.take_verdicts():
                for name in self.group.nodes:
                    self.tell(name, _learn_verdict(shard, verdict))

    def heard_heartbeat(self, beat: Any) -> None:
        """Take a peer's heartbeat."""
        for change in self.membership.received(beat, self.world.now_s):
            self._peer_changed(change)

    def _peer_changed(self, change: Any) -> None:
        now_s = self.world.now_s
        if change.kind in (PeerChangeKind.SUSPECT, PeerChangeKind.GONE):
            for shard, scheduler in self.schedulers.items():
                self.decide(shard, scheduler.forget_entry(change.info.instance, now_s))
        if change.kind is PeerChangeKind.GONE:
            self.act_claims(self.claims.incarnation_gone(change.info.incarnation, now_s))
        self._order_schedulers()

    def _order_schedulers(self) -> None:
        now_s = self.world.now_s
        for document in self.group.documents.values():
            shard = shard_id(document.name)
            order = self.membership.scheduler_order(shard, now_s)
            self.act(self.entry.set_scheduler_order(shard, order, now_s))

    def _poll_list(self) -> None:
        listed = self.group.platform.listed_leaving()
        for name in listed - self.leaving:
            self._mark_leaving(name)
        for name in self.leaving - listed:
            self._mark_back(name)

    def _mark_leaving(self, name: str) -> None:
        self.leaving.add(name)
        self.entry.upstream_leaving(UpstreamId(name))
        for shard, scheduler in self.schedulers.items():
            self.decide(shard, scheduler.mark_leaving(UpstreamId(name), self.world.now_s))

    def _mark_back(self, name: str) -> None:
        self.leaving.discard(name)
        self.entry.upstream_back(UpstreamId(name))
        for shard, scheduler in self.schedulers.items():
            document = self.group.documents[service_of(shard)]
            if document.group_of(UpstreamId(name)) is not None:
                scheduler.remove_upstream(UpstreamId(name), self.world.now_s)
                self._add_upstream(shard, scheduler, document.upstreams[0], name)

    def stop(self) -> None:
        """Begin a planned stop."""
        self.is_stopping = True
        self.membership.leave(self.world.now_s)
        self.act(self.entry.stop(self.world.now_s))
        self.act_claims(self.claims.stop(self.world.now_s))

    # Callers.

    def accept(self, record: CallerRecord, request: ea.AcceptedRequest) -> None:
        """Take a caller's request."""
        now_s = self.world.now_s
        request_id, actions = self.entry.accept(request, now_s)
        self.group.oracle.accepted(record, request_id, now_s)
        self.act(actions)

    def caller_left(self, record: CallerRecord) -> None:
        """A caller closed its connection."""
        if record.request_id is not None:
            self.act(self.entry.caller_gone(record.request_id, self.world.now_s))

    # Other nodes.

    def tell(self, name: str, message: Callable[["SimNode"], None]) -> None:
        """Send a message to a node, perhaps to this one."""
        target = self.group.nodes.get(name)
        if target is None:
            return
        if target is self:
            self.world.after(0.0, self.guard(lambda: message(self)))
            return
        self.world.send(self.name, name, lambda: target.guard(lambda: message(target))())

    def scheduler(self, shard: ShardId) -> ShardScheduler:
        """Return this node's scheduler of a shard, made when the first message comes."""
        if shard not in self.schedulers:
            document = self.group.documents[service_of(shard)]
            rng = random.Random(self.world.rng.random())
            made = ShardScheduler(shard, document, self.settings.scheduler, rng, self.world.now_s)
            self.schedulers[shard] = made
            for member in document.upstreams[0].members:
                self._add_upstream(shard, made, document.upstreams[0], member.name)
        return self.schedulers[shard]

    def _add_upstream(
        self, shard: ShardId, scheduler: ShardScheduler, group: UpstreamGroup, name: str
    ) -> None:
        upstream = Upstream(UpstreamId(name), name, "zone-1", group.kind)
        self.decide(shard, scheduler.add_upstream(upstream, group, self.world.now_s))
        if name in self.leaving:
            self.decide(shard, scheduler.mark_leaving(UpstreamId(name), self.world.now_s))

    def to_scheduler(self, action: ea.SchedulerAction) -> None:
        """Carry an entry's message to a scheduler, which acknowledges it."""
        sender = self.name

        def arrive(peer: SimNode) -> None:
            now_s = peer.world.now_s
            peer.decide(action.shard, _apply(peer.scheduler(action.shard), action, sender, now_s))
            peer.tell(sender, lambda entry: entry.entry.scheduler_heard(action.shard, peer.name))

        self.tell(action.scheduler, arrive)

    def decide(self, shard: ShardId, decisions: Iterable[Decision]) -> None:
        """Send a scheduler's decisions to the entries."""
        for decision in decisions:
            self._send_decision(shard, decision)

    def _send_decision(self, shard: ShardId, decision: Decision) -> None:
        me = self.name
        if isinstance(decision, Grant):
            self.world.count("grant")
            self.tell(
                decision.entry,
                lambda peer: peer.act(peer.entry.granted(shard, decision, me, peer.world.now_s)),
            )
            return
        record = self.group.oracle.by_request.get(decision.request_id)
        if record is not None:
            record.shed_s = self.world.now_s
            record.shed_by = me
        self.tell(
            decision.entry,
            lambda peer: peer.act(peer.entry.refused(decision, me, peer.world.now_s)),
        )

    # Actions of the entry.

    def act(self, actions: Iterable[ea.EntryAction]) -> None:
        """Carry out the entry's actions."""
        for action in actions:
            self._act_one(action)

    def _act_one(self, action: ea.EntryAction) -> None:
        if isinstance(action, ea.SubmitTicket):
            submitted = self.group.oracle.by_request.get(action.ticket.request_id)
            if submitted is not None:
                submitted.waits_since_s = self.world.now_s
        if isinstance(action, ea.SchedulerAction):
            self.to_scheduler(action)
        elif isinstance(action, ea.ClaimsAction):
            self._act_claim(action)
        elif isinstance(action, CALLER_ACTIONS):
            self._to_caller(action)
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

    def _to_caller(self, action: Any) -> None:
        record = self.group.oracle.by_request[action.request_id]
        if record.end is not None or record.has_left:
            return
        self.group.oracle.caller_got(action, action.request_id)
        if isinstance(action, ea.SendRefusal):
            self.group.shed(record)

    def _act_claim(self, action: ea.ClaimsAction) -> None:
        now_s = self.world.now_s
        if isinstance(action, ea.ClaimKey):
            self.act_claims(self.claims.claim(action.claim, now_s))
        elif isinstance(action, ea.ReleaseKey):
            self.act_claims(self.claims.release(action.request_id, now_s))
        elif isinstance(action, ea.KeepAnswer):
            self.act_claims(self.claims.finished(action.request_id, action.kept, now_s))
        else:
            self.world.count("key left with unknown end")
            self.claims.left(action.request_id)

    # Upstreams.

    def _open(self, request_id: str, upstream: str, step: Step) -> None:
        self._close(request_id)
        now_s = self.world.now_s
        connection = Connection(lambda item: None, last_s=now_s, heard_s=now_s)

        def deliver(item: AnswerItem) -> None:
            # A frozen process reads its sockets when it wakes.
            self.guard(lambda: self._item(request_id, connection, item))()

        connection.deliver = deliver
        self.connections[request_id] = connection
        connect_s = self.world.rng.uniform(0.0, MAX_CONNECT_S)
        self.world.after(connect_s, self.guard(step))

    def _close(self, request_id: str) -> None:
        connection = self.connections.pop(request_id, None)
        if connection is not None:
            connection.is_open = False

    def _item(self, request_id: str, connection: Connection, item: AnswerItem) -> None:
        if self.connections.get(request_id) is connection:
            self.act(self.entry.answer_item(request_id, item, self.world.now_s))

    def _send(self, action: ea.SendUpstream) -> None:
        request = action.request
        connection = self.connections.get(request.request_id)
        upstream = self.group.upstreams[action.upstream]
        if connection is None:
            return
        if not upstream.is_up:
            self.world.count("connection refused before dispatch")
            self._not_sent(request.request_id)
        elif self.entry.may_send(request.request_id, action.attempt, self.world.now_s):
            self.group.oracle.first_byte(request.request_id)
            self._check_leaving(action.upstream)
            self.act(self.entry.take_actions())
            self.world.after(self.world.latency_s(), lambda: upstream.receive(request, connection))
        else:
            self.world.count("dispatch stopped before the first byte")
            self._not_sent(request.request_id)

    def _not_sent(self, request_id: str) -> None:
        self._close(request_id)
        self.act(self.entry.answer_item(request_id, UpstreamFault.NOT_SENT, self.world.now_s))

    def _resume(self, action: ea.ResumeUpstream) -> None:
        connection = self.connections.get(action.request_id)
        upstream = self.group.upstreams[action.upstream]
        if connection is None:
            return
        self.world.after(
            self.world.latency_s(),
            lambda: upstream.resume(action.request_id, action.after_event, connection),
        )

    def _check_leaving(self, upstream: str) -> None:
        since_s = self.group.platform.leaving.get(upstream)
        if since_s is None:
            return
        late_s = self.world.now_s - max(since_s, self.frozen_until_s)
        self.world.count("dispatch to an upstream that the list shows leaving, within the limit")
        assert late_s <= 3.0, f"{upstream} got new work {late_s:.3f} s after the list"

    # Claims.

    def act_claims(self, actions: Iterable[ca.ClaimAction]) -> None:
        """Carry out the claim book's actions."""
        for action in actions:
            self._act_claims_one(action)

    def _act_claims_one(self, action: ca.ClaimAction) -> None:
        platform = self.group.platform
        if isinstance(action, ca.ClaimResolved):
            now_s = self.world.now_s
            self.world.count(f"claim {action.answer.state.value}")
            self.act(self.entry.claim_resolved(action.request_id, action.answer, now_s))
        elif isinstance(action, ca.CommitTable):
            answer = self._answerer(self.claims.table_committed, action.call_id)
            platform.commit(action.transaction, answer)
        elif isinstance(action, ca.ReadTable):
            platform.read(action.keys, self._answerer(self.claims.table_read, action.call_id))
        elif isinstance(action, ca.PutObject):
            answer = self._answerer(self.claims.object_stored, action.call_id)
            platform.put(action.key, action.body, answer)
        elif isinstance(action, ca.GetObject):
            platform.fetch(action.key, self._answerer(self.claims.object_fetched, action.call_id))
        else:
            self._ask_claimant(action)

    def _answerer(self, method: Callable[..., Any], call_id: int) -> Callable[[Any], None]:
        run = self.run

        def answer(result: Any) -> None:
            if self.run == run:
                self.guard(lambda: self.act_claims(method(call_id, result, self.world.now_s)))()

        return answer

    def _ask_claimant(self, action: ca.AskClaimant) -> None:
        claimant = action.query.claimant
        answered = self._answerer(self.claims.claimant_answered, action.query_id)
        if not self.membership.is_present(claimant):
            self.world.after(0.0, lambda: answered(ca.ClaimReplyState.GONE))
            return
        done: list[bool] = []

        def once(reply: ca.ClaimReplyState) -> None:
            if not done:
                done.append(True)
                answered(reply)

        me = self.name

        def ask(peer: SimNode) -> None:
            reply = peer.claims.peer_query(action.query)
            peer.tell(me, lambda _: once(reply))

        self.tell(str(claimant).rsplit(".", 1)[0], ask)
        self.world.after(QUERY_TIMEOUT_S, lambda: once(ca.ClaimReplyState.UNREACHABLE))


def _apply(
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


def _learn_verdict(shard: ShardId, verdict: Any) -> Callable[[SimNode], None]:
    def learn(peer: SimNode) -> None:
        decisions = peer.scheduler(shard).learn_verdict(verdict, peer.world.now_s)
        peer.decide(shard, decisions)

    return learn


def _local_share(document: ServiceDocument) -> tuple[LocalUpstream, ...]:
    members = document.upstreams[0].members
    return tuple(LocalUpstream(UpstreamId(member.name), 1) for member in members)
