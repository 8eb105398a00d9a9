"""One connection of the HTTP server: reads requests, runs the handler, detects disconnects."""

import socket
from typing import Protocol

import h11
import trio

from ..events import Event, log_event
from ..util.log_limit import LogLineLimiter
from .awaited_callers import AwaitedCallers, Wait
from .caller_account import AHEAD_BYTES, BODY_COPIES, CallerAccount, OpenAccount, size_of_head
from .messages import JSON_HEADER, OUTCOME_HEADER, READ_BYTES, error_body, from_wire, to_wire
from .parsed_events import next_event
from .requests import (
    Handler,
    HeadCheck,
    HeadRefusal,
    HttpRequest,
    HttpServerSettings,
    InputError,
    RequestHead,
    input_error,
)
from .responder import Responder, headers_without_framing
from .socket_io import LINGER_RESET, read_now, read_some, write_now

HEAD_READ_BYTES = 16_384
"""Maximum number of bytes to read at once while a head is awaited: what follows it, and is no body,
is held until the request has been answered."""
HEAD_SLACK_BYTES = 1_024
"""A head may be so much longer than the limit in bytes that the limit does not count."""
LARGE_HEAD_BYTES = 4_096
"""A head may have thousands of fields, which take milliseconds to parse."""
PIECES_PER_TURN = 64
"""A body in many small pieces lets other connections take their turns after so many of them."""


class ServerContext(Protocol):
    """State and settings of the server that its connections use."""

    settings: HttpServerSettings
    handler: Handler
    check_head: HeadCheck | None
    is_closing: bool
    reading_bytes: int
    awaited: AwaitedCallers[CallerAccount]
    open_account: OpenAccount | None
    line_limiter: LogLineLimiter
    large_heads: trio.Semaphore

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        ...

    def has_reading_room(self, caller: CallerAccount) -> bool:
        """Return whether the bodies that are being read are within their bound; stalled ones give
        way to that of ``caller``."""
        ...


