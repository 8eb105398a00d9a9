"""Tracks the states of upstreams: polls the list of instances, shares reports and drains."""

import math
from collections.abc import Mapping
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import InstanceId, UpstreamId
from ..node_context import NodeContext, node_controller
from ..peers.heartbeats import PeerAddress, PeerChange, PeerChangeKind
from ..peers.message_dispatch import MessageHandler
from ..state.platform_services import ListedInstance, ListedState
from .instance_watch import WatchChange, WatchedState
from .messages import UpstreamAvailability, UpstreamNotice

ENTRY_KIND = "entry"

_EVENTS = {
    WatchedState.LIVE: Event.UPSTREAM_ADDED,
    WatchedState.LEAVING: Event.UPSTREAM_LEAVING,
    WatchedState.GONE: Event.UPSTREAM_REMOVED,
}


@node_controller(None)
class UpstreamController:
    """Drives ``InstanceWatch``, logs its changes and notifies the node's listeners."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._watch = context.directory.watch
        self._listed: dict[UpstreamId, ListedInstance] = {}
        self._drained: set[UpstreamId] = set()
        context.peer_listeners.append(self._on_peer_change)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {UpstreamNotice: self._on_notice}

    async def run(self) -> None:
        while True:
            asked_s = self._context.now_s()
            listed = await self._context.platform.instances.instances()
            if listed.is_ok():
                self._apply_list(listed.unwrap(), asked_s)
            self._report_changes(self._watch.tick(self._context.now_s()))
            await trio.sleep(self._context.settings.membership.instance_poll_s)

    def record_self_report(self, upstream: UpstreamId, *, leaving: bool, asked_s: float) -> None:
        """Record an upstream's own report of its state; broadcast it if the state changes."""
        changes = self._apply_self_report(upstream, leaving=leaving, asked_s=asked_s)
        if changes:
            availability = UpstreamAvailability.LEAVING if leaving else UpstreamAvailability.LIVE
            self._context.broadcast(UpstreamNotice(upstream, availability))

    def drain(self, upstream: UpstreamId) -> bool:
        """Drain an upstream on all nodes; return whether this node knows it."""
        known = self._context.directory.get(upstream) is not None
        self._context.broadcast(UpstreamNotice(upstream, UpstreamAvailability.DRAINED))
        self._set_drained(upstream)
        return known

    def undrain(self, upstream: UpstreamId) -> bool:
        """End a drain on all nodes; return whether this node knows the upstream."""
        known = self._context.directory.get(upstream) is not None
        self._context.broadcast(UpstreamNotice(upstream, UpstreamAvailability.UNDRAINED))
        self._end_drain(upstream)
        return known

    def _on_notice(self, sender: InstanceId, notice: UpstreamNotice) -> None:
        if notice.news is UpstreamAvailability.DRAINED:
            self._set_drained(notice.upstream)
        elif notice.news is UpstreamAvailability.UNDRAINED:
            self._end_drain(notice.upstream)
        else:
            leaving = notice.news is UpstreamAvailability.LEAVING
            asked_s = self._context.now_s()
            self._apply_self_report(notice.upstream, leaving=leaving, asked_s=asked_s)

    def _on_peer_change(self, change: PeerChange) -> None:
        if change.kind is PeerChangeKind.ALIVE:
            # A node that started after a drain was broadcast gets it from its peers.
            for upstream in self._drained:
                notice = UpstreamNotice(upstream, UpstreamAvailability.DRAINED)
                self._context.post(change.info.instance, notice)

    def _apply_self_report(
        self, upstream: UpstreamId, *, leaving: bool, asked_s: float
    ) -> list[WatchChange]:
        changes = self._watch.record_self_report(
            upstream, leaving=leaving, asked_s=asked_s, now_s=self._context.now_s()
        )
        self._report_changes(changes)
        return changes

    def _set_drained(self, upstream: UpstreamId) -> None:
        self._drained.add(upstream)
        self._report_changes(self._watch.drain(upstream, math.inf, self._context.now_s()))

    def _end_drain(self, upstream: UpstreamId) -> None:
        self._drained.discard(upstream)
        self._report_changes(self._watch.undrain(upstream, self._context.now_s()))

    def _apply_list(self, listed: list[ListedInstance], asked_s: float) -> None:
        context = self._context
        context.membership.set_listed_peers(_entry_addresses(listed), context.now_s())
        upstreams = [item for item in listed if item.kind != ENTRY_KIND]
        self._listed.update({UpstreamId(item.name): item for item in upstreams})
        changed = context.directory.set_listed(list(self._listed.values()))
        changes = self._watch.apply_list(upstreams, asked_s, context.now_s())
        for change in changes:
            if change.state is WatchedState.GONE:
                self._listed.pop(change.upstream, None)
        self._notify_listeners(changed)
        self._report_changes(changes)

    def _report_changes(self, changes: list[WatchChange]) -> None:
        for change in changes:
            log_event(_EVENTS[change.state], upstream=change.upstream, reason=change.reason)
        self._notify_listeners([change.upstream for change in changes])

    def _notify_listeners(self, changed: list[UpstreamId]) -> None:
        for upstream in changed:
            if upstream in self._drained:
                self._watch.drain(upstream, math.inf, self._context.now_s())
            for listener in self._context.upstream_listeners:
                listener(upstream)


def _entry_addresses(listed: list[ListedInstance]) -> list[PeerAddress]:
    return [
        PeerAddress(InstanceId(instance.name), instance.address)
        for instance in listed
        if instance.kind == ENTRY_KIND and instance.state is ListedState.LIVE
    ]
