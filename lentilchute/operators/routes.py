"""The node's side of the operators' interface: routes, authentication and checks.

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

from ..errors import Finding, SourceLocation
from ..http.messages import JSON_HEADER, Headers, error_body, header_value
from ..http.requests import HeadRefusal, HttpRequest, RequestHead
from ..http.responder import Responder
from ..ids import ServiceName, UpstreamId
from ..metrics import PAGE_CONTENT_TYPE
from ..util.checked_yaml import load_document
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
"""Covers the largest document after escaping."""
NAME = r"[a-z0-9][a-z0-9.-]{0,62}"

STATUS_OF_CHANGE = {
    ChangeState.ACCEPTED: HTTPStatus.OK,
    ChangeState.CONFLICT: HTTPStatus.CONFLICT,
    ChangeState.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    ChangeState.NOT_APPLIED: HTTPStatus.SERVICE_UNAVAILABLE,
    ChangeState.UNRESOLVED: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


Route = Callable[["OperatorApi", str, bytes], Awaitable[Reply]]
_routes: list[tuple[str, re.Pattern[str], Route]] = []


def _route(method: str, path: str) -> Callable[[Route], Route]:
    """Register a route; ``{}`` in the path stands for the name that the route gets."""
    pattern = re.compile(re.escape(path).replace(r"\{\}", f"({NAME})"))

    def add(route: Route) -> Route:
        _routes.append((method, pattern, route))
        return route

    return add


class OperatorApi:
    """Answers operators for one node."""

    def __init__(self, node: OperatorNode, key: str) -> None:
        self.node = node
        self._key = key

    def check_head(self, head: RequestHead) -> int | HeadRefusal:
        """Refuse a request without the key before its body is read."""
        if self._is_authorized(head.headers):
            return MAX_BODY_BYTES
        refusal = _unauthorized()
        return HeadRefusal(refusal.status, refusal.headers, refusal.body)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        reply = await self.answer(request)
        await responder.answer(reply.status, reply.headers, reply.body)

    async def answer(self, request: HttpRequest) -> Reply:
        """Return the answer to one request."""
        if not self._is_authorized(request.headers):
            return _unauthorized()
        path = request.path.partition("?")[0]
        is_known = False
        for method, pattern, route in _routes:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            is_known = True
            if method == request.method:
                return await route(self, match.group(1) if match.groups() else "", request.body)
        if is_known:
            message = f"{path} does not take {request.method}"
            return _error(HTTPStatus.METHOD_NOT_ALLOWED, "method-not-allowed", message)
        return _error(HTTPStatus.NOT_FOUND, "not-found", "no such path")

    def _is_authorized(self, headers: Headers) -> bool:
        given = header_value(headers, "authorization") or ""
        expected = f"Bearer {self._key}"
        return hmac.compare_digest(given.encode(), expected.encode())


@_route("GET", "/status")
async def _status(api: OperatorApi, name: str, body: bytes) -> Reply:
    return _json(HTTPStatus.OK, api.node.status())


@_route("GET", "/metrics")
async def _metrics(api: OperatorApi, name: str, body: bytes) -> Reply:
    return Reply(HTTPStatus.OK, (("content-type", PAGE_CONTENT_TYPE),), api.node.metrics.render())


@_route("GET", "/services/{}/document")
async def _document(api: OperatorApi, name: str, body: bytes) -> Reply:
    document = api.node.document(ServiceName(name))
    if document is None:
        return _unknown_service(name)
    return _json(HTTPStatus.OK, document)


@_route("GET", "/services/{}/history")
async def _history(api: OperatorApi, name: str, body: bytes) -> Reply:
    entries = await api.node.history(ServiceName(name), MAX_HISTORY_ENTRIES)
    if isinstance(entries, Err):
        message = f"the table does not answer: {entries.err_value.value}"
        return _error(HTTPStatus.SERVICE_UNAVAILABLE, "table-unavailable", message)
    if not entries.ok_value:
        return _unknown_service(name)
    return _json(HTTPStatus.OK, HistoryAnswer(service=ServiceName(name), entries=entries.ok_value))


@_route("POST", "/services/{}/document")
async def _change(api: OperatorApi, name: str, body: bytes) -> Reply:
    try:
        change = ChangeRequest.model_validate_json(body)
    except ValidationError as error:
        return _error(HTTPStatus.BAD_REQUEST, "bad-request", _first_fault(error))
    findings = check_change(ServiceName(name), change.text)
    if findings:
        answer = ChangeAnswer(state=ChangeState.INVALID, findings=_as_answers(findings))
    else:
        answer = await api.node.change(ServiceName(name), change)
    return _json(STATUS_OF_CHANGE[answer.state], answer)


@_route("POST", "/upstreams/{}/undrain")
async def _undrain(api: OperatorApi, name: str, body: bytes) -> Reply:
    return _json(HTTPStatus.OK, await api.node.undrain(UpstreamId(name)))


@_route("POST", "/upstreams/{}/drain")
async def _drain(api: OperatorApi, name: str, body: bytes) -> Reply:
    answer = await api.node.drain(UpstreamId(name))
    return _json(HTTPStatus.OK if answer.known else HTTPStatus.NOT_FOUND, answer)


def check_change(service: ServiceName, text: str) -> list[Finding]:
    """Return the findings of a document that shall become ``service``'s next version."""
    result = load_document(text, service)
    if isinstance(result, Err):
        return result.err_value
    if result.ok_value.service != service:
        message = f"must be {service}, the service that the change names"
        return [Finding(SourceLocation(service, 1, 1), "service", message)]
    return []


def _as_answers(findings: list[Finding]) -> tuple[FindingAnswer, ...]:
    return tuple(
        FindingAnswer(
            line=finding.location.line,
            column=finding.location.column,
            key=finding.key,
            message=finding.message,
        )
        for finding in findings
    )


def _first_fault(error: ValidationError) -> str:
    first = error.errors(include_input=False, include_url=False)[0]
    where = ".".join(str(part) for part in first["loc"]) or "body"
    return f"{where}: {first['msg']}"


def _unauthorized() -> Reply:
    message = "a valid operator key is needed in the Authorization header"
    return _error(HTTPStatus.UNAUTHORIZED, "unauthorized", message)


def _unknown_service(name: str) -> Reply:
    return _error(HTTPStatus.NOT_FOUND, "unknown-service", f"no document of {name} is in force")


def _json(status: int, answer: BaseModel) -> Reply:
    return Reply(status, (JSON_HEADER,), answer.model_dump_json().encode())


def _error(status: int, reason: str, message: str) -> Reply:
    return Reply(status, (JSON_HEADER,), error_body(reason, message))
