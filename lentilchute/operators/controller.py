"""Controller of the operators' interface: status, documents, changes, drains and metrics."""

import hashlib
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from ..document import ServiceDocument
from ..events import Event, log_event
from ..http.server import HttpServer, HttpServerSettings, open_listeners
from ..ids import DocumentVersion, ServiceName, Tier, UpstreamId
from ..metrics import DocumentInForce, Gauges, LearnedRates, Metrics
from ..node_context import NodeContext, node_controller
from ..peers.message_dispatch import MessageHandler
from ..scheduler.controller import SchedulerController
from ..scheduler.shard_status import ShardStatus
from ..state.configuration_apply import ApplyOperation, ApplyState, DocumentChange
from ..state.configuration_controller import ConfigurationController
from ..state.configuration_records import history_key, parse_document_row
from ..state.document_changes import apply_change
from ..state.messages import ConfigNotice
from ..state.platform_services import TableFault
from ..upstream.controller import UpstreamController
from ..util.build_id import build_id
from .api import (
    ChangeAnswer,
    ChangeRequest,
    ChangeState,
    DocumentAnswer,
    DrainAnswer,
    HistoryEntry,
    PeerAnswer,
    ShardAnswer,
    StatusAnswer,
    UpstreamAnswer,
    operator_key,
)
from .routes import OperatorApi

CHANGE_TIMEOUT_S = 8.0
"""Shorter than the head timeout of ``OperatorClient``, which waits for the answer."""

MAX_CONNECTIONS = 64

_CHANGE_STATES = {
    ApplyState.ACCEPTED: ChangeState.ACCEPTED,
    ApplyState.CONFLICT: ChangeState.CONFLICT,
    ApplyState.NOT_APPLIED: ChangeState.NOT_APPLIED,
    ApplyState.UNRESOLVED: ChangeState.UNRESOLVED,
}


@node_controller(None)
class OperatorController:
    """Serves the operators' interface of one node."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._api = OperatorApi(self, operator_key(context.settings.shared_key))

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        listeners = await open_listeners(self._context.settings.listen.operators)
        settings = HttpServerSettings(max_connections=MAX_CONNECTIONS)
        await HttpServer(settings, self._api.handle, self._api.check_head).serve(listeners)

    @property
    def metrics(self) -> Metrics:
        """The node's metrics."""
        return self._context.metrics

    def status(self) -> StatusAnswer:
        """Return the node's current state, from memory."""
        context = self._context
        now_s = context.now_s()
        return StatusAnswer(
            instance=context.instance,
            incarnation=context.incarnation,
            availability_zone=context.zone,
            region=context.settings.region,
            ready=context.configuration.is_ready(now_s),
            stopping=context.stopping.is_set(),
            documents=context.configuration.versions(),
            shards=tuple(self._shard_answer(status) for status in _shard_statuses(context)),
            peers=self._peer_answers(now_s),
            platform_faults=context.platform.faults(),
            build=build_id(),
        )

    def document(self, service: ServiceName) -> DocumentAnswer | None:
        """Return the document in force on this node, or ``None`` for an unknown service."""
        current = self._context.configuration.text(service)
        if current is None:
            return None
        return DocumentAnswer(service=service, version=current.version, text=current.text)

    async def history(
        self, service: ServiceName, limit: int
    ) -> Result[tuple[HistoryEntry, ...], TableFault]:
        """Read the newest accepted versions from the table, newest first."""
        newest = self._context.configuration.versions().get(service, DocumentVersion(0))
        oldest = max(newest - limit, 0)
        keys = [history_key(service, version) for version in range(newest, oldest, -1)]
        rows = await self._context.platform.table.get_many(keys)
        if isinstance(rows, Err):
            return rows
        entries = [_history_entry(rows.ok_value[key].value) for key in keys if key in rows.ok_value]
        return Ok(tuple(entry for entry in entries if entry is not None))

    async def change(self, service: ServiceName, change: ChangeRequest) -> ChangeAnswer:
        """Write a checked change to the table, put it in force on this node and notify peers."""
        requested = DocumentChange(
            service=service,
            text=change.text,
            expected_version=DocumentVersion(change.expected_version),
            change_id=change.change_id,
            author=change.author,
        )
        operation = await apply_change(self._context.platform.table, requested, CHANGE_TIMEOUT_S)
        if operation.state is ApplyState.ACCEPTED:
            return self._put_in_force(requested, operation)
        if operation.state is ApplyState.CONFLICT:
            log_event(Event.CONFIG_CONFLICT, service=service, author=change.author)
        return ChangeAnswer(
            state=_CHANGE_STATES[operation.state],
            version=operation.current_version,
            author=operation.current_author,
        )

    async def drain(self, upstream: UpstreamId) -> DrainAnswer:
        """Stop assigning new work to an upstream on this node, and broadcast that to its peers."""
        known = self._context.controller(UpstreamController).drain(upstream)
        return DrainAnswer(upstream=upstream, known=known)

    async def undrain(self, upstream: UpstreamId) -> DrainAnswer:
        """End a drain on this node, and broadcast that to its peers."""
        known = self._context.controller(UpstreamController).undrain(upstream)
        return DrainAnswer(upstream=upstream, known=known)

    def _put_in_force(self, change: DocumentChange, operation: ApplyOperation) -> ChangeAnswer:
        version = operation.accepted_version
        log_event(
            Event.CONFIG_APPLIED, service=change.service, version=version, author=change.author
        )
        controller = self._context.controller(ConfigurationController)
        controller.apply_document(change.service, version, change.text)
        self._context.broadcast(ConfigNotice(change.service, version, change.text))
        return ChangeAnswer(state=ChangeState.ACCEPTED, version=version, author=change.author)

    def _shard_answer(self, status: ShardStatus) -> ShardAnswer:
        service = ServiceName(status.shard.rsplit("/", 1)[0])
        document = self._context.configuration.document(service)
        return ShardAnswer(
            shard=status.shard,
            service=service,
            waiting=_counts_by_tier_name(status.waiting, document),
            in_flight=_counts_by_tier_name(status.in_flight, document),
            upstreams=tuple(
                UpstreamAnswer(
                    upstream=upstream_status.upstream,
                    leaving=upstream_status.leaving,
                    streams=upstream_status.streams,
                    stream_limit=upstream_status.stream_limit,
                    outstanding_prompt_tokens=upstream_status.outstanding_prompt_tokens,
                    prompt_token_limit=upstream_status.prompt_token_limit,
                    prefill_tokens_per_s=upstream_status.prefill_tokens_per_s,
                    decode_tokens_per_s=upstream_status.decode_tokens_per_s,
                    declined=upstream_status.declined,
                )
                for upstream_status in status.upstreams
            ),
        )

    def _peer_answers(self, now_s: float) -> tuple[PeerAnswer, ...]:
        membership = self._context.membership
        alive = {info.instance for info in membership.alive(now_s)}
        return tuple(
            PeerAnswer(
                instance=info.instance,
                availability_zone=info.zone,
                state="alive" if info.instance in alive else "not-alive",
                operators_address=info.operators_address,
            )
            for info in membership.present()
        )


