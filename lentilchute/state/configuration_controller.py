"""Controller that keeps the service documents in force on this node up to date."""

from collections.abc import Mapping
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import DocumentVersion, InstanceId, ServiceName
from ..node_context import NodeContext, node_controller
from ..peers.heartbeats import Heartbeat, PeerChange, PeerChangeKind
from ..peers.message_dispatch import MessageHandler
from .configuration import (
    ConfigAction,
    DocumentInForce,
    DocumentRejected,
    PushDocument,
    ReadDocuments,
    ReadIndex,
    SendVersions,
)
from .configuration_records import INDEX_KEY
from .messages import ConfigNotice, ConfigVersions, ServiceVersion

MAX_SLEEP_S = 0.5


@node_controller(None)
class ConfigurationController:
    """Drives ``ConfigRegistry``: polls the table, compares with peers, applies documents."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._registry = context.configuration
        self._nursery: trio.Nursery | None = None
        self._was_ready = False
        context.peer_listeners.append(self._on_peer_change)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {
            ConfigNotice: self._on_notice,
            ConfigVersions: self._on_versions,
            Heartbeat: self._on_heartbeat,
        }

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                now_s = self._context.now_s()
                self._execute(self._registry.tick(now_s))
                self._log_readiness(now_s)
                pause_s = self._registry.next_tick_s() - now_s
                await trio.sleep(min(max(pause_s, 0.01), MAX_SLEEP_S))

    def _log_readiness(self, now_s: float) -> None:
        is_ready = self._registry.is_ready(now_s)
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            event = Event.NODE_READY if is_ready else Event.NODE_NOT_READY
            log_event(event, instance=self._context.instance)

    def apply_document(self, service: ServiceName, version: int, text: str) -> None:
        """Put an accepted change in force on this node immediately."""
        number = DocumentVersion(version)
        self._execute(self._registry.apply_document(service, number, text, self._context.now_s()))

    def _on_notice(self, sender: InstanceId, notice: ConfigNotice) -> None:
        now_s = self._context.now_s()
        self._execute(
            self._registry.apply_document(notice.service, notice.version, notice.text, now_s)
        )

    def _on_versions(self, sender: InstanceId, message: ConfigVersions) -> None:
        versions = {line.service: line.version for line in message.versions}
        self._execute(self._registry.peer_versions(sender, versions, self._context.now_s()))

    def _on_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        actions = self._registry.peer_heartbeat(
            sender,
            heartbeat.digest,
            ready=heartbeat.ready,
            fresh=self._context.membership.is_fresh(heartbeat),
            now_s=self._context.now_s(),
        )
        self._execute(actions)

    def _on_peer_change(self, change: PeerChange) -> None:
        if change.kind is PeerChangeKind.GONE:
            self._registry.forget_peer(change.info.instance)

    def _execute(self, actions: list[ConfigAction]) -> None:
        for action in actions:
            self._execute_one(action)

    def _execute_one(self, action: ConfigAction) -> None:
        if isinstance(action, (ReadIndex, ReadDocuments)):
            if self._nursery is not None:
                self._nursery.start_soon(self._read, action)
        elif isinstance(action, SendVersions):
            lines = [ServiceVersion(name, number) for name, number in action.versions.items()]
            self._context.post(action.peer, ConfigVersions(tuple(lines)))
        elif isinstance(action, PushDocument):
            document = action.document
            notice = ConfigNotice(document.service, document.version, document.text)
            self._context.post(action.peer, notice)
        elif isinstance(action, DocumentInForce):
            self._put_in_force(action)
        elif isinstance(action, DocumentRejected):
            log_event(
                Event.CONFIG_REJECTED,
                service=action.service,
                version=action.version,
                reason=action.reason,
            )

    async def _read(self, action: ReadIndex | ReadDocuments) -> None:
        table = self._context.platform.table
        if isinstance(action, ReadIndex):
            row = await table.get(INDEX_KEY)
            actions = self._registry.index_answered(action.call_id, row, self._context.now_s())
        else:
            rows = await table.get_many(list(action.keys))
            actions = self._registry.documents_answered(action.call_id, rows, self._context.now_s())
        self._execute(actions)

    def _put_in_force(self, action: DocumentInForce) -> None:
        log_event(Event.CONFIG_IN_FORCE, service=action.service, version=action.version)
        context = self._context
        changed = context.directory.set_document(action.service, action.document)
        for document_listener in context.document_listeners:
            document_listener(action.service, action.document)
        for upstream in changed:
            for upstream_listener in context.upstream_listeners:
                upstream_listener(upstream)
