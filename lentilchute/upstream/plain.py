"""Adapter for plain services: any HTTP call, with a body framed by length or by chunks."""

from collections.abc import AsyncIterator, Callable
from typing import Any

from result import Err, Ok, Result

from ..http.client import HttpClient
from ..ids import FencingNumber, RequestId
from ..scheduler.tickets import CacheEvent, LoadReport
from .adapters import (
    AnswerEnd,
    AnswerItem,
    AnswerPart,
    EngineOrder,
    EngineState,
    Upstream,
    UpstreamFault,
    UpstreamRequest,
    register_upstream,
)
from .calls import (
    ManagementClient,
    echoes_request_id,
    to_answer_head,
    to_client_request,
    to_upstream_fault,
)


@register_upstream("plain")
class PlainAdapter:
    """One plain service; calls that only engines implement return ``NOT_SUPPORTED``."""

    def __init__(self, upstream: Upstream) -> None:
        self._client = HttpClient(upstream.address)
        self._management = ManagementClient(upstream.upstream, self._client)

    async def send(
        self, request: UpstreamRequest, before_first_byte: Callable[[], bool]
    ) -> AsyncIterator[AnswerItem]:
        """Send a request and yield its answer; closing the iterator abandons it."""
        async with self._client.exchange(to_client_request(request), before_first_byte) as exchange:
            head = await exchange.head()
            if isinstance(head, Err):
                yield to_upstream_fault(head.err_value)
                return
            if not echoes_request_id(head.ok_value, request.request_id, is_required=False):
                yield UpstreamFault.WRONG_ANSWER
                return
            yield to_answer_head(head.ok_value)
            while True:
                part = await exchange.part()
                if isinstance(part, Err):
                    yield to_upstream_fault(part.err_value)
                    return
                if part.ok_value is None:
                    yield AnswerEnd()
                    return
                yield AnswerPart(part.ok_value)

    async def resume(self, request_id: RequestId, after_event: int) -> AsyncIterator[AnswerItem]:
        """Yield ``NOT_SUPPORTED``: a plain service keeps no answers."""
        yield UpstreamFault.NOT_SUPPORTED

    async def cancel(self, request_id: RequestId) -> Result[None, UpstreamFault]:
        """Return ``NOT_SUPPORTED``: a plain service cannot cancel a request."""
        return Err(UpstreamFault.NOT_SUPPORTED)

    async def load(self) -> Result[LoadReport, UpstreamFault]:
        """Return the service's own load report, which lags."""
        return await self._management.load()

    async def cache_events(self, after: int) -> Result[list[CacheEvent], UpstreamFault]:
        """Return ``NOT_SUPPORTED``: a plain service has no prefix cache."""
        return Err(UpstreamFault.NOT_SUPPORTED)

    async def export_kv(self, block: int) -> Result[bytes, UpstreamFault]:
        """Return ``NOT_SUPPORTED``: a plain service has no KV cache."""
        return Err(UpstreamFault.NOT_SUPPORTED)

    async def import_kv(self, block: int, body: bytes) -> Result[None, UpstreamFault]:
        """Return ``NOT_SUPPORTED``: a plain service has no KV cache."""
        return Err(UpstreamFault.NOT_SUPPORTED)

    async def state(self) -> Result[EngineState, UpstreamFault]:
        """Return whether the service is ready and whether it is leaving."""
        value = await self._management.call_json("GET", "/state")
        return value.and_then(_parse_state)

    async def order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Return ``NOT_SUPPORTED``: a plain service accepts no orders."""
        return Err(UpstreamFault.NOT_SUPPORTED)

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._client.aclose()


def _parse_state(value: dict[str, Any]) -> Result[EngineState, UpstreamFault]:
    ready = value.get("ready")
    leaving = value.get("leaving")
    if not isinstance(ready, bool) or not isinstance(leaving, bool):
        return Err(UpstreamFault.WRONG_ANSWER)
    return Ok(EngineState("", "", (), "serve", ready, leaving, FencingNumber(0)))