def read_gauges(context: NodeContext) -> Gauges:
    """Return the current values of the node's gauges."""
    statuses = _shard_statuses(context)
    waiting: dict[tuple[ServiceName, Tier], int] = {}
    in_flight: dict[tuple[ServiceName, Tier], int] = {}
    rates: list[LearnedRates] = []
    for status in statuses:
        service = ServiceName(status.shard.rsplit("/", 1)[0])
        waiting.update({(service, tier): count for tier, count in status.waiting.items()})
        in_flight.update({(service, tier): count for tier, count in status.in_flight.items()})
        rates += [
            LearnedRates(
                service,
                upstream_status.upstream,
                upstream_status.prefill_tokens_per_s,
                upstream_status.decode_tokens_per_s,
            )
            for upstream_status in status.upstreams
        ]
    versions = context.configuration.versions()
    documents = {
        service: DocumentInForce(versions[service], document)
        for service, document in context.configuration.documents().items()
    }
    return Gauges(waiting, in_flight, tuple(rates), documents)


def _shard_statuses(context: NodeContext) -> list[ShardStatus]:
    scheduler = context.find_controller(SchedulerController)
    return [] if scheduler is None else scheduler.statuses()


def _counts_by_tier_name(
    counts: dict[Tier, int], document: ServiceDocument | None
) -> dict[str, int]:
    """Return counts keyed by tier name; a tier that the document lacks keeps its rank as key."""
    names = [] if document is None else [tier.name for tier in document.tiers]
    return {
        names[tier] if tier < len(names) else str(tier): count for tier, count in counts.items()
    }


def _history_entry(value: str) -> HistoryEntry | None:
    record = parse_document_row(value)
    if isinstance(record, Err):
        return None
    row = record.ok_value
    return HistoryEntry(
        version=DocumentVersion(row.version),
        change_id=row.change_id,
        author=row.author,
        text_sha256=hashlib.sha256(row.text.encode()).hexdigest(),
    )
