"""Helpers that the upstream adapters share: HTTP messages, faults and management calls."""

import json
from typing import Any

from result import Err, Ok, Result

from ..http.client import ClientRequest, HttpAnswer, HttpClient, HttpFault, HttpHead
from ..http.messages import (
    HOP_BY_HOP_HEADERS,
    JSON_HEADER,
    REQUEST_ID_HEADER,
    Headers,
    header_value,
    without_headers,
)
from ..ids import RequestId, UpstreamId
from ..scheduler.tickets import LoadReport
from .adapters import AnswerHead, UpstreamFault, UpstreamRequest

MAX_DEADLINE_S = 604_800.0
"""The longest deadline that a service document allows; bounds waits that a deadline should end."""

MANAGEMENT_TIMEOUT_S = 2.0
"""Longest wait for the answer to a management call: load, state, orders, cache."""

_REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {"host", "content-length", "expect", REQUEST_ID_HEADER}
_FRAMING_HEADERS = HOP_BY_HOP_HEADERS | {"content-length"}
STATUS_NOT_SUPPORTED = (404, 405, 501)


def to_upstream_fault(fault: HttpFault) -> UpstreamFault:
    """Convert a fault of the connection to an upstream fault."""
    return UpstreamFault(fault.value)


def to_client_request(request: UpstreamRequest) -> ClientRequest:
    """Convert a caller's request to an HTTP request that carries its request id."""
    headers = without_headers(request.headers, _REPLACED_HEADERS)
    is_timed = request.streaming
    return ClientRequest(
        method=request.method,
        path=request.path,
        headers=((REQUEST_ID_HEADER, request.request_id), *headers),
        body=request.body,
        head_timeout_s=request.head_timeout_s if is_timed else MAX_DEADLINE_S,
        read_timeout_s=request.idle_timeout_s if is_timed else MAX_DEADLINE_S,
    )


def to_answer_head(head: HttpHead) -> AnswerHead:
    """Convert an HTTP head to an answer's head with the end-to-end headers only."""
    return AnswerHead(head.status, without_headers(head.headers, _FRAMING_HEADERS))


def echoes_request_id(head: HttpHead, request_id: RequestId, is_required: bool) -> bool:
    """Return whether an answer carries the id of its request.

    An answer without any id passes unless ``is_required``.
    """
    echoed = header_value(head.headers, REQUEST_ID_HEADER)
    return echoed == request_id or (echoed is None and not is_required)


class ManagementClient:
    """Sends an upstream's management calls: load reports, state, orders, KV cache."""

    def __init__(self, upstream: UpstreamId, client: HttpClient) -> None:
        self._upstream = upstream
        self._client = client

    async def call(
        self, method: str, path: str, body: bytes = b"", headers: Headers = ()
    ) -> Result[HttpAnswer, UpstreamFault]:
        """Return an answer with status 200; ``NOT_SUPPORTED`` when the upstream lacks the path."""
        request = ClientRequest(
            method,
            path,
            headers,
            body,
            head_timeout_s=MANAGEMENT_TIMEOUT_S,
            read_timeout_s=MANAGEMENT_TIMEOUT_S,
        )
        answer = (await self._client.call(request)).map_err(to_upstream_fault)
        if isinstance(answer, Err) or answer.ok_value.status == 200:
            return answer
        if answer.ok_value.status in STATUS_NOT_SUPPORTED:
            return Err(UpstreamFault.NOT_SUPPORTED)
        return Err(UpstreamFault.WRONG_ANSWER)

    async def call_json(
        self, method: str, path: str, value: dict[str, Any] | None = None
    ) -> Result[dict[str, Any], UpstreamFault]:
        """Return the JSON object in the answer to a call."""
        body = b"" if value is None else json.dumps(value).encode()
        answer = await self.call(method, path, body, (JSON_HEADER,))
        return answer.and_then(lambda found: _parse_json_object(found.body))

    async def load(self) -> Result[LoadReport, UpstreamFault]:
        """Return the upstream's load report."""
        value = await self.call_json("GET", "/load")
        return value.and_then(self._parse_load_report)

    def _parse_load_report(self, value: dict[str, Any]) -> Result[LoadReport, UpstreamFault]:
        try:
            report = LoadReport(
                upstream=self._upstream,
                running=int(value["running"]),
                waiting=int(value["waiting"]),
                outstanding_prompt_tokens=int(value["outstanding_prompt_tokens"]),
                age_s=float(value["age_s"]),
            )
        except (KeyError, TypeError, ValueError, OverflowError):
            return Err(UpstreamFault.WRONG_ANSWER)
        return Ok(report)


def _parse_json_object(body: bytes) -> Result[dict[str, Any], UpstreamFault]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return Err(UpstreamFault.WRONG_ANSWER)
    return Ok(value) if isinstance(value, dict) else Err(UpstreamFault.WRONG_ANSWER)