class ServerConnection:
    """Serves requests on one connection, one at a time."""

    def __init__(self, server: ServerContext, stream: trio.abc.HalfCloseableStream) -> None:
        self._server = server
        self._settings = server.settings
        self._stream = stream
        self._scope = trio.CancelScope()
        account = None if server.open_account is None else server.open_account(self.give_up)
        self.has_memory = account is not None or server.open_account is None
        """Whether there is memory for the connection, as far as it is bounded."""
        self._caller = CallerAccount(account, server.awaited, self.give_up)
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.settings.max_header_bytes + HEAD_SLACK_BYTES,
        )
        self._idle_scope: trio.CancelScope | None = None
        self._idle_since_s = trio.current_time()
        self._is_first = True
        self._has_caller_ended = False
        """The caller has closed its side, so that no input can be lost any more."""
        self._is_head_method = False
        self._reading_bytes = 0
        """Size of the body so far, as long as it counts as being read."""

    async def run(self, refusal: str = "") -> None:
        """Serve requests until either side closes the connection.

        A ``refusal`` turns the caller away, and says why.
        """
        try:
            with self._scope:
                await self._serve(refusal)
            if self._scope.cancel_called:
                await self._leave()
        finally:
            self._caller.close()
            self._release_reading()

    def give_up(self) -> None:
        """Close the connection soon: others need what it holds."""
        self._release_reading()
        self._scope.cancel()

    async def _serve(self, refusal: str) -> None:
        refused = await self._serve_requests(refusal)
        if refused is not None:
            await self._answer_refused(refused)
        if not self._has_caller_ended and not self._scope.cancel_called:
            await self._linger()

    async def _serve_requests(self, refusal: str) -> HeadRefusal | None:
        """Serve requests; return how to answer one that is refused.

        What was read of it is dropped on return, and not held while its caller takes the answer.
        """
        try:
            if refusal:
                raise input_error(503, "overloaded", refusal)
            while await self._serve_request():
                self._is_first = False
        except InputError as error:
            self._log_refusal(error)
            return error.refusal
        return None

    def _log_refusal(self, error: InputError) -> None:
        status = error.refusal.status
        left_out = self._server.line_limiter.acquire(str(status), trio.current_time())
        if left_out is not None:
            log_event(Event.BAD_INPUT, status=status, message=str(error), left_out=left_out)

    def shorten_idle_timeout(self) -> None:
        """Apply the shorter idle timeout of a closing server to a connection that is idle."""
        if self._idle_scope is not None:
            self._idle_scope.deadline = min(self._idle_scope.deadline, self._idle_deadline_s())

    def reset_on_close(self) -> None:
        """Make the socket send a reset instead of a clean close."""
        if isinstance(self._stream, trio.SocketStream):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection can carry another one."""
        if not await self._wait_first_byte():
            return False
        request = await self._read_request()
        if request is None or self._scope.cancel_called:
            return False
        responder = Responder(
            self._http,
            self._stream,
            self._settings,
            self._closes_after,
            request.method,
            request.caller_gone,
        )
        if self._caller.is_bounded:
            responder.caller = self._caller
        await self._run_handler(request, responder)
        if not responder.is_complete or request.caller_gone.is_noticed:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._idle_since_s = trio.current_time()
        self._caller.is_read = True
        self._caller.drop_request()
        return True

    def _closes_after(self) -> bool:
        return self._server.is_closing or self._caller.must_close()

    async def _wait_first_byte(self) -> bool:
        if self._caller.unparsed_bytes:
            return True
        self._caller.wait(Wait.INPUT if self._is_first else Wait.IDLE, trio.current_time())
        with trio.CancelScope(deadline=self._idle_deadline_s()) as scope:
            self._idle_scope = scope
            data = await self._read(HEAD_READ_BYTES)
        self._idle_scope = None
        if scope.cancelled_caught:
            if self._is_first and self._settings.answers_silent_connection:
                raise input_error(408, "timeout", "no request received in time")
            return False
        self._receive(data)
        return bool(data)

    def _idle_deadline_s(self) -> float:
        settings = self._settings
        if self._is_first:
            return self._idle_since_s + settings.header_timeout_s
        if not self._server.is_closing:
            return self._idle_since_s + settings.keep_alive_timeout_s
        # Callers do not use the connection after the announced keep-alive time; the linger time
        # covers a request that was sent just before its end.
        return self._idle_since_s + settings.keep_alive_header_s + settings.linger_s

    async def _read_request(self) -> HttpRequest | None:
        await self._take_turn()
        event = self._event_at_hand()
        if event is h11.NEED_DATA:
            with trio.move_on_after(self._settings.header_timeout_s) as scope:
                event = await self._next_event(HEAD_READ_BYTES)
            if scope.cancelled_caught:
                raise input_error(408, "timeout", "request header not received in time")
        if not isinstance(event, h11.Request):
            return None
        self._is_head_method = event.method == b"HEAD"
        limit_bytes = self._check_head(event)
        self._caller.head_bytes = size_of_head(event)
        self._caller.unparsed_bytes = len(self._http.trailing_data[0])
        self._count_input()
        body = await self._read_body(limit_bytes)
        self._caller.unparsed_bytes = len(self._http.trailing_data[0])
        self._caller.body_bytes = len(body)
        self._caller.count_always()
        self._caller.stop_waiting()
        return HttpRequest(
            method=event.method.decode("ascii"),
            path=event.target.decode("ascii"),
            headers=from_wire(list(event.headers)),
            body=body,
        )

    def _check_head(self, head: h11.Request) -> int:
        """Check the request's head and return the maximum size of its body in bytes."""
        if head.http_version != b"1.1":
            # An HTTP/1.0 caller cannot distinguish an aborted streamed answer from a complete one.
            raise input_error(505, "bad-request", "only HTTP/1.1 is supported")
        header_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if header_bytes + len(head.target) > self._settings.max_header_bytes:
            raise input_error(431, "too-large", "request header too large")
        limit_bytes = min(self._settings.max_body_bytes, self._run_head_check(head))
        for name, value in head.headers:
            if name == b"content-length" and int(value) > limit_bytes:
                raise input_error(413, "too-large", f"request body exceeds {limit_bytes} bytes")
        return limit_bytes

    def _run_head_check(self, head: h11.Request) -> int:
        if self._server.check_head is None:
            return self._settings.max_body_bytes
        checked = self._server.check_head(
            RequestHead(
                method=head.method.decode("ascii"),
                path=head.target.decode("ascii"),
                headers=from_wire(list(head.headers)),
            )
        )
        if isinstance(checked, HeadRefusal):
            raise InputError(checked, "request refused by the head check")
        return checked

    async def _read_body(self, limit_bytes: int) -> bytes:
        event = self._event_at_hand()
        if isinstance(event, h11.EndOfMessage):
            return b""
        body = bytearray()
        try:
            with trio.move_on_after(self._settings.body_timeout_s) as scope:
                await self._fill_body(body, event, limit_bytes)
        finally:
            self._release_reading()
        if scope.cancelled_caught:
            raise input_error(408, "timeout", "request body not received in time")
        return bytes(body)

    async def _fill_body(self, body: bytearray, event: object, limit_bytes: int) -> None:
        """Read a body to its end."""
        pieces = 0
        if event is h11.NEED_DATA:
            event = await self._next_event(READ_BYTES)
        while isinstance(event, h11.Data):
            body += event.data
            self._caller.body_bytes = BODY_COPIES * len(body)
            self._check_body(len(event.data), limit_bytes)
            pieces += 1
            if pieces % PIECES_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
            event = self._event_at_hand()
            if event is h11.NEED_DATA:
                # All that had arrived belongs to the body by now.
                self._caller.unparsed_bytes = 0
                event = await self._next_event(READ_BYTES)

    def _check_body(self, more_bytes: int, limit_bytes: int) -> None:
        self._reading_bytes += more_bytes
        self._server.reading_bytes += more_bytes
        if self._reading_bytes > limit_bytes:
            raise input_error(413, "too-large", f"request body exceeds {limit_bytes} bytes")
        if not self._server.has_reading_room(self._caller):
            raise _no_room()

    def _release_reading(self) -> None:
        self._server.reading_bytes -= self._reading_bytes
        self._reading_bytes = 0

    def _count_input(self) -> None:
        """Count what has been read; raises ``InputError`` if there is no room for it."""
        if not self._caller.count(trio.current_time()):
            raise _no_room()

    async def _next_event(self, max_bytes: int) -> object:
        """Return h11's next event, reading as needed."""
        while (event := self._event_at_hand()) is h11.NEED_DATA:
            if self._http.they_are_waiting_for_100_continue:
                go_ahead = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send_all(self._http.send(go_ahead) or b"")
            self._receive(await self._read(max_bytes))
        return event

    async def _read(self, max_bytes: int) -> bytes:
        data = await read_some(self._stream, max_bytes)
        self._has_caller_ended = not data
        return data

    def _receive(self, data: bytes) -> None:
        """Take more of a request that is awaited."""
        self._http.receive_data(data)
        self._caller.unparsed_bytes += len(data)
        self._caller.wait(Wait.INPUT, trio.current_time())
        self._count_input()

    async def _take_turn(self) -> None:
        """Wait until no more than a few other large heads are parsed in one pass of the loop."""
        if self._caller.unparsed_bytes > LARGE_HEAD_BYTES:
            async with self._server.large_heads:
                await trio.lowlevel.checkpoint()

    def _event_at_hand(self) -> object:
        """Return h11's next event, which is ``NEED_DATA`` when more has to be read."""
        try:
            return next_event(self._http)
        except h11.RemoteProtocolError as error:
            raise _input_error(error) from error

    async def _run_handler(self, request: HttpRequest, responder: Responder) -> None:
        async with trio.open_nursery() as nursery:
            responder.start_task = nursery.start_soon
            request.caller_gone.watch = lambda: nursery.start_soon(self._watch_caller, request)
            request.caller_gone.look = lambda: self._look_for_caller(request)
            try:
                await self._server.handler(request, responder)
            except Exception as error:
                log_event(Event.BAD_INPUT, reason="handler-failed", error=repr(error))
                await self._answer_failure(responder)
            finally:
                request.caller_gone.look = request.caller_gone.watch = None
                nursery.cancel_scope.cancel()

    async def _watch_caller(self, request: HttpRequest) -> None:
        """Read while the handler runs, to detect at once that the caller has disconnected."""
        while (room_bytes := self._ahead_room_bytes) and not request.caller_gone.is_noticed:
            try:
                data = await self._read(room_bytes)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            self._take_early(data, request)

    def _look_for_caller(self, request: HttpRequest) -> None:
        """Take what has arrived without waiting for the turn of the task that reads."""
        room_bytes = self._ahead_room_bytes
        if not room_bytes:
            return
        try:
            data = read_now(self._stream, room_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if data is not None:
            self._has_caller_ended = not data
            self._take_early(data, request)

    @property
    def _ahead_room_bytes(self) -> int:
        """How much may be read beyond the current request, in addition to what was."""
        return max(0, AHEAD_BYTES - self._caller.unparsed_bytes)

    def _take_early(self, data: bytes, request: HttpRequest) -> None:
        """Take the beginning of a pipelined request, served after the current one, or the end."""
        if not data:
            request.caller_gone.set()
            return
        self._http.receive_data(data)
        self._caller.unparsed_bytes += len(data)
        self._caller.is_read = self._ahead_room_bytes > 0
        self._caller.count_always()

    async def _answer_failure(self, responder: Responder) -> None:
        if responder.is_started:
            responder.abort()
            return
        # The handler may have dispatched the request before it failed.
        headers = (JSON_HEADER, (OUTCOME_HEADER, "may-have-run"))
        await responder.answer(
            500,
            headers,
            error_body("internal", "internal error while handling the request", "may-have-run"),
        )

    async def _answer_refused(self, refusal: HeadRefusal) -> None:
        data = self._refusal_bytes(refusal)
        self._caller.drop_request()
        self._caller.wait(Wait.INPUT, trio.current_time())
        with trio.move_on_after(self._settings.write_timeout_s):
            await self._stream.send_all(data)

    async def _leave(self) -> None:
        """End a connection that was given up; refuse a request that was being read."""
        is_asked = self._caller.unparsed_bytes or self._caller.head_bytes
        data = self._refusal_bytes(_no_room().refusal) if is_asked else b""
        # What was read is no longer held: the tasks that held it have ended.
        self._caller.close()
        if not data:
            # The kernel would keep an answer that is not taken beyond the close.
            self.reset_on_close()
            return
        write_now(self._stream, data)
        if self._server.connection_count <= self._settings.max_connections:
            await self._discard_input()

    def _refusal_bytes(self, refusal: HeadRefusal) -> bytes:
        """Return a refusal as it is sent; nothing if an answer has begun."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        length = ("content-length", str(len(refusal.body)))
        headers = (*headers_without_framing(refusal.headers), length, ("connection", "close"))
        head = h11.Response(status_code=refusal.status, headers=to_wire(headers))
        parts: list[h11.Event] = [head, h11.EndOfMessage()]
        if not self._is_head_method:
            parts.insert(1, h11.Data(data=refusal.body))
        return b"".join(self._http.send(part) or b"" for part in parts)

    async def _linger(self) -> None:
        """Half-close, then discard input for a while: a close with unread input sends a reset."""
        self._caller.drop_request()
        self._caller.wait(Wait.INPUT, trio.current_time())
        await self._discard_input()

    async def _discard_input(self) -> None:
        with trio.move_on_after(self._settings.linger_s):
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass


def _no_room() -> InputError:
    return input_error(503, "overloaded", "too many request bytes are being read")


def _input_error(error: h11.RemoteProtocolError) -> InputError:
    if error.error_status_hint == 431:
        return input_error(431, "too-large", "request header too large")
    return input_error(error.error_status_hint, "bad-request", f"invalid HTTP/1.1: {error}")
