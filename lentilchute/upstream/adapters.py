"""The interface to upstreams, and the registry of the adapters that implement it.

An adapter implements the published protocol of one kind of upstream. A decorator registers it under
the name that a service document gives in ``kind``::

    @register_upstream("engine")
    class EngineAdapter: ...
"""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol, TypeVar

from result import Result

from ..document import UpstreamKind
from ..errors import UserError
from ..ids import FencingNumber, RequestId, UpstreamId
from ..scheduler.tickets import CacheEvent, LoadReport


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream's name, address, zone and kind, from the document or the platform's list."""

    upstream: UpstreamId
    address: str
    zone: str
    kind: UpstreamKind


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream: the caller's request without its hop-by-hop headers."""

    request_id: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streaming: bool
    head_timeout_s: float = 60.0
    """Longest wait from the last byte sent to the head of a streamed answer.

    An answer that is not streamed has no such limit: its sender cancels it at the deadline.
    """
    idle_timeout_s: float = 10.0
    """Longest wait for more of a streamed answer: the document's ``stream_idle_timeout_s``."""


class UpstreamFault(Enum):
    """Why a call to an upstream failed; only ``NOT_SENT`` is certain to precede dispatch."""

    NOT_SENT = "not-sent"
    """No byte of the request left this process: connecting failed or was refused."""
    RESET = "reset"
    """The connection broke after the first byte was sent."""
    TIMED_OUT = "timed-out"
    WRONG_ANSWER = "wrong-answer"
    """The answer violates the protocol, or carries another request's id."""
    NOT_SUPPORTED = "not-supported"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and end-to-end headers of an upstream's answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """A part of the body. ``event_id`` is the SSE event's id, from 1; ``data`` is its bytes."""

    data: bytes
    event_id: int | None = None
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of an answer that is complete by its protocol."""

    cached_prompt_tokens: int = 0
    prompt_tokens: int = 0


AnswerItem = AnswerHead | AnswerPart | AnswerEnd | UpstreamFault
"""Items in order: one head, parts, then an end or a fault; nothing follows a fault."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """The state that an engine is to reach; orders are idempotent."""

    fencing: FencingNumber
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine reports that it has loaded, and whether it takes work."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    ready: bool
    leaving: bool
    highest_fencing: FencingNumber
    extra: dict[str, Any] = field(default_factory=dict)


class UpstreamAdapter(Protocol):
    """One upstream, as the entry and the controllers use it."""

    def send(
        self, request: UpstreamRequest, before_first_byte: Callable[[], bool]
    ) -> AsyncIterator[AnswerItem]:
        """Send a request and yield its answer.

        ``before_first_byte`` is called once, with the connection open and just before the first
        byte is written, with no checkpoint between the two. When it returns false, nothing is sent
        and ``NOT_SENT`` is yielded. An idle connection is reused only when it is known to be still
        open; a request is never sent twice.
        """
        ...

    def resume(self, request_id: RequestId, after_event: int) -> AsyncIterator[AnswerItem]:
        """Yield the rest of a stream after event ``after_event``, without running the prompt."""
        ...

    async def cancel(self, request_id: RequestId) -> Result[None, UpstreamFault]:
        """Ask the upstream to cancel a request."""
        ...

    async def load(self) -> Result[LoadReport, UpstreamFault]:
        """Return the upstream's own load report, which lags."""
        ...

    async def cache_events(self, after: int) -> Result[list[CacheEvent], UpstreamFault]:
        """Return cache events with a sequence number above ``after``; there may be gaps."""
        ...

    async def export_kv(self, block: int) -> Result[bytes, UpstreamFault]:
        """Return the KV cache of one prefix block."""
        ...

    async def import_kv(self, block: int, body: bytes) -> Result[None, UpstreamFault]:
        """Load the KV cache of one prefix block into the upstream."""
        ...

    async def state(self) -> Result[EngineState, UpstreamFault]:
        """Return what the engine has loaded and whether it is leaving."""
        ...

    async def order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Order the engine to reach a state; ``WRONG_ANSWER`` if it rejects the fencing number."""
        ...

    async def aclose(self) -> None:
        """Close idle connections."""
        ...


AdapterFactory = Callable[[Upstream], UpstreamAdapter]
Factory = TypeVar("Factory", bound=Callable[..., Any])

_factories: dict[str, AdapterFactory] = {}


def register_upstream(name: str) -> Callable[[Factory], Factory]:
    """Register an adapter class under the name that documents give in ``kind``."""

    def add(factory: Factory) -> Factory:
        _factories[name] = factory
        return factory

    return add


def adapter_for(upstream: Upstream) -> UpstreamAdapter:
    """Return a new adapter for an upstream.

    Raises ``UserError`` when no adapter is registered for its kind.
    """
    factory = _factories.get(upstream.kind.value)
    if factory is None:
        raise UserError(f"no adapter for upstream kind {upstream.kind.value}")
    return factory(upstream)
