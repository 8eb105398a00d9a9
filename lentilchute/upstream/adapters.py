"""The interface to upstreams, and the registry of the adapters that implement it.

An adapter speaks one kind of upstream's published protocol. It is registered by decorator under the
name that a service document's ``kind`` gives::

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
    """An upstream's name, address and kind, from the document or the platform's list."""

    upstream: UpstreamId
    address: str
    zone: str
    kind: UpstreamKind


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """What is sent to an upstream: the caller's request without its hop-by-hop headers."""

    request_id: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streaming: bool
    head_timeout_s: float = 60.0
    """Longest wait from the last byte sent to the head of a streamed answer.

    One that is not streamed has no bound here: whoever sends it ends it at its deadline.
    """
    idle_timeout_s: float = 10.0
    """Longest silence within the answer; the service document's ``stream_idle_timeout_s``."""


class UpstreamFault(Enum):
    """Why a call to an upstream failed; the first kind is the only one before dispatch."""

    NOT_SENT = "not-sent"
    """No byte of the request left this process: connecting failed or was refused."""
    RESET = "reset"
    """The connection broke after the first byte was sent."""
    TIMED_OUT = "timed-out"
    WRONG_ANSWER = "wrong-answer"
    """The answer is not the protocol's, or names another request."""
    NOT_SUPPORTED = "not-supported"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and end-to-end headers of an upstream's answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """A piece of the body. ``event_id`` is the SSE event's id, from 1 on; ``data`` its bytes."""

    data: bytes
    event_id: int | None = None
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The protocol's own end of the answer: nothing is missing."""

    cached_prompt_tokens: int = 0
    prompt_tokens: int = 0


AnswerItem = AnswerHead | AnswerPart | AnswerEnd | UpstreamFault
"""Items in order: one head, parts, then an end or a fault; a fault is always the last."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """The state an engine shall reach; repeating the order changes nothing."""

    fencing: FencingNumber
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says it holds."""

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
        byte is written, with no checkpoint between; when it returns false nothing is sent and
        ``NOT_SENT`` is yielded. A connection that was idle is only reused when it is known not to
        be closed; a request is never sent twice.
        """
        ...

    def resume(self, request_id: RequestId, after_event: int) -> AsyncIterator[AnswerItem]:
        """Yield the rest of a stream after event ``after_event``; no prompt is run again."""
        ...

    async def cancel(self, request_id: RequestId) -> Result[None, UpstreamFault]:
        """Ask the upstream to drop a request."""
        ...

    async def load(self) -> Result[LoadReport, UpstreamFault]:
        """Return the upstream's own lagging load report."""
        ...

    async def cache_events(self, after: int) -> Result[list[CacheEvent], UpstreamFault]:
        """Return cache events with a sequence number above ``after``; there may be gaps."""
        ...

    async def export_kv(self, block: int) -> Result[bytes, UpstreamFault]:
        """Return the KV cache of one prefix block."""
        ...

    async def import_kv(self, block: int, body: bytes) -> Result[None, UpstreamFault]:
        """Give the upstream the KV cache of one prefix block."""
        ...

    async def state(self) -> Result[EngineState, UpstreamFault]:
        """Return what the engine holds and whether it is leaving."""
        ...

    async def order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Order the engine to reach a state; ``WRONG_ANSWER`` when it refuses the number."""
        ...

    async def aclose(self) -> None:
        """Close idle connections."""
        ...


AdapterFactory = Callable[[Upstream], UpstreamAdapter]
Factory = TypeVar("Factory", bound=Callable[..., Any])

_factories: dict[str, AdapterFactory] = {}


def register_upstream(name: str) -> Callable[[Factory], Factory]:
    """Register an adapter class under the name that a document's ``kind`` gives."""

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
