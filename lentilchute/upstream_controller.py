"""Controller that follows the platform's list of instances and the states of upstreams."""

from collections.abc import Iterable, Mapping
from typing import Any

import trio

from .events import Event, log_event
from .ids import InstanceId, UpstreamId
from .messages import UpstreamNotice
from .node_context import MessageHandler, NodeContext, node_controller
from .peers import PeerAddress
from .platform import ListedInstance, ListedState
from .upstream_directory import UpstreamState

ENTRY_KIND = "entry"


@node_controller(None)
class UpstreamController:
    """Polls the list, marks leaving upstreams and shares an operator's drain."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {UpstreamNotice: self._on_notice}

    async def run(self) -> None:
        while True:
            listed = await self._context.platform.instances.instances()
            if listed.is_ok():
                self._take_list(listed.unwrap())
            await trio.sleep(self._context.settings.membership.instance_poll_s)

    def drain(self, upstream: UpstreamId) -> bool:
        """Give an upstream no new work, here and on the other nodes; false when unknown."""
        known = self._context.directory.get(upstream) is not None
        self._context.broadcast(UpstreamNotice(upstream, UpstreamState.LEAVING.value))
        self._set_state(upstream, UpstreamState.LEAVING)
        return known

    def _on_notice(self, sender: InstanceId, notice: UpstreamNotice) -> None:
        if notice.state == UpstreamState.LEAVING.value:
            self._set_state(notice.upstream, UpstreamState.LEAVING)

    def _take_list(self, listed: list[ListedInstance]) -> None:
        context = self._context
        context.membership.learn_peers(_entries(listed), context.now_s())
        self._tell(context.directory.set_listed(listed))
        for instance in listed:
            if instance.kind != ENTRY_KIND and instance.state is ListedState.LEAVING:
                self._set_state(UpstreamId(instance.name), UpstreamState.LEAVING)

    def _set_state(self, upstream: UpstreamId, state: UpstreamState) -> None:
        if self._context.directory.set_state(upstream, state):
            log_event(Event.UPSTREAM_LEAVING, upstream=upstream, state=state)
            self._tell([upstream])

    def _tell(self, changed: Iterable[UpstreamId]) -> None:
        for upstream in changed:
            for listener in self._context.upstream_listeners:
                listener(upstream)


def _entries(listed: list[ListedInstance]) -> list[PeerAddress]:
    return [
        PeerAddress(InstanceId(instance.name), instance.address)
        for instance in listed
        if instance.kind == ENTRY_KIND and instance.state is ListedState.LIVE
    ]
