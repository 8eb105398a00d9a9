"""One exchange with an upstream, over whichever path takes it."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err, Result

from ..http.client import (
    BeforeFirstByte,
    ClientRequest,
    HttpClient,
    HttpExchange,
    HttpFault,
    HttpHead,
    PartRelay,
)
from ..ids import InstanceId
from .fleet import UpstreamListing
from .relay_messages import PathState
from .relayed_exchange import RelayedExchange

if TYPE_CHECKING:
    from .upstream_paths import UpstreamPathController


class PathExchange:
    """One request and its answer, with the interface of ``HttpExchange``.

    While this node seems to be cut off from all upstreams, peers are asked in turn to carry the
    request, until one of them can tell what has become of its upstream.
    """

    def __init__(
        self,
        paths: "UpstreamPathController",
        client: HttpClient,
        listing: UpstreamListing,
        request: ClientRequest,
        before_first_byte: BeforeFirstByte,
        take_back: Callable[[], None],
    ) -> None:
        self._paths = paths
        self._listing = listing
        self._request = request
        self._before_first_byte = before_first_byte
        self._take_back = take_back
        self._direct = HttpExchange(client, request, self._may_send_directly)
        self._used: HttpExchange | RelayedExchange = self._direct
        self._relay_number: int | None = None
        self.is_connected = False
        """This node or a peer had a connection for the request."""
        self.is_upstream_down = False
        """Nobody who reaches other upstreams can connect, as far as this node knows."""

    @property
    def is_reused(self) -> bool:
        """Whether the request went out on a connection that carried another one before."""
        return self._used.is_reused

    @property
    def ended_with_connection(self) -> bool:
        """Whether the body had neither length nor chunks."""
        return self._used.ended_with_connection

    async def head(self) -> Result[HttpHead, HttpFault]:
        """Send the request and return the head of its answer; call it once."""
        if self._paths.is_cut_off:
            head = await self._head_through_peers()
            # Where no peer can tell, the own path may be back sooner than the next probe.
            return await self._direct.head() if head is None else head
        direct_head = await self._direct.head()
        if self.is_connected:
            return direct_head
        if not self._paths.record_failed(self._listing):
            self.is_upstream_down = True
            return direct_head
        head = await self._head_through_peers()
        return direct_head if head is None else head

    async def part(self) -> Result[bytes | None, HttpFault]:
        """Return the next piece of the body, or ``None`` at the regular end of the answer."""
        return await self._used.part()

    async def relay_parts(self, relay: PartRelay) -> Result[bool, HttpFault]:
        """Pass each piece of the body to ``relay``; see ``HttpExchange.relay_parts``."""
        return await self._used.relay_parts(relay)

    async def finish(self) -> None:
        """Release the connection, or tell the peer that the answer is no longer needed."""
        self._close_relay()
        await self._direct.finish()

    def _may_send_directly(self) -> bool:
        self.is_connected = True
        self._used = self._direct
        if not self._direct.is_reused:
            self._paths.record_opened()
        return self._before_first_byte()

    async def _head_through_peers(self) -> Result[HttpHead, HttpFault] | None:
        """Return what a peer makes of the request, or ``None`` if none can tell."""
        for peer in self._paths.helpful_peers(self._listing):
            head = await self._head_through(peer)
            if head is not None:
                return head
        return None

    async def _head_through(self, peer: InstanceId) -> Result[HttpHead, HttpFault] | None:
        """Return what a peer makes of the request, or ``None`` if it cannot tell."""
        self._close_relay()
        if not self._before_first_byte():
            return Err(HttpFault.NOT_SENT)
        self._relay_number, relayed = self._paths.open_relay(peer, self._listing, self._request)
        self._used = relayed
        head = await relayed.head()
        is_unsent = isinstance(head, Err) and head.err_value is HttpFault.NOT_SENT
        if not is_unsent:
            self.is_connected = True
            return head
        self._take_back()
        if relayed.state is PathState.UNKNOWN:
            self._paths.mark_unhelpful(peer)
            return None
        self.is_upstream_down = relayed.state is PathState.REFUSED
        return head

    def _close_relay(self) -> None:
        if self._relay_number is not None:
            self._paths.close_relay(self._relay_number)
            self._relay_number = None
