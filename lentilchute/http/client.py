"""HTTP/1.1 client: h11 over trio streams, with a pool of idle connections to one address.

A connection carries one request at a time. It is reused only after a complete answer, and only if
it is known to be open. The client never retries: a caller that wants to repeat a request does so
itself, and ``HttpFault`` states whether any byte of the request had been sent.
"""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from enum import Enum

import h11
import trio
from result import Err, Ok, Result

from ..util.lean_dataclasses import dataclass
from .answer_head import is_valid_head
from .chunks import WholeChunks
from .messages import (
    READ_BYTES,
    Headers,
    enable_tcp_keepalive,
    from_wire,
    header_value,
    split_address,
    to_wire,
)
from .parsed_events import next_event
from .socket_io import close_now, connect, read_some, withdraw_unacknowledged, write_now


class HttpFault(Enum):
    """Why an exchange failed."""

    NOT_SENT = "not-sent"
    """No byte of the request was sent."""
    RESET = "reset"
    """The connection failed after the first byte was sent."""
    TIMED_OUT = "timed-out"
    WRONG_ANSWER = "wrong-answer"
    """The answer is not valid HTTP/1.1 or larger than allowed."""


@dataclass(frozen=True, slots=True)
class HttpClientSettings:
    """Timeouts and limits of a client's connections."""

    connect_timeout_s: float = 2.0
    write_timeout_s: float = 30.0
    head_timeout_s: float = 60.0
    """From the last byte sent to the complete head of the answer."""
    read_timeout_s: float = 30.0
    """Longest time between two pieces of the body."""
    max_header_bytes: int = 32_768
    max_idle_connections: int = 16
    idle_timeout_s: float = 8.0
    """A connection idle for longer is not reused; a server may announce a shorter time."""
    reused_ack_timeout_s: float | None = None
    """A reused connection fails when bytes sent on it are not acknowledged within this time: it may
    have died silently while it was idle."""
    accepts_close_delimited: bool = False
    """Accept a body without length or chunks, which ends when the server closes the connection. It
    is whole only if the connection has not failed before, also while the request was written."""


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request to send; timeouts that are set override those of the client."""

    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    head_timeout_s: float | None = None
    read_timeout_s: float | None = None
    needs_new_connection: bool = False
    """Send it on a connection that carried no request before."""


@dataclass(frozen=True, slots=True)
class HttpHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    headers: Headers
    body: bytes


MAX_INTERIM_ANSWERS = 16
"""Servers send one or two; more than this is no answer."""
RELAY_READ_BYTES = 16_384
"""Maximum number of bytes to relay at once. What is relayed is held several times over on its way,
and for as long as a slow reader holds it up."""
LARGE_REQUEST_BYTES = 16_384
"""A larger request may not fit into the socket buffers, so its answer can arrive before all of it
is sent."""

Opener = Callable[[str], Awaitable[trio.abc.HalfCloseableStream]]
BeforeFirstByte = Callable[[], bool]


class PartResult(Enum):
    """What became of a piece of an answer's body."""

    PROGRESS = "progress"
    """It completed something; the time limit for the next piece starts anew."""
    NO_PROGRESS = "no-progress"
    """It completed nothing; the time limit goes on."""
    STOP = "stop"
    """The rest of the answer is of no use."""


PartRelay = Callable[[bytes], Awaitable[PartResult]]

_STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError)


@dataclass(slots=True)
class _Connection:
    stream: trio.abc.HalfCloseableStream
    http: h11.Connection
    idle_until_s: float = 0.0
    is_reused: bool = False
    """It carried another request before."""
    is_request_incomplete: bool = False
    """Part of the request was not sent; the server would take later bytes for the rest of it."""
    has_write_failed: bool = False
    """The connection failed while the request was written. The kernel reports a reset only once, so
    that whoever reads sees an ordinary end after it."""


async def open_tcp(address: str) -> trio.abc.HalfCloseableStream:
    """Connect to ``address``. Raises ``OSError`` when that fails."""
    host, port = split_address(address)
    stream = await connect(host, port)
    enable_tcp_keepalive(stream)
    return stream


def always_send() -> bool:
    """Return true; the ``before_first_byte`` hook of requests that need no check."""
    return True


def _never_send() -> bool:
    """Return false; the hook of an exchange that has ended."""
    return False


def is_known_open(stream: trio.abc.Stream) -> bool:
    """Return whether an idle connection is known to be open, without blocking.

    An idle connection that is readable was closed by the peer, or holds unsolicited bytes.
    """
    return isinstance(stream, trio.SocketStream) and not stream.socket.is_readable()


