"""Kept connections to upstreams, by incarnation.

A request that may be repeated goes out on a kept connection if there is one; any other request gets
a connection of its own, since a connection that died while it was idle leaves open whether the
request ran. ``forwarder.py`` checks that an answer on a kept connection names its request.
"""

import trio

from ..http.client import HttpClient, HttpClientSettings, Opener, open_tcp
from ..util.shared_ticks import sleep_to_tick
from .fleet import Fleet, UpstreamListing

CONNECT_TIMEOUT_S = 0.4
"""Upstreams are a few milliseconds away. After a lost packet, trying another one is faster than
waiting for the retransmission."""
MAX_IDLE_CONNECTIONS = 1
"""Kept for each upstream, so that all nodes together keep a small part of what it accepts."""
IDLE_TIMEOUT_S = 12.0
"""Upper limit; an upstream that announces a shorter time in ``Keep-Alive`` is believed."""
REUSED_ACK_TIMEOUT_S = 0.6
"""A healthy upstream acknowledges within milliseconds; a silently dead connection costs this much
of a latency objective."""
SWEEP_INTERVAL_S = 3.0

_SETTINGS = HttpClientSettings(
    connect_timeout_s=CONNECT_TIMEOUT_S,
    max_idle_connections=MAX_IDLE_CONNECTIONS,
    idle_timeout_s=IDLE_TIMEOUT_S,
    reused_ack_timeout_s=REUSED_ACK_TIMEOUT_S,
    accepts_close_delimited=True,
)


class UpstreamConnections:
    """One HTTP client for each incarnation of an upstream that this node has used."""

    def __init__(self, opener: Opener = open_tcp) -> None:
        self.opener = opener
        """Opens each new connection to an upstream."""
        self._clients: dict[tuple[str, int, str], HttpClient] = {}

    def client(self, listing: UpstreamListing) -> HttpClient:
        """Return the client of an incarnation."""
        key = (listing.upstream, listing.started_ms, listing.address)
        found = self._clients.get(key)
        if found is None:
            found = self._clients[key] = HttpClient(listing.address, _SETTINGS, self._open)
        return found

    async def can_connect(self, listing: UpstreamListing) -> bool:
        """Return whether an upstream accepts a connection, which is closed at once."""
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self.opener(listing.address)
        except (OSError, trio.TooSlowError):
            return False
        await trio.aclose_forcefully(stream)
        return True

    async def _open(self, address: str) -> trio.abc.HalfCloseableStream:
        return await self.opener(address)

    async def run(self, fleet: Fleet) -> None:
        """Close what will not be used again, until cancelled."""
        while True:
            await sleep_to_tick(SWEEP_INTERVAL_S)
            for key, client in list(self._clients.items()):
                listing = fleet.listing(key[0])  # type: ignore[arg-type]
                if listing is None or (listing.started_ms, listing.address) != key[1:]:
                    # ``close_idle`` may have removed it while an earlier client was closed.
                    if self._clients.get(key) is client:
                        del self._clients[key]
                    await client.aclose()
                else:
                    await client.close_expired()

    async def close_idle(self) -> None:
        """Close all idle connections, as after a pause of the process."""
        clients, self._clients = self._clients, {}
        for client in clients.values():
            await client.aclose()
