"""Server of the operators' interface: routes, authentication and validation.

Example::

    api = OperatorApi(node, operator_key(settings.shared_key))
    server = HttpServer(http_settings, api.handle, api.check_head)
"""

import hmac
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from pydantic import BaseModel, ValidationError
from result import Err

from ..document import load_document
from ..errors import Finding, SourceLocation
from ..http.messages import JSON_HEADER, Headers, error_body, header_value
from ..http.requests import HeadRefusal, HttpRequest, RequestHead
from ..http.responder import Responder
from ..ids import ServiceName, UpstreamId
from ..metrics import PAGE_CONTENT_TYPE
from .api import (
    MAX_HISTORY_ENTRIES,
    ChangeAnswer,
    ChangeRequest,
    ChangeState,
    FindingAnswer,
    HistoryAnswer,
    OperatorNode,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Fits the largest valid document, 1 MiB in UTF-8, after JSON escaping.

Escaping at most triples it, since YAML allows no control characters that need six bytes.
"""
NAME_PATTERN = r"[a-z0-9][a-z0-9.-]{0,62}"

HTTP_STATUS_BY_CHANGE_STATE = {
    ChangeState.ACCEPTED: HTTPStatus.OK,
    ChangeState.CONFLICT: HTTPStatus.CONFLICT,
    ChangeState.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    ChangeState.NOT_APPLIED: HTTPStatus.SERVICE_UNAVAILABLE,
    ChangeState.UNRESOLVED: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP answer."""

    status: int
    headers: Headers
    body: bytes


Route = Callable[["OperatorApi", str, bytes], Awaitable[Reply]]
_routes: list[tuple[str, re.Pattern[str], Route]] = []


def _route(method: str, path: str) -> Callable[[Route], Route]:
    """Register a route; ``{}`` in the path matches a name, which is passed to the route."""
    pattern = re.compile(re.escape(path).replace(r"\{\}", f"({NAME_PATTERN})"))

    def add(route: Route) -> Route:
        _routes.append((method, pattern, route))
        return route

    return add


class OperatorApi:
    """Handles the requests to the operators' interface of one node."""

    def __init__(self, node: OperatorNode, key: str) -> None:
        self.node = node
        self._key = key

    def check_head(self, head: RequestHead) -> int | HeadRefusal:
        """Reject a request without the key before its body is read."""
        if self._is_authorized(head.headers):
            return MAX_BODY_BYTES
        refusal = _unauthorized()
        return HeadRefusal(refusal.status, refusal.headers, refusal.body)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        reply = await self.answer(request)
        await responder.answer(reply.status, reply.headers, reply.body)

    async def answer(self, request: HttpRequest) -> Reply:
        """Authenticate and route one request, and return its answer."""
        if not self._is_authorized(request.headers):
            return _unauthorized()
        path = request.path.partition("?")[0]
        path_exists = False
        for method, pattern, route in _routes:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            path_exists = True
            if method == request.method:
                return await route(self, match.group(1) if match.groups() else "", request.body)
        if path_exists:
            message = f"{path} does not allow {request.method}"
            return _error_reply(HTTPStatus.METHOD_NOT_ALLOWED, "method-not-allowed", message)
        return _error_reply(HTTPStatus.NOT_FOUND, "not-found", "no such path")

    def _is_authorized(self, headers: Headers) -> bool:
        received = header_value(headers, "authorization") or ""
        expected = f"Bearer {self._key}"
        return hmac.compare_digest(received.encode(), expected.encode())


@_route("GET", "/status")
async def _status(api: OperatorApi, name: str, body: bytes) -> Reply:
    return _json_reply(HTTPStatus.OK, api.node.status())


@_route("GET", "/metrics")
async def _metrics(api: OperatorApi, name: str, body: bytes) -> Reply:
    return Reply(HTTPStatus.OK, (("content-type", PAGE_CONTENT_TYPE),), api.node.metrics.render())


@_route("GET", "/services/{}/document")
async def _document(api: OperatorApi, name: str, body: bytes) -> Reply:
    document = api.node.document(ServiceName(name))
    if document is None:
        return _unknown_service(name)
    return _json_reply(HTTPStatus.OK, document)


@_route("GET", "/services/{}/history")
async def _history(api: OperatorApi, name: str, body: bytes) -> Reply:
    entries = await api.node.history(ServiceName(name), MAX_HISTORY_ENTRIES)
    if isinstance(entries, Err):
        message = f"the table could not be read: {entries.err_value.value}"
        return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, "table-unavailable", message)
    if not entries.ok_value:
        return _unknown_service(name)
    return _json_reply(
        HTTPStatus.OK, HistoryAnswer(service=ServiceName(name), entries=entries.ok_value)
    )


@_route("POST", "/services/{}/document")
async def _change(api: OperatorApi, name: str, body: bytes) -> Reply:
    try:
        change = ChangeRequest.model_validate_json(body)
    except ValidationError as error:
        return _error_reply(HTTPStatus.BAD_REQUEST, "bad-request", _first_error_message(error))
    findings = check_change(ServiceName(name), change.text)
    if findings:
        answer = ChangeAnswer(state=ChangeState.INVALID, findings=_finding_answers(findings))
    else:
        answer = await api.node.change(ServiceName(name), change)
    return _json_reply(HTTP_STATUS_BY_CHANGE_STATE[answer.state], answer)


@_route("POST", "/upstreams/{}/undrain")
async def _undrain(api: OperatorApi, name: str, body: bytes) -> Reply:
    return _json_reply(HTTPStatus.OK, await api.node.undrain(UpstreamId(name)))


@_route("POST", "/upstreams/{}/drain")
async def _drain(api: OperatorApi, name: str, body: bytes) -> Reply:
    answer = await api.node.drain(UpstreamId(name))
    return _json_reply(HTTPStatus.OK if answer.known else HTTPStatus.NOT_FOUND, answer)


def check_change(service: ServiceName, text: str) -> list[Finding]:
    """Return the findings of a document submitted as the next version of ``service``."""
    result = load_document(text, service)
    if isinstance(result, Err):
        return result.err_value
    if result.ok_value.service != service:
        message = f"must be {service}, the service in the request path"
        return [Finding(SourceLocation(service, 1, 1), "service", message)]
    return []


def _finding_answers(findings: list[Finding]) -> tuple[FindingAnswer, ...]:
    return tuple(
        FindingAnswer(
            line=finding.location.line,
            column=finding.location.column,
            key=finding.key,
            message=finding.message,
        )
        for finding in findings
    )


def _first_error_message(error: ValidationError) -> str:
    first = error.errors(include_input=False, include_url=False)[0]
    field_path = ".".join(str(part) for part in first["loc"]) or "body"
    return f"{field_path}: {first['msg']}"


def _unauthorized() -> Reply:
    message = "the Authorization header must hold a valid operator key"
    return _error_reply(HTTPStatus.UNAUTHORIZED, "unauthorized", message)


def _unknown_service(name: str) -> Reply:
    return _error_reply(
        HTTPStatus.NOT_FOUND, "unknown-service", f"no document of {name} is in force"
    )


def _json_reply(status: int, answer: BaseModel) -> Reply:
    return Reply(status, (JSON_HEADER,), answer.model_dump_json().encode())


def _error_reply(status: int, reason: str, message: str) -> Reply:
    return Reply(status, (JSON_HEADER,), error_body(reason, message))
