"""The HTTP interface for callers of one node: the listing of entries, and requests to services."""

import json
from typing import Protocol

import trio
from result import Err

from ..filters import FilterContext, FilterRefusal, RequestDraft, RequestHead
from ..filters import check_body as run_body_filters
from ..filters import check_head as run_head_filters
from ..http.caller_gone import CallerGone
from ..http.messages import JSON_HEADER
from ..http.requests import HeadRefusal, HttpRequest, HttpServerSettings
from ..http.requests import RequestHead as HttpRequestHead
from ..http.responder import Responder
from ..http.server import HttpServer, open_listeners
from ..ids import ServiceName
from ..metrics import UNKNOWN
from ..node_context import NodeContext, wait_until
from ..peers.heartbeats import PeerInfo
from ..peers.roles import Role
from ..scheduler.tickets import Outcome
from .actions import AcceptedRequest
from .refusal_answers import RefusalAnswer, refusal_answer

ENTRIES_PATH = "/entries"
MAX_LISTED_ENTRIES = 16
REFUSED_RETRY_AFTER_S = 1.0
"""Retry delay given to a caller whose request was refused by a filter."""
READY_WAIT_S = 5.0
READY_POLL_INTERVAL_S = 0.02


class RequestServer(Protocol):
    """Serves accepted requests."""

    async def serve_request(
        self, request: AcceptedRequest, caller_gone: CallerGone, responder: Responder
    ) -> None:
        """Serve one request until its answer is written or its caller has disconnected."""
        ...


class CallerInterface:
    """Listens for callers, runs the filters and passes accepted requests to the server."""

    def __init__(self, context: NodeContext, server: RequestServer) -> None:
        self._context = context
        self._server = server
        self._http = HttpServer(_http_settings(context), self._handle, self._check_head)
        self._is_closed = trio.Event()

    async def run(self) -> None:
        """Serve until closed.

        Peers list a starting node to callers before it has read its configuration and the list of
        upstreams that are leaving. Until it is ready its address stays closed, so that callers try
        another entry instead of being refused here. After ``READY_WAIT_S`` it listens regardless,
        so that callers get a refusal with its reason.
        """
        with trio.move_on_after(READY_WAIT_S):
            await wait_until(self._is_ready, READY_POLL_INTERVAL_S)
        listeners = await open_listeners(self._context.settings.listen.callers)
        await self._http.serve(listeners)
        self._is_closed.set()

    def _is_ready(self) -> bool:
        # Without the list of upstreams, a request could be sent to one that is already leaving.
        context = self._context
        return context.configuration.is_ready(context.now_s()) and context.directory.has_read_list

    def begin_close(self) -> None:
        """Ask callers to reconnect to another entry; requests that still arrive are served."""
        self._http.begin_close()

    async def finish_close(self) -> None:
        """Stop accepting connections and wait for the open ones to end."""
        self._http.stop_accepting()
        await self._is_closed.wait()

    def _filter_context(self) -> FilterContext:
        context = self._context
        now_s = context.now_s()
        configuration = context.configuration
        return FilterContext(
            now_s=now_s,
            is_ready=configuration.is_ready(now_s),
            documents=configuration.documents(),
            prefix_block_tokens=context.settings.scheduler.prefix_block_tokens,
        )

    def _check_head(self, head: HttpRequestHead) -> int | HeadRefusal:
        """Refuse a request by its head alone, or return the limit for its body."""
        if head.path == ENTRIES_PATH:
            return 0
        filter_head = RequestHead(head.method, head.path, head.headers)
        checked = run_head_filters(filter_head, self._filter_context())
        if isinstance(checked, Err):
            refusal = self._refusal(head.path, checked.err_value)
            return HeadRefusal(refusal.status, refusal.headers, refusal.body)
        draft: RequestDraft = checked.ok_value
        return draft.max_body_bytes

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == ENTRIES_PATH:
            await responder.answer(200, (JSON_HEADER,), self._entries_body())
            return
        # The documents may have changed while the body was read, so the head is checked again.
        context = self._filter_context()
        head = RequestHead(request.method, request.path, request.headers)
        accepted = run_head_filters(head, context).and_then(
            lambda draft: run_body_filters(draft, request.body, context)
        )
        if isinstance(accepted, Err):
            refusal = self._refusal(request.path, accepted.err_value)
            await responder.answer(refusal.status, refusal.headers, refusal.body)
            return
        await self._server.serve_request(accepted.ok_value, request.caller_gone, responder)

    def _refusal(self, path: str, refusal: FilterRefusal) -> RefusalAnswer:
        service = _service_in(path)
        if service not in self._context.configuration.documents():
            service = ServiceName(UNKNOWN)
        self._context.metrics.refused(service, None, refusal.reason)
        return refusal_answer(
            refusal.reason,
            Outcome.NOT_RUN,
            REFUSED_RETRY_AFTER_S,
            findings=refusal.findings,
        )

    def _entries_body(self) -> bytes:
        """Return the listing of entries for callers, those of this node's zone first."""
        context = self._context
        alive = context.membership.alive(context.now_s())
        entries = [info for info in alive if Role.ENTRY in info.roles]
        context.rng.shuffle(entries)
        entries.sort(key=lambda info: info.zone != context.zone)
        body = {
            "entries": [_entry_fields(info) for info in entries[:MAX_LISTED_ENTRIES]],
            "keep_s": context.settings.entry.answer_lifetime_s,
        }
        return json.dumps(body).encode()


def _service_in(path: str) -> ServiceName:
    """Return the service named by a path; it may not exist."""
    parts = path.split("/", 3)
    return ServiceName(parts[2] if len(parts) > 2 else "")


def _entry_fields(info: PeerInfo) -> dict[str, str]:
    return {
        "instance": info.instance,
        "address": info.callers_address,
        "availability_zone": info.zone,
    }


def _http_settings(context: NodeContext) -> HttpServerSettings:
    entry = context.settings.entry
    return HttpServerSettings(
        max_connections=entry.max_connections,
        max_header_bytes=entry.max_header_bytes,
        max_reading_bytes=entry.max_held_body_bytes,
        header_timeout_s=entry.header_timeout_s,
        body_timeout_s=entry.body_timeout_s,
        keep_alive_timeout_s=entry.keep_alive_timeout_s,
    )
