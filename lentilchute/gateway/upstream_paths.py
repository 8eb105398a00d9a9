"""Controller that sends requests to upstreams, directly or through a peer.

A node may lose its paths to all upstreams while its callers and its peers still reach it. Its
requests then go to a peer, which carries them or says that it cannot connect either.
"""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import trio

from ..events import Event, log_event
from ..http.client import BeforeFirstByte, ClientRequest, HttpFault
from ..ids import InstanceId
from ..peers.heartbeats import PeerInfo
from ..peers.message_dispatch import MessageHandler
from ..util.shared_ticks import sleep_to_tick
from .context import GatewayContext, gateway_controller
from .fleet import UpstreamListing
from .path_exchange import PathExchange
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
from .relay_service import RelayServiceController
from .relayed_exchange import RelayedExchange, RelayMessage

MAX_DETOURS = 3
"""Peers that one attempt is sent through in turn, as long as they cannot tell."""
UNHELPFUL_S = 1.0
"""A peer that cannot help is not asked again for this long."""
REPLY_TIMEOUT_S = 0.3
"""A peer that is not cut off replies within milliseconds."""
PROBE_INTERVAL_S = 0.5
"""Interval between probes while this node is cut off, since its requests try nothing then."""
DEFAULT_TIMEOUT_S = 30.0


@dataclass(slots=True)
class _PendingQuestion:
    replied: trio.Event = field(default_factory=trio.Event)
    state: PathState = PathState.UNKNOWN


