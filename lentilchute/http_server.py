"""HTTP/1.1 server side: h11 over a trio stream.

``HttpServer`` reads one bounded, timed request at a time from each connection and gives it to a
handler, together with a ``Responder`` that writes the answer. Input that HTTP does not allow is
answered here with a JSON error and never reaches the handler.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import h11
import trio

from .events import Event, log_event
from .http_messages import (
    OUTCOME_HEADER,
    READ_BYTES,
    Headers,
    error_body,
    from_wire,
    split_address,
    to_wire,
)
from .http_responder import Responder

JSON_HEADER = ("content-type", "application/json")


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
    linger_s: float = 2.0
    """How long a closing connection is still read, so that the last answer is not lost."""


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


class InputError(Exception):
    """Input that is answered with ``status`` and then ends the connection."""

    def __init__(self, status: int, reason: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.message = message


class HttpServer:
    """Serves HTTP connections with one handler."""

    def __init__(self, settings: HttpServerSettings, handler: Handler) -> None:
        self.settings = settings
        self.handler = handler
        self.is_closing = False
        self.reading_bytes = 0
        self._connections: set[_Connection] = set()
        self._accept_scope = trio.CancelScope()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def serve(
        self,
        listeners: Sequence[trio.SocketListener],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and serve connections until ``stop_accepting``, then until the last one ends."""
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                task_status.started()
                await trio.serve_listeners(
                    self.serve_stream, list(listeners), handler_nursery=nursery
                )
            for listener in listeners:
                await listener.aclose()

    def begin_close(self) -> None:
        """Close connections as they fall idle; requests that still come are served.

        Each answer now says ``Connection: close``. An idle connection is closed once it has been
        idle for longer than callers were told that they may use it.
        """
        self.is_closing = True
        for connection in self._connections:
            connection.shorten_idle()

    def stop_accepting(self) -> None:
        """Close the listening sockets; open connections go on."""
        self._accept_scope.cancel()

    async def serve_stream(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection until it ends, then close it. No fault of a connection is raised."""
        connection = _Connection(self, stream)
        self._connections.add(connection)
        try:
            await connection.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            log_event(Event.BAD_INPUT, reason="connection-failed", error=type(error).__name__)
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(stream)


class _Connection:
    """One connection: reads a request, runs the handler, starts again."""

    def __init__(self, server: HttpServer, stream: trio.abc.HalfCloseableStream) -> None:
        self._server = server
        self._settings = server.settings
        self._stream = stream
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.settings.max_header_bytes
        )
        self._idle_scope: trio.CancelScope | None = None
        self._idle_since_s = trio.current_time()
        self._is_first = True

    async def run(self) -> None:
        """Serve requests until one side closes."""
        try:
            if self._server.connection_count > self._settings.max_connections:
                raise InputError(503, "overloaded", "too many connections")
            while await self._serve_one():
                self._is_first = False
        except InputError as error:
            await self._answer_error(error)
        await self._linger()

    def shorten_idle(self) -> None:
        """Move the end of an idle wait forward after the server began to close."""
        if self._idle_scope is not None:
            self._idle_scope.deadline = min(self._idle_scope.deadline, self._idle_deadline_s())

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection can carry another one."""
        if not await self._wait_first_byte():
            return False
        request = await self._read_request()
        if request is None:
            return False
        responder = Responder(
            self._http,
            self._stream,
            self._settings,
            self._closes_after,
            request.method,
            request.caller_gone,
        )
        await self._run_handler(request, responder)
        if not responder.is_complete or request.caller_gone.is_set():
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._idle_since_s = trio.current_time()
        return True

    def _closes_after(self) -> bool:
        return self._server.is_closing

    async def _wait_first_byte(self) -> bool:
        if self._http.trailing_data[0]:
            return True
        with trio.CancelScope(deadline=self._idle_deadline_s()) as scope:
            self._idle_scope = scope
            data = await self._stream.receive_some(READ_BYTES)
        self._idle_scope = None
        if scope.cancelled_caught:
            if self._is_first:
                raise InputError(408, "timeout", "no request came in time")
            return False
        self._http.receive_data(bytes(data))
        return bool(data)

    def _idle_deadline_s(self) -> float:
        settings = self._settings
        if self._is_first:
            return self._idle_since_s + settings.header_timeout_s
        if not self._server.is_closing:
            return self._idle_since_s + settings.keep_alive_timeout_s
        # Callers were told not to use the connection after the advertised time; the linger time
        # covers a request that they sent just before it.
        told_s = min(settings.advertised_keep_alive_s, settings.keep_alive_timeout_s)
        return self._idle_since_s + told_s + settings.linger_s

    async def _read_request(self) -> HttpRequest | None:
        with trio.move_on_after(self._settings.header_timeout_s) as scope:
            event = await self._next_event()
        if scope.cancelled_caught:
            raise InputError(408, "timeout", "the request's header did not come in time")
        if not isinstance(event, h11.Request):
            return None
        self._check_head(event)
        body = await self._read_body()
        return HttpRequest(
            method=event.method.decode("ascii"),
            path=event.target.decode("ascii"),
            headers=from_wire(list(event.headers)),
            body=body,
        )

    def _check_head(self, head: h11.Request) -> None:
        if head.http_version != b"1.1":
            # An HTTP/1.0 caller could not tell a broken streamed answer from a whole one.
            raise InputError(505, "bad-request", "only HTTP/1.1 is served")
        header_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if header_bytes + len(head.target) > self._settings.max_header_bytes:
            raise InputError(431, "too-large", "the request's header is too large")
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._settings.max_body_bytes:
                raise InputError(413, "too-large", "the request's body is too large")

    async def _read_body(self) -> bytes:
        chunks: list[bytes] = []
        body_bytes = 0
        try:
            with trio.move_on_after(self._settings.body_timeout_s) as scope:
                while isinstance(event := await self._next_event(), h11.Data):
                    chunk = bytes(event.data)
                    chunks.append(chunk)
                    body_bytes += len(chunk)
                    self._server.reading_bytes += len(chunk)
                    self._check_body(body_bytes)
        finally:
            self._server.reading_bytes -= body_bytes
        if scope.cancelled_caught:
            raise InputError(408, "timeout", "the request's body did not come in time")
        return b"".join(chunks)

    def _check_body(self, body_bytes: int) -> None:
        if body_bytes > self._settings.max_body_bytes:
            raise InputError(413, "too-large", "the request's body is too large")
        if self._server.reading_bytes > self._settings.max_reading_bytes:
            raise InputError(503, "overloaded", "too many bytes of requests are being read")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    go_ahead = h11.InformationalResponse(status_code=100, headers=[])
                    await self._stream.send_all(self._http.send(go_ahead) or b"")
                self._http.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
        except h11.RemoteProtocolError as error:
            raise _input_error(error) from error
        return event  # type: ignore[return-value]

    async def _run_handler(self, request: HttpRequest, responder: Responder) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, request)
            try:
                await self._server.handler(request, responder)
            except Exception as error:
                log_event(Event.BAD_INPUT, reason="handler-failed", error=repr(error))
                await self._answer_failure(responder)
            finally:
                nursery.cancel_scope.cancel()

    async def _watch_caller(self, request: HttpRequest) -> None:
        """Read while the handler runs, to learn at once that the caller has gone."""
        early_bytes = 0
        while early_bytes <= self._settings.max_header_bytes:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                request.caller_gone.set()
                return
            # The beginning of the caller's next request; it waits for its turn.
            early_bytes += len(data)
            self._http.receive_data(bytes(data))

    async def _answer_failure(self, responder: Responder) -> None:
        if responder.is_started:
            responder.break_off()
            return
        # The handler may have dispatched the request before it failed.
        headers = (JSON_HEADER, (OUTCOME_HEADER, "may-have-run"))
        await responder.answer(500, headers, error_body("internal", "the request failed"))

    async def _answer_error(self, error: InputError) -> None:
        log_event(Event.BAD_INPUT, status=error.status, reason=error.reason, message=error.message)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = error_body(error.reason, error.message)
        headers: Headers = (
            JSON_HEADER,
            (OUTCOME_HEADER, "not-run"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        )
        if error.status == 503:
            headers += (("retry-after", "1"),)
        head = h11.Response(status_code=error.status, headers=to_wire(headers))
        parts = (head, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self._http.send(part) or b"" for part in parts)
        with trio.move_on_after(self._settings.write_timeout_s):
            await self._stream.send_all(data)

    async def _linger(self) -> None:
        """End the output, then discard input for a while: closing with input unread resets."""
        with trio.move_on_after(self._settings.linger_s):
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass


def _input_error(error: h11.RemoteProtocolError) -> InputError:
    if error.error_status_hint == 431:
        return InputError(431, "too-large", "the request's header is too large")
    return InputError(error.error_status_hint, "bad-request", f"not valid HTTP/1.1: {error}")


async def open_listeners(address: str) -> list[trio.SocketListener]:
    """Bind ``address`` (``host:port``; port 0 takes a free one) and return its listeners."""
    host, port = split_address(address)
    return await trio.open_tcp_listeners(port, host=host)
