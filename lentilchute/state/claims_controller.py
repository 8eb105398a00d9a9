"""Claims idempotency keys in the platform's table on behalf of the entry controller."""

from collections.abc import Callable, Mapping
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import InstanceId, RequestId, instance_of
from ..node_context import NodeContext, wait_until
from ..peers.heartbeats import PeerChange, PeerChangeKind
from ..peers.message_dispatch import MessageHandler
from .claim_actions import (
    AskClaimant,
    ClaimAction,
    ClaimQuery,
    ClaimReplyState,
    ClaimResolved,
    CommitTable,
    GetObject,
    PutObject,
    ReadTable,
)
from .claim_answers import ClaimAnswer, ClaimRequest, ClaimState, KeptAnswer
from .claims import ClaimRegistry
from .messages import ClaimQuestion, ClaimReply

QUERY_TIMEOUT_S = 1.0
MIN_SLEEP_S = 0.005
MAX_SLEEP_S = 1.0
IDLE_POLL_S = 0.05

ResolvedCallback = Callable[[RequestId, ClaimAnswer], None]


class ClaimsController:
    """Drives ``ClaimRegistry``; ``resolved`` is called once for each claim."""

    def __init__(self, context: NodeContext, resolved: ResolvedCallback) -> None:
        self._context = context
        self._resolved = resolved
        now_s = context.now_s()
        self._registry = ClaimRegistry(
            context.incarnation,
            context.settings.claims,
            context.rng,
            now_s,
            context.wall_offset_s,
        )
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        context.peer_listeners.append(self._on_peer_change)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        """Return the message handlers of this controller."""
        return {ClaimQuestion: self._on_question, ClaimReply: self._on_reply}

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                now_s = self._context.now_s()
                if self._registry.next_tick_s(now_s) <= now_s:
                    self._execute(self._registry.tick(now_s))
                pause_s = self._registry.next_tick_s(now_s) - now_s
                self._wake = trio.Event()
                with trio.move_on_after(min(max(pause_s, MIN_SLEEP_S), MAX_SLEEP_S)):
                    await self._wake.wait()

    async def stop(self) -> None:
        """Complete the pending operations of all claims."""
        self._execute(self._registry.stop(self._context.now_s()))
        await wait_until(lambda: self._registry.is_idle, IDLE_POLL_S)

    def claim(self, request: ClaimRequest) -> None:
        """Claim the key of a request that has been granted a placement."""
        self._execute(self._registry.claim(request, self._context.now_s()))

    def release(self, request_id: RequestId) -> None:
        """Release the key of a request that did not run."""
        log_event(Event.CLAIM_RELEASED, request_id=request_id)
        self._execute(self._registry.release(request_id, self._context.now_s()))

    def finished(self, request_id: RequestId, kept: KeptAnswer | None) -> None:
        """Record that a request finished, and store its answer for retries by the caller."""
        self._execute(self._registry.finished(request_id, kept, self._context.now_s()))

    def abandoned(self, request_id: RequestId) -> None:
        """Keep the key of a request with an unknown outcome claimed."""
        self._registry.abandoned(request_id)

    def _on_question(self, sender: InstanceId, message: ClaimQuestion) -> None:
        state = self._registry.answer_peer_query(message.query)
        self._context.post(sender, ClaimReply(message.query_id, state))

    def _on_reply(self, sender: InstanceId, reply: ClaimReply) -> None:
        now_s = self._context.now_s()
        self._execute(self._registry.claimant_answered(reply.query_id, reply.state, now_s))

    def _on_peer_change(self, change: PeerChange) -> None:
        now_s = self._context.now_s()
        if change.kind is PeerChangeKind.GONE:
            self._execute(self._registry.incarnation_gone(change.info.incarnation, now_s))
        self._registry.set_nodes(len(self._context.membership.present()) + 1, now_s)

    def _execute(self, actions: list[ClaimAction]) -> None:
        for action in actions:
            if isinstance(action, ClaimResolved):
                self._report(action)
            elif self._nursery is not None:
                self._nursery.start_soon(self._execute_io, action)
        self._wake.set()

    def _report(self, action: ClaimResolved) -> None:
        if action.answer.state is ClaimState.GRANTED:
            log_event(Event.CLAIM_GRANTED, request_id=action.request_id)
        else:
            log_event(Event.CLAIM_REFUSED, request_id=action.request_id, state=action.answer.state)
        self._resolved(action.request_id, action.answer)

    async def _execute_io(self, action: ClaimAction) -> None:
        platform, registry, now_s = self._context.platform, self._registry, self._context.now_s
        if isinstance(action, CommitTable):
            committed = await platform.table.commit(action.transaction)
            self._execute(registry.table_committed(action.call_id, committed, now_s()))
        elif isinstance(action, ReadTable):
            rows = await platform.table.get_many(list(action.keys))
            self._execute(registry.table_read(action.call_id, rows, now_s()))
        elif isinstance(action, PutObject):
            stored = await platform.objects.put(action.key, action.body)
            self._execute(registry.object_stored(action.call_id, stored, now_s()))
        elif isinstance(action, GetObject):
            found = await platform.objects.get(action.key)
            self._execute(registry.object_fetched(action.call_id, found, now_s()))
        elif isinstance(action, AskClaimant):
            await self._query_claimant(action.query_id, action.query)

    async def _query_claimant(self, query_id: int, query: ClaimQuery) -> None:
        """Query the claimant's process; after a reply, the timeout has no effect."""
        context = self._context
        if query.claimant == context.incarnation:
            state = self._registry.answer_peer_query(query)
            self._execute(self._registry.claimant_answered(query_id, state, context.now_s()))
            return
        if not context.membership.is_present(query.claimant):
            gone = ClaimReplyState.GONE
            self._execute(self._registry.claimant_answered(query_id, gone, context.now_s()))
            return
        context.post(instance_of(query.claimant), ClaimQuestion(query_id, query))
        await trio.sleep(QUERY_TIMEOUT_S)
        unreachable = ClaimReplyState.UNREACHABLE
        self._execute(self._registry.claimant_answered(query_id, unreachable, context.now_s()))
