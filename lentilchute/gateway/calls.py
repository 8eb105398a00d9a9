"""Requests of callers, and the refusals with which a gateway answers them."""

from enum import Enum

from ..http.messages import JSON_HEADER, RETRY_AFTER_HEADER, Headers, error_body
from ..http.requests import HttpRequest
from ..ids import Fingerprint, ServiceName
from ..platform.headers import CallHeaders
from ..util.lean_dataclasses import dataclass
from .routes import Account, Route, RoutingConfig


class RefusalCause(Enum):
    """Why a gateway answers a request with an error itself; the value is the error type."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    CRASHES_UPSTREAMS = "crashes-upstreams"
    OVER_QUOTA = "over-quota"
    STOPPING = "stopping"
    NO_UPSTREAM = "no-upstream"
    UNKNOWN_STREAM = "unknown-stream"
    """The caller takes up a stream, and this node cannot tell at which upstreams it may go on."""
    OVERLOADED = "overloaded"
    NO_MEMORY = "no-memory"
    """This node has no memory left for the request."""
    NOT_EXECUTED = "not-executed"
    """Every upstream that was tried declared that it did not execute the request."""
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
    RefusalCause.UNKNOWN_STREAM: 503,
    RefusalCause.OVERLOADED: 503,
    RefusalCause.NO_MEMORY: 503,
    RefusalCause.NOT_EXECUTED: 503,
    RefusalCause.UPSTREAM_FAILED: 502,
    RefusalCause.TIMED_OUT: 504,
}
"""429 and 503 guarantee that the request was not executed; 502 and 504 guarantee nothing."""


@dataclass(frozen=True, slots=True)
class CallRefusal:
    """An error answer that the gateway generates itself."""

    cause: RefusalCause
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The status of the answer."""
        return _STATUS_BY_CAUSE[self.cause]

    @property
    def headers(self) -> Headers:
        """The headers of the answer."""
        if self.retry_after_s is None:
            return (JSON_HEADER,)
        return (JSON_HEADER, (RETRY_AFTER_HEADER, f"{self.retry_after_s:.3f}"))

    @property
    def body(self) -> bytes:
        """The body of the answer."""
        return error_body(self.cause.value, self.cause.value.replace("-", " "))


@dataclass(slots=True)
class Call:
    """A received request, with the fields that the admission filters fill in."""

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
    """Units of the account's quota that the request uses."""

    @property
    def subject(self) -> str:
        """What the request is about, as far as other requests are about the same."""
        parts = self.headers.shared_prompt_parts
        return parts[-1] if parts else ""

    @property
    def log_id(self) -> str:
        """The id of the request in the log."""
        return self.headers.attempt_id or f"#{self.number}"