class HttpClient:
    """Sends requests to one address over pooled connections."""

    def __init__(
        self,
        address: str,
        settings: HttpClientSettings | None = None,
        opener: Opener = open_tcp,
    ) -> None:
        self.address = address
        self.settings = settings or HttpClientSettings()
        self._opener = opener
        self._idle: list[_Connection] = []
        self._is_closed = False

    @property
    def idle_count(self) -> int:
        """Number of pooled idle connections."""
        return len(self._idle)

    @asynccontextmanager
    async def exchange(
        self, request: ClientRequest, before_first_byte: BeforeFirstByte = always_send
    ) -> AsyncIterator["HttpExchange"]:
        """Start an exchange; leaving the block before the end of the answer closes its connection.

        ``before_first_byte`` is called at most once, with the connection open; when it returns
        false, nothing is sent. There is no checkpoint between it and the first byte::

            async with client.exchange(request) as exchange:
                head = await exchange.head()
                while (part := (await exchange.part()).ok()) is not None: ...
        """
        exchange = HttpExchange(self, request, before_first_byte)
        try:
            yield exchange
        finally:
            await exchange.finish()

    async def call(
        self,
        request: ClientRequest,
        before_first_byte: BeforeFirstByte = always_send,
        max_body_bytes: int = 16 * 1024 * 1024,
    ) -> Result[HttpAnswer, HttpFault]:
        """Send a request and return the complete answer."""
        async with self.exchange(request, before_first_byte) as exchange:
            head = await exchange.head()
            if isinstance(head, Err):
                return head
            body = bytearray()
            while True:
                part = await exchange.part()
                if isinstance(part, Err):
                    return part
                if part.ok_value is None:
                    answer = head.ok_value
                    return Ok(HttpAnswer(answer.status, answer.headers, bytes(body)))
                body += part.ok_value
                if len(body) > max_body_bytes:
                    return Err(HttpFault.WRONG_ANSWER)

    async def acquire(self, *, needs_new: bool = False) -> Result[_Connection, HttpFault]:
        """Return a pooled connection that is known to be open, or a new one."""
        while self._idle and not needs_new:
            connection = self._idle.pop()
            is_fresh = trio.current_time() < connection.idle_until_s
            if is_fresh and is_known_open(connection.stream):
                if not connection.is_reused:
                    connection.is_reused = True
                    self._limit_ack_time(connection.stream)
                return Ok(connection)
            await close_now(connection.stream)
        try:
            with trio.fail_after(self.settings.connect_timeout_s):
                stream = await self._opener(self.address)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return Err(HttpFault.NOT_SENT)
        limit_bytes = self.settings.max_header_bytes
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=limit_bytes)
        return Ok(_Connection(stream, http))

    def _limit_ack_time(self, stream: trio.abc.Stream) -> None:
        limit_s = self.settings.reused_ack_timeout_s
        if limit_s is not None and isinstance(stream, trio.SocketStream):
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(limit_s * 1000))

    async def close_expired(self) -> None:
        """Close idle connections that would not be reused."""
        now_s = trio.current_time()
        expired = [item for item in self._idle if now_s >= item.idle_until_s]
        self._idle = [item for item in self._idle if now_s < item.idle_until_s]
        for connection in expired:
            await close_now(connection.stream)

    async def release(self, connection: _Connection, idle_timeout_s: float) -> None:
        """Return a connection to the pool after a complete exchange, or close it."""
        http = connection.http
        is_reusable = http.our_state is h11.DONE and http.their_state is h11.DONE
        is_reusable = is_reusable and not connection.is_request_incomplete
        has_room = len(self._idle) < self.settings.max_idle_connections
        if not is_reusable or not has_room or self._is_closed or http.trailing_data[0]:
            if http.their_state is not h11.DONE:
                withdraw_unacknowledged(connection.stream)
            await close_now(connection.stream)
            return
        http.start_next_cycle()
        connection.idle_until_s = trio.current_time() + idle_timeout_s
        self._idle.append(connection)

    async def aclose(self) -> None:
        """Close the idle connections; those in use are closed when their exchange ends."""
        self._is_closed = True
        while self._idle:
            await close_now(self._idle.pop().stream)


