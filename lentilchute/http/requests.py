"""Requests as the HTTP server gives them to its handler, and the server's settings and errors."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from .messages import JSON_HEADER, OUTCOME_HEADER, RETRY_AFTER_HEADER, Headers, error_body
from .responder import Responder


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Bounds of a server's connections."""

    max_connections: int = 2_000
    max_header_bytes: int = 32_768
    max_body_bytes: int = 64 * 1024 * 1024
    max_reading_bytes: int = 256 * 1024 * 1024
    """Sum of the bodies that are being read on all connections."""
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0
    """A caller that takes no bytes for this long counts as gone."""
    keep_alive_timeout_s: float = 60.0
    advertised_keep_alive_s: float = 10.0
    """Told to callers in ``Keep-Alive``: a connection idle for longer is not to be used again.

    The server keeps it open for longer than that, so a planned close meets no request on its way.
    """
    answers_silent_connection: bool = True
    """Answer 408 on a new connection that brings no request in time; else just close it."""
    linger_s: float = 2.0
    """How long a closing connection is still read, so that the last answer is not lost."""

    @property
    def keep_alive_header_s(self) -> int:
        """What callers are told: whole seconds, a linger time before the server would close."""
        limit_s = min(self.advertised_keep_alive_s, self.keep_alive_timeout_s - self.linger_s)
        return max(0, int(limit_s))


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One whole request."""

    method: str
    path: str
    """The request target: path and query."""
    headers: Headers
    body: bytes
    caller_gone: trio.Event = field(default_factory=trio.Event, compare=False)
    """Set as soon as the caller closes its connection while the handler runs."""


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request before its body is read."""

    method: str
    path: str
    headers: Headers


@dataclass(frozen=True, slots=True)
class HeadRefusal:
    """The whole answer to a request whose body need not be read; the connection is closed."""

    status: int
    headers: Headers
    body: bytes


HeadCheck = Callable[[RequestHead], int | HeadRefusal]
"""Returns the most body bytes that the request may have, or its refusal."""


class InputError(Exception):
    """Input whose answer ends the connection; the request is not given to the handler."""

    def __init__(self, refusal: HeadRefusal, message: str) -> None:
        super().__init__(message)
        self.refusal = refusal


def input_error(status: int, reason: str, message: str) -> InputError:
    """Return the error for input that the server itself refuses; the request did not run."""
    headers = (JSON_HEADER, (OUTCOME_HEADER, "not-run"), (RETRY_AFTER_HEADER, "1"))
    body = error_body(reason, message, "not-run")
    return InputError(HeadRefusal(status, headers, body), message)
