"""A gateway node: its servers, its controllers and its planned stop.

node = GatewayNode(settings)
await node.run()      # until ``node.stop()``
"""

import functools
import random
import resource
import time
from collections.abc import Callable, Iterable
from typing import Any

import trio

from ..events import Event, log_event
from ..http.caller_account import InputAccount
from ..http.messages import JSON_HEADER
from ..http.requests import HttpRequest
from ..http.responder import Responder
from ..http.server import HttpServer, open_listeners
from ..ids import IncarnationId, InstanceId
from ..peers.heartbeats import PeerInfo
from ..peers.links import LinkIdentity, PeerLinks
from ..peers.membership import Membership
from ..peers.message_dispatch import dispatch, handlers_of
from ..peers.roles import Role
from ..platform import endpoints
from ..platform.store import StoreClient
from ..util.shared_ticks import next_tick_s
from . import (
    connection_watch,
    coordinator,
    crash_persistence,
    crash_reports,
    leaving_notices,
    memory_watch,
    missed_notices,
    overload_log,
    peering,
    placement_client,
    quota_persistence,
    reading,
    relay_service,
    stream_continuity,
    stream_persistence,
    upstream_paths,
    version_persistence,
)
from .context import GatewayContext, build_controllers
from .coordination import CoordinatorChoice
from .crash_guard import CrashGuard
from .fleet import Fleet
from .forwarder import Forwarder
from .gauges import read_gauges
from .held_memory import HeldMemory, room_bytes
from .metric_names import METRICS_PATH, Gauge
from .metrics import GatewayMetrics
from .path_health import PathHealth
from .peering import PeeringController
from .placement_registry import PlacementRegistry
from .planned_stop import PlannedStop
from .prompt_part_guard import PromptPartGuard
from .relay_service import RelayServiceController
from .rollouts import controller as rollouts
from .routes import RoutingConfig
from .server_limits import OPERATOR_LISTENERS, Listener, caller_settings, query_settings
from .settings import GatewaySettings
from .upstream_connections import UpstreamConnections

CONTROLLER_MODULES = (
    connection_watch,
    coordinator,
    crash_persistence,
    crash_reports,
    leaving_notices,
    memory_watch,
    missed_notices,
    overload_log,
    placement_client,
    peering,
    quota_persistence,
    reading,
    relay_service,
    rollouts,
    stream_continuity,
    stream_persistence,
    upstream_paths,
    version_persistence,
)
"""Modules that register peer messages and controllers when they are imported."""

MAX_CACHED_LIFETIMES = 3.0
"""Some of the platform's callers cache a resolve answer for three times its lifetime."""
STOP_MARGIN_SHARE = 0.15
"""Remaining work is ended in the last part of the grace time. The platform excuses requests that
are cut in its last sixth, and a busy process needs part of that to end."""
LAST_ANSWERS_SHARE = 0.05
"""Part of the grace time in which the callers of that work get their answers, at most."""
LAG_INTERVAL_S = 1.0
"""Detects an overloaded event loop at a negligible cost."""
STOP_POLL_S = 0.05
LEAVE_HEARTBEATS = 3
"""Heartbeats sent in quick succession to announce a planned stop; one may be lost with a breaking
link."""


