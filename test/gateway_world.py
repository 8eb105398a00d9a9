"""A small gateway deployment in one process: the store, upstreams and nodes on loopback."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio
from gateway_samples import config_row, upstream_row
from result import Err

from lentilchute.gateway.node import GatewayNode
from lentilchute.gateway.settings import GatewaySettings
from lentilchute.http.client import ClientRequest, HttpAnswer, HttpClient, HttpClientSettings
from lentilchute.http.messages import Headers
from lentilchute.http.server import open_listeners
from lentilchute.node_context import wait_until
from lentilchute.platform import rows
from lentilchute.standins.routed_upstream import RoutedUpstream
from lentilchute.standins.store import StoreStandin
from lentilchute.util.checked_yaml import default_settings, load_over_defaults
from lentilchute.util.reserved_address import AddressReservations

HOST = "a.example"
KEY = "key-1"
READY_LIMIT_S = 10.0
RESTART_PAUSE_S = 0.1


_reservations = AddressReservations()
"""Held until the process ends: a node of a test may start again at its address."""


@dataclass
class Upstream:
    """A stand-in upstream with its address; cancelling its scope stops it."""

    name: str
    service: str
    standin: RoutedUpstream
    address: str = ""
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass
class Node:
    """A gateway node; cancelling its scope kills it."""

    settings: GatewaySettings
    node: GatewayNode
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def callers(self) -> str:
        return self.settings.listen.callers


class GatewayWorld:
    """The deployment, whose parts tests start, break and stop."""

    def __init__(self, nursery: trio.Nursery, settings: str = "") -> None:
        self._nursery = nursery
        self._settings = settings
        self.store = StoreStandin()
        self.store.state.clock_s = trio.current_time
        self.store_address = ""
        self.upstreams: dict[str, Upstream] = {}
        self.nodes: list[Node] = []
        self._attempts = 0

    async def open(self, drafters: int = 2, agendas: int = 2, nodes: int = 2) -> None:
        """Start everything and wait until all nodes are ready and see all peers and upstreams."""
        listeners = await open_listeners("127.0.0.1:0")
        self.store_address = _address_of(listeners)
        await self._nursery.start(self.store.server.serve, listeners)
        self.store.state.put(rows.CONFIG_TABLE, rows.CONFIG_KEY, config_row())
        for number in range(drafters):
            await self.add_upstream(f"d{number}", "drafters")
        for number in range(agendas):
            await self.add_upstream(f"a{number}", "agenda")
        for number in range(nodes):
            self.add_node(f"node-{number}")
        await self.until(lambda: all(self._has_full_view(node) for node in self.nodes))

    async def add_upstream(
        self, name: str, service: str, started_ms: int = 1, version: str = "v1"
    ) -> Upstream:
        """Start an upstream and list it in the store."""
        upstream = Upstream(name, service, RoutedUpstream(name))
        self.upstreams[name] = upstream
        listeners = await open_listeners("127.0.0.1:0")
        upstream.address = _address_of(listeners)

        async def serve(task_status: trio.TaskStatus[None]) -> None:
            with upstream.scope:
                await upstream.standin.server().serve(listeners, task_status)

        await self._nursery.start(serve)
        self.list_upstream(name, started_ms=started_ms, version=version)
        return upstream

    def list_upstream(
        self,
        name: str,
        state: str = "ready",
        started_ms: int = 1,
        slots: int = 4,
        version: str = "v1",
    ) -> None:
        """Write an upstream's row to the store, as the upstream would."""
        upstream = self.upstreams[name]
        row = upstream_row(
            upstream.service,
            upstream.address,
            state=state,
            started_ms=started_ms,
            slots=slots,
            version=version,
        )
        self.store.state.put(rows.UPSTREAMS_TABLE, name, row)

    def add_node(self, name: str) -> Node:
        """Start a gateway."""
        settings = node_settings(name, self.store_address, self._settings)
        node = Node(settings, GatewayNode(settings, random.Random(name)))
        self.nodes.append(node)
        self._run_node(node)
        return node

    def _run_node(self, node: Node) -> None:
        scope, gateway = node.scope, node.node

        async def run() -> None:
            with scope:
                await gateway.run()

        self._nursery.start_soon(run)

    async def restart_nodes(self, nodes: list[Node], pause_s: float = RESTART_PAUSE_S) -> None:
        """Kill gateways at once and start them again at their addresses, with nothing of what they
        knew."""
        for node in nodes:
            node.scope.cancel()
        await trio.sleep(pause_s)
        for node in nodes:
            node.node, node.scope = GatewayNode(node.settings), trio.CancelScope()
            self._run_node(node)
        await self.until(lambda: all(self._sees_peers(node) for node in nodes))

    async def call(
        self,
        path: str,
        node: int = 0,
        *,
        method: str = "GET",
        tokens: str | None = None,
        headers: Headers = (),
        body: bytes = b"",
        attempt: str | None = None,
    ) -> HttpAnswer | None:
        """Send a request as a caller and return the answer, or ``None`` if it is broken."""
        self._attempts += 1
        sent: list[tuple[str, str]] = [
            ("host", HOST),
            ("lentilchute-attempt-id", attempt or f"attempt-{self._attempts}"),
            ("lentilchute-key", KEY),
            ("lentilchute-deadline-ms", "4000"),
            *headers,
        ]
        if tokens is not None:
            sent.append(("lentilchute-token-counts", tokens))
        client = HttpClient(self.nodes[node].callers, HttpClientSettings())
        try:
            answer = await client.call(ClientRequest(method, path, tuple(sent), body))
        finally:
            await client.aclose()
        return None if isinstance(answer, Err) else answer.ok_value

    async def until(self, is_done: Callable[[], bool], limit_s: float = READY_LIMIT_S) -> None:
        """Poll until a condition holds."""
        with trio.fail_after(limit_s):
            await wait_until(is_done, 0.01)

    def runs(self, attempt: str) -> int:
        """Return how many times upstreams began to execute an attempt."""
        return sum(upstream.standin.runs[attempt] for upstream in self.upstreams.values())

    def _has_full_view(self, node: Node) -> bool:
        context = node.node.context
        listed = all(
            context.fleet.listing(name) is not None  # type: ignore[arg-type]
            for name in self.upstreams
        )
        return listed and self._sees_peers(node)

    def _sees_peers(self, node: Node) -> bool:
        context = node.node.context
        peers = len(context.membership.alive(context.now_s()))
        return context.is_ready and peers == len(self.nodes)


