"""Request routing of the stand-ins, and JSON helpers for their handlers."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from ..http.messages import JSON_HEADER, REQUEST_ID_HEADER, Headers, error_body, header_value
from ..http.responder import Responder
from ..http.server import HttpRequest

Route = Callable[[HttpRequest, Responder], Awaitable[None]]
Model = TypeVar("Model", bound=BaseModel)


class WireModel(BaseModel):
    """Base of the JSON bodies that stand-ins accept; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class BadBodyError(Exception):
    """A request's body is invalid for the route; answered with status 400."""


class Router:
    """Dispatches a request to the route with the longest matching path prefix."""

    def __init__(self) -> None:
        self._routes: list[tuple[str, str, Route]] = []

    def route(self, method: str, prefix: str) -> Callable[[Route], Route]:
        """Register a handler for a method and a path prefix; ``*`` matches any method."""

        def register(handler: Route) -> Route:
            self._routes.append((method, prefix, handler))
            self._routes.sort(key=lambda entry: -len(entry[1]))
            return handler

        return register

    async def __call__(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        for method, prefix, handler in self._routes:
            if method in ("*", request.method) and request.path.startswith(prefix):
                await _handle(handler, request, responder)
                return
        await reply_error(
            responder, 404, "not-found", f"no route for {request.method} {request.path}"
        )


async def _handle(handler: Route, request: HttpRequest, responder: Responder) -> None:
    try:
        await handler(request, responder)
    except BadBodyError as error:
        echoed_id = header_value(request.headers, REQUEST_ID_HEADER)
        headers: Headers = ((REQUEST_ID_HEADER, echoed_id),) if echoed_id else ()
        await reply_error(responder, 400, "bad-request", str(error), headers)


def read_body(model: type[Model], request: HttpRequest) -> Model:
    """Parse a request's JSON body; raise ``BadBodyError`` with the first problem."""
    try:
        return model.model_validate_json(request.body)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        raise BadBodyError(f"{location}: {first['msg']}") from error


async def reply_json(responder: Responder, status: int, value: Any, headers: Headers = ()) -> None:
    """Send a JSON response."""
    await responder.answer(status, (JSON_HEADER, *headers), json.dumps(value).encode())


async def reply_error(
    responder: Responder, status: int, reason: str, message: str, headers: Headers = ()
) -> None:
    """Send a JSON error response."""
    await responder.answer(status, (JSON_HEADER, *headers), error_body(reason, message))
