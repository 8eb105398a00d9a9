"""Requests passed to the HTTP server's handler, and the server's settings and errors."""

from collections.abc import Awaitable, Callable
from dataclasses import field

from ..util.lean_dataclasses import dataclass
from .caller_gone import CallerGone
from .messages import JSON_HEADER, OUTCOME_HEADER, RETRY_AFTER_HEADER, Headers, error_body
from .responder import Responder


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Timeouts and limits of a server's connections."""

    max_connections: int = 2_000
    max_header_bytes: int = 32_768
    max_body_bytes: int = 64 * 1024 * 1024
    max_reading_bytes: int = 256 * 1024 * 1024
    """Limit on the total size of the bodies being read on all connections."""
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0
    """A caller counts as disconnected when a write to it takes longer."""
    keep_alive_timeout_s: float = 60.0
    advertised_keep_alive_s: float = 10.0
    """Announced in ``Keep-Alive``: callers should not reuse a connection idle for longer.

    The server keeps it open longer, so that a planned close does not race with a request in flight.
    """
    answers_silent_connection: bool = True
    """Answer 408 on a new connection that sends no request in time; if false, just close it."""
    linger_s: float = 2.0
    """How long input on a closing connection is still read, so that the last answer is not lost."""

    @property
    def keep_alive_header_s(self) -> int:
        """Timeout announced in ``Keep-Alive``, in whole seconds.

        At least ``linger_s`` shorter than the time after which the server closes the connection.
        """
        limit_s = min(self.advertised_keep_alive_s, self.keep_alive_timeout_s - self.linger_s)
        return max(0, int(limit_s))


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    path: str
    """The request target: path and query."""
    headers: Headers
    body: bytes
    caller_gone: CallerGone = field(default_factory=CallerGone, compare=False)
    """Set as soon as the caller disconnects while the handler runs."""


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request's method, path and headers, before its body is read."""

    method: str
    path: str
    headers: Headers


@dataclass(frozen=True, slots=True)
class HeadRefusal:
    """The answer to a request refused without reading its body; the connection is closed."""

    status: int
    headers: Headers
    body: bytes


HeadCheck = Callable[[RequestHead], int | HeadRefusal]
"""Returns the maximum size of the request's body in bytes, or its refusal."""


class InputError(Exception):
    """Input rejected before it reaches the handler; the connection is closed after the answer."""

    def __init__(self, refusal: HeadRefusal, message: str) -> None:
        super().__init__(message)
        self.refusal = refusal


def input_error(status: int, reason: str, message: str) -> InputError:
    """Return the error for input that the server itself rejects; the request was not run."""
    headers = (JSON_HEADER, (OUTCOME_HEADER, "not-run"), (RETRY_AFTER_HEADER, "1"))
    body = error_body(reason, message, "not-run")
    return InputError(HeadRefusal(status, headers, body), message)
