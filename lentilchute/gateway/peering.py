"""Controller that discovers peers by their rows in the store and tracks them by heartbeats."""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..events import Event, log_event
from ..ids import InstanceId
from ..peers.events import PEER_EVENTS
from ..peers.heartbeats import Heartbeat, PeerAddress, PeerChange, PeerChangeKind
from ..peers.message_dispatch import MessageHandler
from ..platform import rows
from ..platform.store import RowWrite
from .context import GatewayContext, gateway_controller
from .coordinator import CoordinatorController
from .missed_notices import MissedNoticeController
from .reading import ReadingController
from .relay_service import RelayServiceController
from .upstream_paths import UpstreamPathController

REGISTER_RETRY_S = 0.5
"""Delay before a failed write of this node's row is retried."""
REGISTER_SPREAD_S = 2.0
"""Time over which the nodes write their rows after a restore of the store."""
INITIAL_DISCOVERY_READS = 3
INITIAL_DISCOVERY_INTERVAL_S = 1.5
"""Nodes that start together find each other's rows within the first few reads of the table."""
DISCOVERY_INTERVAL_S = 1.5
"""Later reads only find nodes that no heartbeat has named. Each node multiplies the interval by the
number of nodes, so that all nodes together read this often."""


@gateway_controller
class PeeringController:
    """Registers this node and maintains its view of the peers."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._store_was_restored = trio.Event()
        context.store.era_listeners.append(self._request_registration)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {Heartbeat: self._on_heartbeat}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_heartbeats)
            nursery.start_soon(self._run_discovery)
            nursery.start_soon(self._register_after_restores)

    async def _run_heartbeats(self) -> None:
        context = self._context
        while True:
            now_s = context.now_s()
            self._handle_peer_changes(context.membership.tick(now_s))
            context.controller(CoordinatorController).update_scope()
            self.send_heartbeats()
            await trio.sleep(context.settings.membership.heartbeat_interval_s)

    def send_heartbeats(self) -> None:
        """Send the current heartbeats, which also announce a planned stop."""
        context = self._context
        version = 0 if context.config is None else context.config.version
        context.membership.set_configuration(version, ready=context.is_ready)
        for outgoing in context.membership.heartbeat(context.now_s()):
            context.links.send(outgoing.instance, outgoing.address, outgoing.heartbeat)

    async def _run_discovery(self) -> None:
        await self._register()
        for _ in range(INITIAL_DISCOVERY_READS):
            await self._read_node_rows()
            await trio.sleep(INITIAL_DISCOVERY_INTERVAL_S)
            if self._has_found_all_nodes():
                break
        while True:
            nodes = len(self._context.membership.present()) + 1
            await trio.sleep(DISCOVERY_INTERVAL_S * nodes)
            await self._read_node_rows()

    def _has_found_all_nodes(self) -> bool:
        listed = self._context.listed_nodes
        return listed is not None and len(self._context.membership.present()) + 1 >= listed

    def _request_registration(self) -> None:
        self._store_was_restored.set()

    async def _register_after_restores(self) -> None:
        """Write this node's row again whenever the store has come back from an older copy."""
        while True:
            await self._store_was_restored.wait()
            self._store_was_restored = trio.Event()
            # All nodes write to one part of the table.
            await trio.sleep(REGISTER_SPREAD_S * self._context.rng.random())
            await self._register()

    async def _register(self) -> None:
        address = self._context.settings.listen.peers_public_address
        row = RowWrite(rows.NODES_TABLE, self._context.instance, rows.encode_node(address))
        while isinstance(written := await self._context.store.write((row,)), Err):
            log_event(Event.PLATFORM_DOWN, call="register", fault=written.err_value.value)
            await trio.sleep(REGISTER_RETRY_S * (1 + self._context.rng.random()))

    async def _read_node_rows(self) -> None:
        page = await self._context.store.read_table(rows.NODES_TABLE)
        if isinstance(page, Err):
            log_event(Event.PLATFORM_DOWN, call="read-nodes", fault=page.err_value.value)
            return
        found: list[PeerAddress] = []
        for row in page.ok_value.rows:
            node = rows.decode_node(row.key, row.value or b"")
            if isinstance(node, Err):
                log_event(Event.ROW_REJECTED, table="nodes", row=row.key, error=node.err_value)
                continue
            found.append(node.ok_value)
        self._context.membership.set_listed_peers(found, self._context.now_s())
        self._context.listed_nodes = len(found)

    def _on_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        self._context.controller(ReadingController).relay_config(sender, heartbeat.digest)
        self._handle_peer_changes(
            self._context.membership.received(heartbeat, self._context.now_s())
        )

    def _handle_peer_changes(self, changes: list[PeerChange]) -> None:
        for change in changes:
            log_event(
                PEER_EVENTS[change.kind],
                peer=change.info.instance,
                incarnation=change.info.incarnation,
                change=change.kind.value,
            )
            controller = self._context.controller(CoordinatorController)
            controller.peer_changed(change.kind, change.info.incarnation)
            if change.kind in (PeerChangeKind.SUSPECT, PeerChangeKind.GONE):
                self._context.controller(UpstreamPathController).peer_lost(change.info.instance)
            if change.kind is PeerChangeKind.GONE:
                self._context.controller(RelayServiceController).peer_gone(change.info.instance)
            if change.kind is PeerChangeKind.ALIVE:
                self._context.controller(MissedNoticeController).peer_returned(change.info.instance)
        if changes:
            self._choose_coordinator()

    def _choose_coordinator(self) -> None:
        context = self._context
        is_changed = context.choice.update(context.membership.alive(context.now_s()))
        for listener in context.coordinator_listeners:
            listener()
        if is_changed and context.choice.is_coordinator:
            context.controller(CoordinatorController).take_over()
        elif is_changed:
            log_event(
                Event.COORDINATOR_CHOSEN, coordinator=context.choice.coordinator, is_own=False
            )
