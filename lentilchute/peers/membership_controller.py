"""Controller that exchanges heartbeats and notifies listeners of membership changes."""

from collections.abc import Mapping
from typing import Any

from ..events import log_event
from ..ids import InstanceId
from ..node_context import NodeContext, node_controller, repeat
from .events import PEER_EVENTS
from .heartbeats import Heartbeat, PeerChange
from .message_dispatch import MessageHandler


@node_controller(None)
class MembershipController:
    """Runs ``Membership`` at the heartbeat interval."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {Heartbeat: self._on_heartbeat}

    async def run(self) -> None:
        await repeat(self._context.settings.membership.heartbeat_interval_s, self._run_interval)

    def _run_interval(self) -> None:
        context = self._context
        now_s = context.now_s()
        self._publish_changes(context.membership.tick(now_s))
        ready = context.configuration.is_ready(now_s)
        context.membership.set_configuration(context.configuration.digest(), ready=ready)
        for outgoing in context.membership.heartbeat(now_s):
            context.links.send(outgoing.instance, outgoing.address, outgoing.heartbeat)

    def _on_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        self._publish_changes(self._context.membership.received(heartbeat, self._context.now_s()))

    def _publish_changes(self, changes: list[PeerChange]) -> None:
        for change in changes:
            log_event(
                PEER_EVENTS[change.kind],
                peer=change.info.instance,
                incarnation=change.info.incarnation,
                change=change.kind.value,
            )
            for listener in self._context.peer_listeners:
                listener(change)
