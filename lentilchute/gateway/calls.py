"""One caller's request on its way through a gateway."""

from dataclasses import dataclass
from enum import Enum

from ..http.messages import JSON_HEADER, RETRY_AFTER_HEADER, Headers, error_body
from ..http.requests import HttpRequest
from ..ids import Fingerprint, ServiceName
from ..platform.headers import CallHeaders
from .routes import Account, Route, RoutingConfig


class RefusalCause(Enum):
    """Why a gateway itself ends a request; the value is the answer's error type."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    CRASHES_UPSTREAMS = "crashes-upstreams"
    OVER_QUOTA = "over-quota"
    STOPPING = "stopping"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    NOT_EXECUTED = "not-executed"
    """Every upstream that was asked said that it did not run the request."""
    UPSTREAM_FAILED = "upstream-failed"
    TIMED_OUT = "timed-out"


_STATUS_BY_CAUSE = {
    RefusalCause.NO_CONFIGURATION: 503,
    RefusalCause.NO_ROUTE: 404,
    RefusalCause.UNKNOWN_KEY: 401,
    RefusalCause.CRASHES_UPSTREAMS: 503,
    RefusalCause.OVER_QUOTA: 429,
    RefusalCause.STOPPING: 503,
    RefusalCause.NO_UPSTREAM: 503,
    RefusalCause.OVERLOADED: 503,
    RefusalCause.NOT_EXECUTED: 503,
    RefusalCause.UPSTREAM_FAILED: 502,
    RefusalCause.TIMED_OUT: 504,
}
"""Answers with 429 and 503 promise that the request did not run; 502 and 504 promise nothing."""


@dataclass(frozen=True, slots=True)
class CallRefusal:
    """An answer of the gateway's own."""

    cause: RefusalCause
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The answer's status."""
        return _STATUS_BY_CAUSE[self.cause]

    @property
    def headers(self) -> Headers:
        """The answer's headers."""
        if self.retry_after_s is None:
            return (JSON_HEADER,)
        return (JSON_HEADER, (RETRY_AFTER_HEADER, f"{self.retry_after_s:.3f}"))

    @property
    def body(self) -> bytes:
        """The answer's body."""
        return error_body(self.cause.value, self.cause.value.replace("-", " "))


@dataclass(slots=True)
class Call:
    """A request with what the filters have found out about it."""

    request: HttpRequest
    headers: CallHeaders
    number: int
    arrived_s: float
    config: RoutingConfig | None = None
    route: Route | None = None
    service: ServiceName | None = None
    account: Account | None = None
    fingerprint: Fingerprint | None = None
    cost: float = 0.0
    """What the request uses of its account's quota."""

    @property
    def log_id(self) -> str:
        """The id under which the log names the request."""
        return self.headers.attempt_id or f"#{self.number}"
