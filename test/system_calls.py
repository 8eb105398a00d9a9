"""Mixins of the system test's node: its calls to upstreams, to the platform and to claimants."""

from collections.abc import Callable, Iterable
from typing import Any

from system_oracle import LEAVING_LIMIT_S
from system_upstreams import Connection
from system_world import Step, World

from lentilchute.entry import actions as ea
from lentilchute.entry.requests import EntryRequests
from lentilchute.peers.membership import Membership
from lentilchute.state import claim_actions as ca
from lentilchute.state.claims import ClaimRegistry
from lentilchute.upstream.adapters import AnswerItem, UpstreamFault

QUERY_TIMEOUT_S = 1.0
MAX_CONNECT_S = 0.05


class UpstreamCalls:
    """Opens connections to upstreams and passes their answers to the entry."""

    world: World
    group: Any
    entry: EntryRequests
    connections: dict[str, Connection]
    frozen_until_s: float
    guard: Callable[[Step], Step]
    execute: Callable[[Iterable[ea.EntryAction]], None]

    def _open(self, request_id: str, upstream: str, step: Step) -> None:
        self._close(request_id)
        now_s = self.world.now_s
        connection = Connection(lambda item: None, last_arrival_s=now_s, last_activity_s=now_s)

        def deliver(item: AnswerItem) -> None:
            # A frozen process reads its sockets once it resumes.
            self.guard(lambda: self._receive_item(request_id, connection, item))()

        connection.deliver = deliver
        self.connections[request_id] = connection
        connect_s = self.world.rng.uniform(0.0, MAX_CONNECT_S)
        self.world.after(connect_s, self.guard(step))

    def _close(self, request_id: str) -> None:
        connection = self.connections.pop(request_id, None)
        if connection is not None:
            connection.is_open = False

    def _receive_item(self, request_id: str, connection: Connection, item: AnswerItem) -> None:
        if self.connections.get(request_id) is connection:
            self.execute(self.entry.answer_item(request_id, item, self.world.now_s))

    def _send(self, action: ea.SendUpstream) -> None:
        request = action.request
        connection = self.connections.get(request.request_id)
        upstream = self.group.upstreams[action.upstream]
        if connection is None:
            return
        if not upstream.is_up:
            self.world.count("connection refused before dispatch")
            self._report_not_sent(request.request_id)
        elif self.entry.may_send(request.request_id, action.attempt, self.world.now_s):
            self.group.oracle.first_byte(request.request_id)
            self._check_leaving(action.upstream)
            self.execute(self.entry.take_actions())
            self.world.after(self.world.latency_s(), lambda: upstream.receive(request, connection))
        else:
            self.world.count("dispatch stopped before the first byte")
            self._report_not_sent(request.request_id)

    def _report_not_sent(self, request_id: str) -> None:
        self._close(request_id)
        self.execute(self.entry.answer_item(request_id, UpstreamFault.NOT_SENT, self.world.now_s))

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
        delay_s = self.world.now_s - max(since_s, self.frozen_until_s)
        self.world.count("dispatch to an upstream that the list shows leaving, within the limit")
        assert (
            delay_s <= LEAVING_LIMIT_S
        ), f"{upstream} got a request {delay_s:.3f} s after it was listed as leaving"


class ClaimCalls:
    """Executes the actions of the claim registry."""

    world: World
    group: Any
    name: str
    incarnation_number: int
    entry: EntryRequests
    claims: ClaimRegistry
    membership: Membership
    guard: Callable[[Step], Step]
    execute: Callable[[Iterable[ea.EntryAction]], None]
    send_to: Callable[[str, Callable[[Any], None]], None]

    def execute_claims(self, actions: Iterable[ca.ClaimAction]) -> None:
        """Execute the actions that the claim registry returned."""
        for action in actions:
            self._execute_claims_one(action)

    def _execute_claims_one(self, action: ca.ClaimAction) -> None:
        platform = self.group.platform
        if isinstance(action, ca.ClaimResolved):
            now_s = self.world.now_s
            self.world.count(f"claim {action.answer.state.value}")
            self.execute(self.entry.claim_resolved(action.request_id, action.answer, now_s))
        elif isinstance(action, ca.CommitTable):
            answer = self._reply_handler(self.claims.table_committed, action.call_id)
            platform.commit(action.transaction, answer)
        elif isinstance(action, ca.ReadTable):
            platform.read(action.keys, self._reply_handler(self.claims.table_read, action.call_id))
        elif isinstance(action, ca.PutObject):
            answer = self._reply_handler(self.claims.object_stored, action.call_id)
            platform.put(action.key, action.body, answer)
        elif isinstance(action, ca.GetObject):
            platform.fetch(
                action.key, self._reply_handler(self.claims.object_fetched, action.call_id)
            )
        else:
            self._query_claimant(action)

    def _reply_handler(self, method: Callable[..., Any], call_id: int) -> Callable[[Any], None]:
        incarnation_number = self.incarnation_number

        def answer(result: Any) -> None:
            if self.incarnation_number == incarnation_number:
                self.guard(lambda: self.execute_claims(method(call_id, result, self.world.now_s)))()

        return answer

    def _query_claimant(self, action: ca.AskClaimant) -> None:
        claimant = action.query.claimant
        handle_reply = self._reply_handler(self.claims.claimant_answered, action.query_id)
        if not self.membership.is_present(claimant):
            self.world.after(0.0, lambda: handle_reply(ca.ClaimReplyState.GONE))
            return
        done: list[bool] = []

        def reply_once(reply: ca.ClaimReplyState) -> None:
            if not done:
                done.append(True)
                handle_reply(reply)

        sender = self.name

        def ask(peer: Any) -> None:
            reply = peer.claims.answer_peer_query(action.query)
            peer.send_to(sender, lambda _: reply_once(reply))

        self.send_to(str(claimant).rsplit(".", 1)[0], ask)
        self.world.after(QUERY_TIMEOUT_S, lambda: reply_once(ca.ClaimReplyState.UNREACHABLE))
