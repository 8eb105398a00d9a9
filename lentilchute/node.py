"""One node: creates and runs the components of the roles in its settings.

Typical use::

    node = Node(settings)
    await node.run()    # returns after ``node.stop()`` and a graceful stop
"""

import random
import time
from typing import Any

import trio

from .entry import controller as entry_controller
from .entry.controller import EntryController
from .events import Event, log_event
from .ids import IncarnationId, InstanceId
from .metrics import Gauges, Metrics
from .node_context import NodeContext, check_document_text, controllers_for
from .operators import controller as operator_controller
from .operators.controller import read_gauges
from .peers import membership_controller
from .peers.heartbeats import PeerAddress, PeerInfo
from .peers.links import LinkIdentity, PeerLinks
from .peers.membership import Membership
from .peers.message_dispatch import Controller, Handlers, dispatch, handlers_of
from .scheduler import controller as scheduler_controller
from .settings import NodeSettings, PeerSeed
from .state import claim_expiry_controller, configuration_controller, platform_http
from .state.configuration import ConfigRegistry
from .state.metered_platform import MeteredPlatform
from .state.platform_services import platform_for
from .upstream import controller as upstream_controller
from .upstream import engine as upstream_engine
from .upstream import plain as upstream_plain
from .upstream.directory import UpstreamDirectory

REGISTERING_MODULES = (
    claim_expiry_controller,
    configuration_controller,
    entry_controller,
    membership_controller,
    operator_controller,
    platform_http,
    scheduler_controller,
    upstream_controller,
    upstream_engine,
    upstream_plain,
)
"""Modules that register controllers and adapters on import."""

LAST_HEARTBEAT_PAUSE_S = 0.3
"""Time for the last heartbeat to be sent before the links close."""


class Node:
    """Runs the roles of one node."""

    def __init__(self, settings: NodeSettings, rng: random.Random | None = None) -> None:
        self.settings = settings
        self._rng = rng or random.Random()
        self._stop = trio.Event()
        self._running_context: NodeContext | None = None

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until a planned stop has completed.

        Raises ``OSError`` if a configured address cannot be bound.
        """
        context = self._running_context = self._create_context()
        controllers = controllers_for(context)
        context.controllers += controllers
        handlers = handlers_of(controllers)
        context.links.receiver = lambda sender, message: dispatch(handlers, sender, message)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.links.run, self.settings.listen.peers)
                nursery.start_soon(_dispatch_local, context, handlers)
                for controller in controllers:
                    nursery.start_soon(controller.run)
                log_event(
                    Event.NODE_STARTED,
                    instance=context.instance,
                    incarnation=context.incarnation,
                    callers=self.settings.listen.callers,
                )
                task_status.started()
                await self._stop.wait()
                await self._shut_down(context, controllers)
                nursery.cancel_scope.cancel()
        finally:
            context.metrics.close()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await context.platform.aclose()

    async def _shut_down(self, context: NodeContext, controllers: list[Controller]) -> None:
        """Announce the stop, wait for answers to callers to finish, and send a last heartbeat."""
        log_event(Event.NODE_STOPPING, instance=context.instance)
        context.stopping.set()
        context.membership.leave(context.now_s())
        with trio.move_on_after(self.settings.stop_timeout_s) as scope:
            for controller in controllers:
                if isinstance(controller, EntryController):
                    await controller.stop()
        await trio.sleep(LAST_HEARTBEAT_PAUSE_S)
        log_event(
            Event.NODE_STOPPED, instance=context.instance, work_was_cut=scope.cancelled_caught
        )

    def _read_gauges(self) -> Gauges:
        return Gauges() if self._running_context is None else read_gauges(self._running_context)

    def _create_context(self) -> NodeContext:
        settings = self.settings
        incarnation = _new_incarnation(settings.instance_id, self._rng)
        now_s = trio.current_time()
        identity = LinkIdentity(settings.instance_id, incarnation, settings.shared_key)
        metrics = Metrics(settings.instance_id, settings.zone, self._read_gauges)
        return NodeContext(
            settings=settings,
            incarnation=incarnation,
            rng=self._rng,
            platform=MeteredPlatform(platform_for(settings.platform), metrics),
            links=PeerLinks(identity, _discard_message, self._rng.randbytes),
            membership=Membership(
                _peer_info(settings, incarnation),
                settings.membership,
                self._rng,
                now_s,
                [_seed_address(seed) for seed in settings.peers],
            ),
            configuration=ConfigRegistry(check_document_text, settings.membership, now_s),
            directory=UpstreamDirectory(),
            metrics=metrics,
            wall_offset_s=time.time() - now_s,
        )


def _new_incarnation(instance: InstanceId, rng: random.Random) -> IncarnationId:
    return IncarnationId(f"{instance}.{rng.getrandbits(48):012x}")


def _seed_address(seed: PeerSeed) -> PeerAddress:
    return PeerAddress(InstanceId(seed.instance), seed.address)


def _peer_info(settings: NodeSettings, incarnation: IncarnationId) -> PeerInfo:
    return PeerInfo(
        instance=settings.instance_id,
        incarnation=incarnation,
        generation=int(time.time()),
        address=settings.listen.peers,
        callers_address=settings.listen.callers,
        operators_address=settings.listen.operators,
        zone=settings.zone,
        region=settings.region,
        roles=settings.roles,
    )


async def _dispatch_local(context: NodeContext, handlers: Handlers) -> None:
    while True:
        for message in await context.receive_local():
            dispatch(handlers, context.instance, message)


def _discard_message(sender: InstanceId, message: Any) -> None:
    """Discard a message that arrives before the node's controllers are registered."""