class HttpExchange:
    """One request and its answer."""

    def __init__(
        self, client: HttpClient, request: ClientRequest, before_first_byte: BeforeFirstByte
    ) -> None:
        self._client = client
        self._settings = client.settings
        self._request = request
        self._before_first_byte = before_first_byte
        self._connection: _Connection | None = None
        self._idle_timeout_s = client.settings.idle_timeout_s
        self._begins_with_chunk = False
        """The body is chunked, and none of it was read."""
        self.ended_with_connection = False
        """The body had neither length nor chunks, so nothing else shows that it is complete."""

    @property
    def is_reused(self) -> bool:
        """Whether the request went out on a connection that carried another one before."""
        return self._connection is not None and self._connection.is_reused

    async def head(self) -> Result[HttpHead, HttpFault]:
        """Send the request and return the head of its answer; call it once."""
        acquired = await self._client.acquire(needs_new=self._request.needs_new_connection)
        if isinstance(acquired, Err):
            return acquired
        self._connection = acquired.ok_value
        wire = self._encode(self._connection)
        # A pending cancellation is raised here, so that none is delivered between the hook and the
        # first byte. Without one this does not yield, so the check that the connection is open
        # still holds.
        await trio.lowlevel.checkpoint_if_cancelled()
        if not self._before_first_byte():
            return Err(HttpFault.NOT_SENT)
        event = await self._send_and_read_head(self._connection, wire)
        if isinstance(event, Err):
            return event
        head = HttpHead(event.ok_value.status_code, from_wire(list(event.ok_value.headers)))
        self._idle_timeout_s = _idle_timeout_s(head.headers, self._settings.idle_timeout_s)
        self._begins_with_chunk = header_value(head.headers, "transfer-encoding") == "chunked"
        return Ok(head)

    async def part(self) -> Result[bytes | None, HttpFault]:
        """Return the next piece of the body, or ``None`` at the regular end of the answer."""
        assert self._connection is not None
        self._begins_with_chunk = False
        timeout_s = _or_default(self._request.read_timeout_s, self._settings.read_timeout_s)
        event = await self._read_event(self._connection, timeout_s)
        if isinstance(event, Err):
            return event
        if isinstance(event.ok_value, h11.Data):
            return Ok(bytes(event.ok_value.data))
        if isinstance(event.ok_value, h11.EndOfMessage):
            return Ok(None)
        return Err(HttpFault.RESET)

    async def relay_parts(self, relay: PartRelay) -> Result[bool, HttpFault]:
        """Pass the body to ``relay`` as it arrives, until the end of the answer.

        What one read brings is passed on as one piece. Returns false when ``relay`` stops, and true
        at the regular end of the answer. The read timeout limits the time without progress, so that
        an answer that sends a byte now and then ends as well. One cancel scope serves all reads,
        and its deadline moves: this costs less than ``part``.
        """
        assert self._connection is not None
        connection, http = self._connection, self._connection.http
        timeout_s = max(_or_default(self._request.read_timeout_s, self._settings.read_timeout_s), 0)
        chunks = WholeChunks(http.trailing_data[0]) if self._begins_with_chunk else None
        try:
            deadline_s = trio.current_time() + timeout_s
            with trio.CancelScope() as scope:
                data, event = _arrived(http)
                while True:
                    if data:
                        result = await relay(data)
                        if result is PartResult.STOP:
                            return Ok(False)
                        if result is PartResult.PROGRESS:
                            deadline_s = trio.current_time() + timeout_s
                    if event is h11.NEED_DATA:
                        scope.deadline = deadline_s
                        received = await read_some(connection.stream, RELAY_READ_BYTES)
                        scope.deadline = float("inf")
                        if received:
                            whole = None if chunks is None else chunks.read(received)
                            if whole is None:
                                http.receive_data(received)
                                data, event = _arrived(http)
                            else:
                                data = whole
                            continue
                        last = _event_at_eof(connection, self._settings)
                        if isinstance(last, Err):
                            return last
                        event = last.ok_value
                        self.ended_with_connection = True
                    if isinstance(event, h11.RemoteProtocolError):
                        return Err(HttpFault.WRONG_ANSWER)
                    return Ok(True) if isinstance(event, h11.EndOfMessage) else Err(HttpFault.RESET)
        except _STREAM_ERRORS:
            return Err(HttpFault.RESET)
        return Err(HttpFault.TIMED_OUT)

    async def finish(self) -> None:
        """Release the connection; it is closed when the answer is incomplete."""
        # The hook may refer to the owner of this exchange, and would so leave both, with the body
        # of the request, to the cyclic collector.
        self._before_first_byte = _never_send
        if self._connection is None:
            return
        connection = self._connection
        self._connection = None
        await self._client.release(connection, self._idle_timeout_s)

    def _encode(self, connection: _Connection) -> bytes:
        request = self._request
        headers = request.headers
        if header_value(headers, "host") is None:
            headers = (("host", self._client.address), *headers)
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers = (*headers, ("content-length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.path, headers=to_wire(headers))
        parts: list[h11.Event] = [head]
        if request.body:
            parts.append(h11.Data(data=request.body))
        parts.append(h11.EndOfMessage())
        return b"".join(connection.http.send(part) or b"" for part in parts)

    async def _send_and_read_head(
        self, connection: _Connection, wire: bytes
    ) -> Result[h11.Response, HttpFault]:
        if len(wire) > LARGE_REQUEST_BYTES:
            return await self._read_head_while_sending(connection, wire)
        sent = await self._write(connection, wire)
        return sent if isinstance(sent, Err) else await self._read_head(connection)

    async def _read_head_while_sending(
        self, connection: _Connection, wire: bytes
    ) -> Result[h11.Response, HttpFault]:
        """Send a large request and read its answer; an early answer stops the sending."""
        connection.is_request_incomplete = True

        async def send() -> None:
            # A send error also shows up when reading, which may still return an early answer.
            if (await self._write(connection, wire)).is_ok():
                connection.is_request_incomplete = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            event = await self._read_head(connection)
            nursery.cancel_scope.cancel()
        return event

    async def _write(self, connection: _Connection, wire: bytes) -> Result[None, HttpFault]:
        try:
            written = write_now(connection.stream, wire)
            if written == len(wire):
                return Ok(None)
            with trio.move_on_after(self._settings.write_timeout_s) as scope:
                await connection.stream.send_all(memoryview(wire)[written:])
        except _STREAM_ERRORS:
            connection.has_write_failed = True
            return Err(HttpFault.RESET)
        return Err(HttpFault.TIMED_OUT) if scope.cancelled_caught else Ok(None)

    async def _read_head(self, connection: _Connection) -> Result[h11.Response, HttpFault]:
        timeout_s = _or_default(self._request.head_timeout_s, self._settings.head_timeout_s)
        deadline_s = trio.current_time() + timeout_s
        received = bytearray()
        for _ in range(MAX_INTERIM_ANSWERS):
            event = await self._read_event(connection, deadline_s - trio.current_time(), received)
            if isinstance(event, Err):
                return event
            head = event.ok_value
            if not isinstance(head, h11.Response | h11.InformationalResponse):
                return Err(HttpFault.RESET)
            if not is_valid_head(_take_head(connection.http, received)):
                return Err(HttpFault.WRONG_ANSWER)
            if isinstance(head, h11.Response):
                return Ok(head)
        return Err(HttpFault.WRONG_ANSWER)

    async def _read_event(
        self, connection: _Connection, timeout_s: float, received: bytearray | None = None
    ) -> Result[h11.Event, HttpFault]:
        """Return h11's next event. A truncated answer never yields ``EndOfMessage``.

        What is read is added to ``received``.
        """
        http = connection.http
        try:
            event = next_event(http)
            if isinstance(event, h11.Event):
                return Ok(event)
            with trio.move_on_after(max(timeout_s, 0)):
                while event is h11.NEED_DATA:
                    data = await read_some(connection.stream, READ_BYTES)
                    if not data:
                        return _event_at_eof(connection, self._settings)
                    if received is not None:
                        received += data
                    http.receive_data(data)
                    event = next_event(http)
                return Ok(event) if isinstance(event, h11.Event) else Err(HttpFault.RESET)
        except _STREAM_ERRORS:
            return Err(HttpFault.RESET)
        except h11.RemoteProtocolError:
            return Err(HttpFault.WRONG_ANSWER)
        return Err(HttpFault.TIMED_OUT)


def _take_head(http: h11.Connection, received: bytearray) -> bytes:
    """Remove the head that h11 has just parsed from ``received``, and return its bytes."""
    unread, _ = http.trailing_data
    end = len(received) - len(unread)
    head = bytes(received[:end])
    del received[:end]
    return head


def _arrived(http: h11.Connection) -> tuple[bytes, object]:
    """Return the part of a body that has arrived, and what follows it: an event or an error."""
    pieces: list[bytes] = []
    try:
        while isinstance(event := next_event(http), h11.Data):
            pieces.append(bytes(event.data))
    except h11.RemoteProtocolError as error:
        # The caller keeps the error in a frame that its traceback would refer to.
        return b"".join(pieces), error.with_traceback(None)
    return b"".join(pieces), event


def _event_at_eof(
    connection: _Connection, settings: HttpClientSettings
) -> Result[h11.Event, HttpFault]:
    """Return the event or fault for the end of the connection.

    A body without length or chunks is delimited by the close of its connection. Such a body is
    accepted only from servers that reset the connection when they fail; from others a truncated
    body would look complete. So it would after a write that failed, which has taken the reset.
    """
    http = connection.http
    http.receive_data(b"")
    try:
        event = next_event(http)
    except h11.RemoteProtocolError:
        return Err(HttpFault.RESET)
    if not isinstance(event, h11.EndOfMessage) or connection.has_write_failed:
        return Err(HttpFault.RESET)
    return Ok(event) if settings.accepts_close_delimited else Err(HttpFault.WRONG_ANSWER)


def _idle_timeout_s(headers: Headers, default_timeout_s: float) -> float:
    """Return the server's ``Keep-Alive`` timeout less 1 s, at most the default."""
    for item in (header_value(headers, "keep-alive") or "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "timeout" and value.isdecimal():
            return min(default_timeout_s, max(float(value) - 1.0, 0.0))
    return default_timeout_s


def _or_default(value: float | None, default: float) -> float:
    return default if value is None else value