@gateway_controller
class UpstreamPathController:
    """Chooses the path of each request, and finds out which paths are lost and back."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._relays: dict[int, tuple[InstanceId, RelayedExchange]] = {}
        self._questions: dict[int, _PendingQuestion] = {}
        self._unhelpful_until_s: dict[InstanceId, float] = {}
        # A number of an earlier incarnation must not match.
        self._last_number = context.rng.getrandbits(40)

    @property
    def pending_bytes(self) -> int:
        """Bytes of answers that peers have passed on and that wait for their turn."""
        return sum(relayed.pending_bytes for _, relayed in self._relays.values())

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {
            PathReply: self._on_reply,
            RelayHead: self._on_message,
            RelayPart: self._on_message,
            RelayEnd: self._on_message,
        }

    async def run(self) -> None:
        while True:
            await sleep_to_tick(PROBE_INTERVAL_S)
            await self._probe()

    def peer_lost(self, instance: InstanceId) -> None:
        """Fail what a peer carries that no longer responds."""
        for peer, relayed in list(self._relays.values()):
            if peer == instance:
                relayed.fail(HttpFault.RESET)

    @asynccontextmanager
    async def exchange(
        self,
        listing: UpstreamListing,
        request: ClientRequest,
        before_first_byte: BeforeFirstByte,
        take_back: Callable[[], None],
    ) -> AsyncIterator[PathExchange]:
        """Start an exchange with an upstream.

        ``take_back`` is called when a request has been given to a peer, which then could not send
        it.
        """
        client = self._context.connections.client(listing)
        exchange = PathExchange(self, client, listing, request, before_first_byte, take_back)
        try:
            yield exchange
        finally:
            await exchange.finish()

    async def is_down(self, listing: UpstreamListing) -> bool:
        """Return whether an upstream to which this node cannot connect has ended, as far as peers
        can tell."""
        for peer in self.helpful_peers(listing):
            state = await self._ask(peer, listing)
            if state is not PathState.UNKNOWN:
                return state is PathState.REFUSED
            self.mark_unhelpful(peer)
        service = self._context.controller(RelayServiceController)
        return await service.state_after_failure(listing) is PathState.REFUSED

    @property
    def is_cut_off(self) -> bool:
        """Whether this node has probably lost its paths to all upstreams."""
        return self._context.path_health.is_cut_off

    def record_opened(self) -> None:
        """Record that this node has opened a connection to an upstream."""
        if self.is_cut_off:
            log_event(Event.PATHS_BACK)
        self._context.path_health.record_opened()

    def record_failed(self, listing: UpstreamListing) -> bool:
        """Record that this node could not connect to an upstream; return whether it seems to be
        cut off from all."""
        health = self._context.path_health
        was_cut_off = health.is_cut_off
        health.record_failed(listing.upstream)
        if health.is_cut_off and not was_cut_off:
            log_event(Event.PATHS_LOST, upstreams=health.failed)
        return health.is_cut_off

    def helpful_peers(self, listing: UpstreamListing) -> list[InstanceId]:
        """Return the live peers that may reach an upstream, those in its zone first."""
        context, now_s = self._context, self._context.now_s()

        def is_helpful(info: PeerInfo) -> bool:
            return now_s >= self._unhelpful_until_s.get(info.instance, 0.0)

        alive = context.membership.alive(now_s)
        peers = [info for info in alive if info.instance != context.instance and is_helpful(info)]
        context.rng.shuffle(peers)
        peers.sort(key=lambda info: info.zone != listing.zone)
        return [info.instance for info in peers[:MAX_DETOURS]]

    def open_relay(
        self, peer: InstanceId, listing: UpstreamListing, request: ClientRequest
    ) -> tuple[int, RelayedExchange]:
        """Give a request to a peer; return the number of the exchange and its near end."""
        self._last_number += 1
        head_timeout_s = _or_default(request.head_timeout_s)
        read_timeout_s = _or_default(request.read_timeout_s)
        relayed = RelayedExchange(head_timeout_s, read_timeout_s)
        self._relays[self._last_number] = peer, relayed
        message = RelayRequest(
            number=self._last_number,
            upstream=listing.upstream,
            started_ms=listing.started_ms,
            method=request.method,
            path=request.path,
            headers=tuple(RelayHeader(name, value) for name, value in request.headers),
            body=request.body,
            head_timeout_s=head_timeout_s,
            read_timeout_s=read_timeout_s,
            needs_new_connection=request.needs_new_connection,
        )
        self._context.post(peer, message)
        return self._last_number, relayed

    def close_relay(self, number: int) -> None:
        """End an exchange, and with it the peer's work for it."""
        peer, relayed = self._relays.pop(number)
        if not relayed.is_over:
            self._context.post(peer, RelayCancel(number))

    def mark_unhelpful(self, peer: InstanceId) -> None:
        """Ask a peer nothing for a while, as it cannot tell about upstreams."""
        self._unhelpful_until_s[peer] = self._context.now_s() + UNHELPFUL_S

    async def _ask(self, peer: InstanceId, listing: UpstreamListing) -> PathState:
        self._last_number += 1
        number = self._last_number
        pending = self._questions[number] = _PendingQuestion()
        self._context.post(peer, PathQuestion(number, listing.upstream, listing.started_ms))
        try:
            with trio.move_on_after(REPLY_TIMEOUT_S):
                await pending.replied.wait()
        finally:
            del self._questions[number]
        return pending.state

    async def _probe(self) -> None:
        """While this node is cut off, try an upstream that failed and any other."""
        context, health = self._context, self._context.path_health
        if not health.is_cut_off:
            return
        listings = [context.fleet.listing(upstream) for upstream in health.failed]
        failed = [listing for listing in listings if listing is not None]
        others = [item for item in context.fleet.listed() if item.upstream not in health.failed]
        for listing in (*failed[:1], *context.rng.sample(others, min(1, len(others)))):
            if await context.connections.can_connect(listing):
                self.record_opened()
                return
            health.record_failed(listing.upstream)

    def _on_reply(self, _sender: InstanceId, reply: PathReply) -> None:
        pending = self._questions.get(reply.number)
        if pending is not None:
            pending.state = reply.state
            pending.replied.set()

    def _on_message(self, sender: InstanceId, message: RelayMessage) -> None:
        peer, relayed = self._relays.get(message.number, (None, None))
        if relayed is not None and peer == sender:
            relayed.receive(message)
        elif not isinstance(message, RelayEnd):
            # The withdrawal was lost with its link, and an answer may go on without end.
            self._context.post(sender, RelayCancel(message.number))


def _or_default(timeout_s: float | None) -> float:
    return DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s
