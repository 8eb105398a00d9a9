"""The exchanges that one entry has open with upstreams: sends, resumes and cancels."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

import trio

from ..entry.actions import CancelUpstream, ResumeUpstream, SendUpstream
from ..events import Event, error_location, log_event
from ..ids import Attempt, RequestId
from .adapters import AnswerItem, UpstreamFault
from .directory import UpstreamDirectory


@dataclass(frozen=True, slots=True)
class ExchangeHooks:
    """Callbacks from an exchange to the entry."""

    may_send: Callable[[RequestId, Attempt], bool]
    """Called with the connection open, just before the first byte is sent."""
    on_item: Callable[[RequestId, AnswerItem], None]
    wait_for_room: Callable[[RequestId], Awaitable[None]]
    """Returns when the caller can accept more of its answer."""


class UpstreamExchanges:
    """Runs one task for each exchange; a resume replaces the read that it continues."""

    def __init__(self, directory: UpstreamDirectory, hooks: ExchangeHooks) -> None:
        self._directory = directory
        self._hooks = hooks
        self._scopes: dict[RequestId, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the exchanges' tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def send(self, action: SendUpstream) -> None:
        """Start sending a request."""
        self._start(self._send, action)

    def resume(self, action: ResumeUpstream) -> None:
        """Continue a broken stream, in place of the read that broke."""
        self._abort_read(action.request_id)
        self._start(self._resume, action)

    def cancel(self, action: CancelUpstream) -> None:
        """Stop reading, close the connection, and ask the upstream to cancel."""
        self._abort_read(action.request_id)
        self._start(self._cancel, action)

    def _start(self, task: Callable[[Any], Awaitable[None]], action: Any) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(task, action)

    async def _send(self, action: SendUpstream) -> None:
        request_id = action.request.request_id
        adapter = self._directory.adapter(action.upstream)
        if adapter is None:
            self._hooks.on_item(request_id, UpstreamFault.NOT_SENT)
            return
        was_sent = False

        def before_first_byte() -> bool:
            nonlocal was_sent
            was_sent = self._hooks.may_send(request_id, action.attempt)
            if was_sent:
                log_event(Event.REQUEST_DISPATCHED, request_id=request_id, upstream=action.upstream)
            return was_sent

        try:
            await self._relay(request_id, adapter.send(action.request, before_first_byte))
        except Exception as error:
            # A bug in an adapter fails this attempt only, not the node's other requests.
            fault = UpstreamFault.RESET if was_sent else UpstreamFault.NOT_SENT
            self._fail_request(request_id, error, fault)

    async def _resume(self, action: ResumeUpstream) -> None:
        request_id = action.request_id
        adapter = self._directory.adapter(action.upstream)
        if adapter is None:
            self._hooks.on_item(request_id, UpstreamFault.NOT_SENT)
            return
        log_event(Event.STREAM_RESUMED, request_id=request_id, after_event=action.after_event)
        try:
            await self._relay(request_id, adapter.resume(request_id, action.after_event))
        except Exception as error:
            self._fail_request(request_id, error, UpstreamFault.RESET)

    async def _cancel(self, action: CancelUpstream) -> None:
        adapter = self._directory.adapter(action.upstream)
        if adapter is None:
            return
        try:
            await adapter.cancel(action.request_id)
        except Exception as error:
            _log_failure(action.request_id, error)

    async def _relay(self, request_id: RequestId, items: AsyncIterator[AnswerItem]) -> None:
        """Pass an upstream's answer on to the entry, no faster than the caller reads it."""
        closing: Any = aclosing(items)
        with trio.CancelScope() as scope:
            self._scopes[request_id] = scope
            async with closing:
                async for item in items:
                    if self._scopes.get(request_id) is not scope:
                        # The request was resumed or cancelled; the rest of this read is stale.
                        break
                    self._hooks.on_item(request_id, item)
                    await self._hooks.wait_for_room(request_id)
        self._remove_scope(request_id, scope)

    def _fail_request(self, request_id: RequestId, error: Exception, fault: UpstreamFault) -> None:
        _log_failure(request_id, error)
        self._scopes.pop(request_id, None)
        self._hooks.on_item(request_id, fault)

    def _remove_scope(self, request_id: RequestId, scope: trio.CancelScope) -> None:
        if self._scopes.get(request_id) is scope:
            del self._scopes[request_id]

    def _abort_read(self, request_id: RequestId) -> None:
        scope = self._scopes.pop(request_id, None)
        if scope is not None:
            scope.cancel()


def _log_failure(request_id: RequestId, error: Exception) -> None:
    log_event(
        Event.ADAPTER_FAILED,
        request_id=request_id,
        error=type(error).__name__,
        place=error_location(error),
    )