def node_settings(name: str, store_address: str, more: str = "") -> GatewaySettings:
    """Return the settings of a node on loopback, with ``more`` of them."""
    text = f"""
instance: {name}
availability_zone: zone-1
region: region-1
listen:
  callers: {_reservations.reserve()}
  readiness: {_reservations.reserve()}
  directory: {_reservations.reserve()}
  peers: {_reservations.reserve()}
  metrics: {_reservations.reserve()}
store:
  address: {store_address}
shared_key: key-of-the-test-world
quotas:
  overrun: 0.1
  slack: 140000
stop:
  grace_s: 2.0
  answer_lifetime_s: 0.2
{more}"""
    defaults = default_settings("lentilchute.gateway", "gateway_default.yaml")
    return load_over_defaults(text, "node.yaml", GatewaySettings, defaults).unwrap()


def run_world(
    scenario: Callable[[GatewayWorld], Awaitable[None]], settings: str = "", **sizes: int
) -> None:
    """Run a scenario in a new world, whose nodes have further settings."""

    async def main() -> None:
        async with open_world(settings, **sizes) as world:
            await scenario(world)

    trio.run(main)


@asynccontextmanager
async def open_world(settings: str = "", **sizes: int) -> AsyncIterator[GatewayWorld]:
    """Yield a world that runs until the block ends."""
    async with trio.open_nursery() as nursery:
        world = GatewayWorld(nursery, settings)
        await world.open(**sizes)
        yield world
        nursery.cancel_scope.cancel()


def _address_of(listeners: list[trio.SocketListener]) -> str:
    host, port = listeners[0].socket.getsockname()[:2]
    return f"{host}:{port}"
