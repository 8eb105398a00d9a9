"""Controller that spreads the word of upstreams that announce their leaving in an answer.

An upstream may leave without a change of its row in the store, or long before that change is read.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from ..ids import InstanceId, UpstreamId
from ..peers.message_dispatch import MessageHandler
from .context import GatewayContext, gateway_controller
from .fleet import UpstreamChange
from .messages import LeavingNotice, LeavingUpstream
from .reading import ReadingController


@gateway_controller
class LeavingNoticeController:
    """Tells all nodes at once, and again a node that has just started."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {LeavingNotice: self._on_notice}

    async def run(self) -> None:
        return

    def announce(self, upstream: UpstreamId, started_ms: int) -> None:
        """Record that an incarnation of an upstream is leaving, here and at all peers."""
        leaving = LeavingUpstream(upstream, started_ms)
        if self._record((leaving,)):
            self._context.broadcast(LeavingNotice((leaving,), ()))

    def repeat_to(self, instance: InstanceId) -> None:
        """Tell a node that has just started, which knows of no earlier notice."""
        fleet = self._context.fleet
        leaving = tuple(LeavingUpstream(*item) for item in fleet.announced_leaving().items())
        departed = tuple(LeavingUpstream(*item) for item in fleet.distrusted(self._context.now_s()))
        if leaving or departed:
            self._context.post(instance, LeavingNotice(leaving, departed))

    def _on_notice(self, _sender: InstanceId, notice: LeavingNotice) -> None:
        now_s = self._context.now_s()
        changes: list[UpstreamChange] = []
        for item in notice.departed:
            changes += self._context.fleet.distrust(item.upstream, item.started_ms, now_s)
        if changes:
            self._context.controller(ReadingController).announce(changes)
        self._record(notice.leaving)

    def _record(self, leaving: Iterable[LeavingUpstream]) -> bool:
        fleet = self._context.fleet
        changes: list[UpstreamChange] = []
        for item in leaving:
            changes += fleet.mark_leaving(item.upstream, item.started_ms)
        if changes:
            self._context.controller(ReadingController).announce(changes)
        return bool(changes)