class GatewayNode:
    """Runs all parts of one gateway process."""

    def __init__(self, settings: GatewaySettings, rng: random.Random | None = None) -> None:
        self.settings = settings
        self._stop = trio.Event()
        self.context = _new_context(settings, rng or random.Random())
        self.context.controllers += build_controllers(self.context)
        self._forwarder = Forwarder(self.context)
        self.context.servers.update(self._new_servers())
        self._loop_lag_s = 0.0
        self.context.metrics.read_gauges = self._read_gauges
        self.context.config_listeners.append(self._apply_limits)

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop.set()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the limits of reloaded settings; names and addresses do not change."""
        self.context.placements.apply_settings(settings)
        self.context.memory.room_bytes = room_bytes(settings.machine.memory_mb)
        self._apply_limits(self.context.config)
        log_event(Event.SETTINGS_RELOADED, ok=True, changed=settings != self.settings)

    async def run(self) -> None:
        """Run until a planned stop has completed.

        Raises ``OSError`` if a configured address cannot be bound.
        """
        context = self.context
        handlers = handlers_of(context.controllers)
        context.links.receiver = lambda sender, message: dispatch(handlers, sender, message)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.links.run, self.settings.listen.peers)
                await self._open_servers(nursery)
                for controller in context.controllers:
                    nursery.start_soon(controller.run)
                nursery.start_soon(self._log_ready)
                nursery.start_soon(self._measure_lag)
                nursery.start_soon(context.connections.run, context.fleet)
                log_event(
                    Event.NODE_STARTED,
                    instance=context.instance,
                    incarnation=context.incarnation,
                    callers=self.settings.listen.callers,
                )
                await self._stop.wait()
                await self._drain()
                nursery.cancel_scope.cancel()
        finally:
            context.metrics.close()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await context.store.aclose()

    async def _open_servers(self, nursery: trio.Nursery) -> None:
        listen = self.settings.listen
        for listener, address in (
            (Listener.CALLERS, listen.callers),
            (Listener.READINESS, listen.readiness),
            (Listener.DIRECTORY, listen.directory),
            (Listener.METRICS, listen.metrics),
        ):
            listeners = await open_listeners(address, has_bounded_buffers=True)
            await nursery.start(self.context.servers[listener].serve, listeners)

    async def _log_ready(self) -> None:
        started_s = self.context.now_s()
        while not self.context.is_ready:  # noqa: ASYNC110
            await trio.sleep(STOP_POLL_S)
        log_event(Event.NODE_READY, after_s=round(self.context.now_s() - started_s, 3))

    async def _measure_lag(self) -> None:
        while True:
            due_s = next_tick_s(LAG_INTERVAL_S)
            await trio.sleep_until(due_s)
            self._loop_lag_s = self.context.now_s() - due_s

    def _read_gauges(self) -> Iterable[Gauge]:
        return read_gauges(self.context, self._forwarder.in_progress, self._loop_lag_s)

    async def _answer_metrics(self, request: HttpRequest, responder: Responder) -> None:
        if endpoints.path_of(request.path) != METRICS_PATH:
            await responder.answer(404, (), b"")
            return
        content_type, page = self.context.metrics.render()
        await responder.answer(200, (("content-type", content_type),), page)

    async def _drain(self) -> None:
        """Deregister from the resolve answers, serve the remaining callers, then return."""
        context, stop = self.context, self.settings.stop
        stopped_s = context.now_s()
        log_event(Event.NODE_STOPPING, instance=context.instance)
        context.is_stopping = True
        end_s = stopped_s + stop.grace_s * (1 - STOP_MARGIN_SHARE)
        # Callers may have cached this address for some lifetimes of the resolve answer; refuse
        # requests after that.
        refuses_after_s = min(end_s, stopped_s + MAX_CACHED_LIFETIMES * stop.answer_lifetime_s)
        context.stop = PlannedStop(refuses_after_s, end_s)
        self._forwarder.end_work_at(end_s)
        context.membership.leave(stopped_s)
        self.context.servers[Listener.CALLERS].begin_close()
        for _ in range(LEAVE_HEARTBEATS):
            context.controller(PeeringController).send_heartbeats()
            await trio.sleep(STOP_POLL_S)
        while context.now_s() < end_s:
            if context.now_s() > refuses_after_s and not self._in_progress:
                break
            await trio.sleep(STOP_POLL_S)
        last_s = end_s + stop.grace_s * LAST_ANSWERS_SHARE
        while self._forwarder.in_progress and context.now_s() < last_s:  # noqa: ASYNC110
            await trio.sleep(STOP_POLL_S)
        log_event(
            Event.NODE_STOPPED,
            instance=context.instance,
            work_was_cut=self._in_progress > 0 or self._forwarder.ended_by_stop > 0,
        )

    @property
    def _in_progress(self) -> int:
        """Requests of callers, and those that are carried for peers."""
        relays = self.context.controller(RelayServiceController)
        return self._forwarder.in_progress + relays.in_progress

    def _new_servers(self) -> dict[Listener, HttpServer]:
        """Return the node's servers, whose connections are counted in the node's memory."""
        handlers = {
            Listener.DIRECTORY: self._answer_resolve,
            Listener.READINESS: self._answer_ready,
            Listener.METRICS: self._answer_metrics,
        }
        most = self._max_descriptors
        servers = {
            listener: HttpServer(query_settings(listener, most), handler)
            for listener, handler in handlers.items()
        }
        settings = caller_settings(None, most, self.context.memory)
        servers[Listener.CALLERS] = HttpServer(settings, self._forwarder.handle)
        for listener, server in servers.items():
            server.open_account = functools.partial(self._open_account, listener)
        return servers

    def _open_account(self, listener: Listener, give_up: Callable[[], None]) -> InputAccount | None:
        return self.context.memory.open_connection(
            give_up, self.context.now_s(), is_operators=listener in OPERATOR_LISTENERS
        )

    @property
    def _max_descriptors(self) -> int:
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = [self.settings.machine.max_descriptors, allowed]
        return min((limit for limit in limits if limit is not None and limit > 0), default=1_024)

    def _apply_limits(self, config: RoutingConfig | None) -> None:
        server = self.context.servers[Listener.CALLERS]
        server.settings = caller_settings(config, self._max_descriptors, self.context.memory)

    async def _answer_ready(self, request: HttpRequest, responder: Responder) -> None:
        is_ready_path = endpoints.path_of(request.path) == endpoints.READY_PATH
        status = 404 if not is_ready_path else 200 if self.context.is_ready else 503
        await responder.answer(status, (), b"")

    async def _answer_resolve(self, request: HttpRequest, responder: Responder) -> None:
        if endpoints.path_of(request.path) != endpoints.RESOLVE_PATH:
            await responder.answer(404, (), b"")
            return
        addresses = self._caller_addresses(endpoints.requested_zone(request.path))
        body = endpoints.encode_resolve_answer(addresses, self.settings.stop.answer_lifetime_s)
        await responder.answer(200 if addresses else 503, (JSON_HEADER,), body)

    def _caller_addresses(self, zone: str | None) -> list[str]:
        """Return the addresses for callers of the live nodes.

        More nodes than an answer may list are shuffled for each answer, those of ``zone`` first.
        """
        context = self.context
        alive = list(context.membership.alive(context.now_s()))
        if len(alive) > endpoints.MAX_ADDRESSES:
            context.rng.shuffle(alive)
            alive.sort(key=lambda info: info.zone != zone)
        return [info.callers_address for info in alive if info.instance != context.instance] + (
            [self.settings.listen.callers] if context.is_ready else []
        )


def _new_context(settings: GatewaySettings, rng: random.Random) -> GatewayContext:
    instance = settings.instance_id
    incarnation = IncarnationId(f"{instance}.{rng.getrandbits(48):012x}")
    info = PeerInfo(
        instance=instance,
        incarnation=incarnation,
        generation=int(time.time()),
        address=settings.listen.peers_public_address,
        callers_address=settings.listen.callers,
        zone=settings.zone,
        region=settings.region,
        roles=(Role.ENTRY,),
        strength=settings.machine.cores * settings.machine.core_share,
    )
    identity = LinkIdentity(instance, incarnation, settings.shared_key)
    return GatewayContext(
        settings=settings,
        incarnation=incarnation,
        rng=rng,
        store=StoreClient(settings.store.address, settings.store.timeout_s),
        links=PeerLinks(identity, _discard_message, rng.randbytes),
        membership=Membership(info, settings.membership, rng, trio.current_time()),
        fleet=Fleet(),
        placements=PlacementRegistry(settings, rng),
        choice=CoordinatorChoice(instance),
        crash_guard=CrashGuard(),
        prompt_part_guard=PromptPartGuard(),
        metrics=GatewayMetrics(instance, settings.zone),
        connections=UpstreamConnections(),
        path_health=PathHealth(),
        memory=HeldMemory(room_bytes(settings.machine.memory_mb)),
        started_s=trio.current_time(),
    )


def _discard_message(sender: InstanceId, message: Any) -> None:
    """Discard a message that arrives before the controllers are registered."""
