"""Controller that sends peers' requests to upstreams that the peers cannot reach themselves."""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..http.client import ClientRequest, HttpExchange, HttpFault, PartResult
from ..ids import InstanceId, Tier, UpstreamId
from ..peers.message_dispatch import MessageHandler
from .context import GatewayContext, gateway_controller
from .fleet import UpstreamListing
from .relay_messages import (
    PathQuestion,
    PathReply,
    PathState,
    RelayCancel,
    RelayEnd,
    RelayHead,
    RelayHeader,
    RelayPart,
    RelayRequest,
)

CONTROL_CONNECTIONS = 2
"""Other upstreams that are tried to tell a dead upstream from a lost path."""

_RelayKey = tuple[InstanceId, int]


@gateway_controller
class RelayServiceController:
    """Carries requests and answers for peers, and tells them which upstreams it reaches."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._scopes: dict[_RelayKey, trio.CancelScope] = {}
        self.body_bytes = 0
        """Size of the bodies of these requests."""
        self._nursery: trio.Nursery | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests of peers that are being carried."""
        return len(self._scopes)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {
            PathQuestion: self._on_question,
            RelayRequest: self._on_request,
            RelayCancel: self._on_cancel,
        }

    async def run(self) -> None:
        async with trio.open_nursery() as self._nursery:
            await trio.sleep_forever()

    def peer_gone(self, instance: InstanceId) -> None:
        """Stop working for a node that has ended: nobody reads the answers."""
        for key in [key for key in self._scopes if key[0] == instance]:
            self._scopes[key].cancel()

    def _on_question(self, sender: InstanceId, question: PathQuestion) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._answer_question, sender, question)

    async def _answer_question(self, sender: InstanceId, question: PathQuestion) -> None:
        listing = self._listing(question.upstream, question.started_ms)
        if self._is_unable:
            state = PathState.UNKNOWN
        elif listing is None:
            state = PathState.CLOSED
        elif await self._context.connections.can_connect(listing):
            state = PathState.OPEN
        else:
            state = await self.state_after_failure(listing)
        self._context.post(sender, PathReply(question.number, state))

    def _on_request(self, sender: InstanceId, request: RelayRequest) -> None:
        if self._nursery is None:
            return
        # The scope exists before the task runs, so that a withdrawal can overtake it.
        self._scopes[sender, request.number] = trio.CancelScope()
        self._nursery.start_soon(self._carry, sender, request)

    def _on_cancel(self, sender: InstanceId, cancel: RelayCancel) -> None:
        scope = self._scopes.get((sender, cancel.number))
        if scope is not None:
            scope.cancel()

    async def _carry(self, sender: InstanceId, request: RelayRequest) -> None:
        key = sender, request.number
        self.body_bytes += len(request.body)
        try:
            with self._scopes[key]:
                self._context.post(sender, await self._exchange(sender, request))
        finally:
            self.body_bytes -= len(request.body)
            del self._scopes[key]

    async def _exchange(self, sender: InstanceId, request: RelayRequest) -> RelayEnd:
        """Send a request and post its answer piece by piece; return how that ended."""
        if self._is_unable or not self._context.memory.has_room(0, Tier(0), self._context.now_s()):
            return _end(request.number, HttpFault.NOT_SENT, PathState.UNKNOWN)
        listing = self._listing(request.upstream, request.started_ms)
        if listing is None:
            return _end(request.number, HttpFault.NOT_SENT, PathState.CLOSED)
        was_connected = False

        def may_send() -> bool:
            nonlocal was_connected
            was_connected = True
            return self._listing(request.upstream, request.started_ms) is not None

        client = self._context.connections.client(listing)
        async with client.exchange(_client_request(request), may_send) as exchange:
            head = await exchange.head()
            if isinstance(head, Err):
                is_unsent = head.err_value is HttpFault.NOT_SENT
                state = PathState.CLOSED if is_unsent else PathState.OPEN
                if is_unsent and not was_connected:
                    state = await self.state_after_failure(listing)
                return _end(request.number, head.err_value, state, exchange)
            headers = tuple(RelayHeader(name, value) for name, value in head.ok_value.headers)
            self._context.post(
                sender,
                RelayHead(request.number, head.ok_value.status, headers, exchange.is_reused),
            )
            return await self._carry_body(sender, request.number, exchange)

    async def _carry_body(
        self, sender: InstanceId, number: int, exchange: HttpExchange
    ) -> RelayEnd:
        parts = 0

        async def post(data: bytes) -> PartResult:
            nonlocal parts
            self._context.post(sender, RelayPart(number, parts, data))
            parts += 1
            # What a piece completes only the sender can tell; it also limits the time.
            return PartResult.PROGRESS

        ended = await exchange.relay_parts(post)
        fault = ended.err_value if isinstance(ended, Err) else None
        return _end(number, fault, PathState.OPEN, exchange, parts)

    @property
    def _is_unable(self) -> bool:
        return self._context.is_stopping or self._context.path_health.is_cut_off

    def _listing(self, upstream: UpstreamId, started_ms: int) -> UpstreamListing | None:
        """Return the listing of an incarnation that this node may send to."""
        context = self._context
        if not context.fleet.takes_work(upstream, started_ms, context.now_s()):
            return None
        return context.fleet.listing(upstream)

    async def state_after_failure(self, listing: UpstreamListing) -> PathState:
        """Tell a dead upstream from a lost path by connecting to other upstreams."""
        others = [
            other
            for other in self._context.fleet.listed()
            if other.upstream != listing.upstream and other.address != listing.address
        ]
        self._context.rng.shuffle(others)
        # Where there is no other upstream, nothing speaks for a lost path.
        state = PathState.UNKNOWN if others else PathState.REFUSED
        async with trio.open_nursery() as nursery:

            async def connect(other: UpstreamListing) -> None:
                nonlocal state
                if await self._context.connections.can_connect(other):
                    state = PathState.REFUSED
                    nursery.cancel_scope.cancel()

            for other in others[:CONTROL_CONNECTIONS]:
                nursery.start_soon(connect, other)
        return state


def _client_request(request: RelayRequest) -> ClientRequest:
    return ClientRequest(
        method=request.method,
        path=request.path,
        headers=tuple((header.name, header.value) for header in request.headers),
        body=request.body,
        head_timeout_s=request.head_timeout_s,
        read_timeout_s=request.read_timeout_s,
        needs_new_connection=request.needs_new_connection,
    )


def _end(
    number: int,
    fault: HttpFault | None,
    state: PathState,
    exchange: HttpExchange | None = None,
    parts: int = 0,
) -> RelayEnd:
    return RelayEnd(
        number=number,
        parts=parts,
        fault="" if fault is None else fault.value,
        state=state,
        is_reused=exchange is not None and exchange.is_reused,
        ended_with_connection=exchange is not None and exchange.ended_with_connection,
    )
