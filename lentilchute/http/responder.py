"""Writes the answer to an HTTP request: at once, streamed, or aborted visibly."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

import h11
import trio

from .caller_account import AnswerWait, CallerAccount
from .caller_gone import CallerGone
from .chunks import framed
from .messages import HOP_BY_HOP_HEADERS, Headers, to_wire, without_headers
from .socket_io import write_now
from .write_backlog import StartTask, WriteAccount, WriteBacklog

LARGE_BODY_BYTES = 65_536
"""A larger body is written part by part, without a copy that joins it to its head."""
_FRAMING_HEADERS = HOP_BY_HOP_HEADERS | {"content-length"}


class WriteSettings(Protocol):
    """The server settings that a responder uses."""

    @property
    def write_timeout_s(self) -> float: ...

    @property
    def keep_alive_header_s(self) -> int: ...


class Responder:
    """Writes the answer to one request.

    Call ``answer`` once, or ``start``, ``send`` as often as needed, then ``end``. Each returns
    false when the caller has disconnected. A streamed answer uses chunked encoding; ``abort``
    omits the last chunk, so that the caller detects the truncation. A handler that returns without
    ``end`` aborts its answer as well.

    With an ``account``, what a slow caller does not take yet of a stream waits in a bounded
    backlog, and ``send`` returns. ``answer`` and ``end`` wait until the caller has taken it all.
    """

    def __init__(
        self,
        http: h11.Connection,
        stream: trio.abc.SendStream,
        settings: WriteSettings,
        closes_after: Callable[[], bool],
        method: str,
        caller_gone: CallerGone,
    ) -> None:
        self._method = method
        self._http = http
        self._stream = stream
        self._settings = settings
        self._closes_after = closes_after
        self._caller_gone = caller_gone
        self._is_aborted = False
        self._has_body = True
        self._is_chunked = False
        self.is_started = False
        self.account: WriteAccount | None = None
        """Counts what waits for the caller of an admitted request; ``None`` for no backlog."""
        self.caller: CallerAccount | None = None
        """Counts what waits for the caller of any other request."""
        self.start_task: StartTask | None = None
        """Starts a task that ends with the request."""
        self._backlog: WriteBacklog | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the answer was written completely."""
        is_written = self._backlog is None or self._backlog.is_empty
        is_ended = self._http.our_state in (h11.DONE, h11.MUST_CLOSE)
        return not self._is_aborted and is_ended and is_written

    async def answer(self, status: int, headers: Headers, body: bytes) -> bool:
        """Write a complete answer."""
        length = ("content-length", str(len(body)))
        events = [self._head(status, (*headers_without_framing(headers), length))]
        if self._has_body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return await self._write(*events) and await self._drain()

    async def answer_parts(self, status: int, headers: Headers, parts: deque[bytes]) -> bool:
        """Write a complete answer whose parts the account holds; ``parts`` is emptied.

        The account gets back what the caller has taken of them.
        """
        size = sum(len(part) for part in parts)
        if size <= LARGE_BODY_BYTES:
            return await self.answer(status, headers, _take_all(parts))
        length = ("content-length", str(size))
        if not await self._write(self._head(status, (*headers_without_framing(headers), length))):
            return False
        while parts and self._has_body:
            if not await self._write(h11.Data(data=parts.popleft()), is_counted=True):
                return False
        return await self._write(h11.EndOfMessage()) and await self._drain()

    async def start(self, status: int, headers: Headers, data: bytes = b"") -> bool:
        """Write the head of a streamed answer, together with ``data`` if not empty."""
        events = [self._head(status, headers_without_framing(headers))]
        # The server accepts HTTP/1.1 only, and no header states the length.
        self._is_chunked = self._has_body
        if data and self._has_body:
            events.append(h11.Data(data=data))
        return await self._write(*events)

    async def send(self, data: bytes) -> bool:
        """Write a part of a streamed answer."""
        if not self._has_body or not data:
            return not self._caller_gone.is_noticed
        if self._is_chunked and self._http.our_state is h11.SEND_BODY:
            return await self._write_bytes(framed(data))
        return await self._write(h11.Data(data=data))

    async def end(self) -> bool:
        """Write the end of a streamed answer."""
        return await self._write(h11.EndOfMessage()) and await self._drain()

    def abort(self) -> None:
        """End the answer without its last chunk; the connection closes when the handler returns."""
        self._is_aborted = True

    def _head(self, status: int, headers: Headers) -> h11.Event:
        self.is_started = True
        self._has_body = status not in (204, 304) and self._method != "HEAD"
        timeout_s = self._settings.keep_alive_header_s
        if self._closes_after() or timeout_s == 0:
            headers += (("connection", "close"),)
        else:
            headers += (("connection", "keep-alive"), ("keep-alive", f"timeout={timeout_s}"))
        return h11.Response(status_code=status, headers=to_wire(headers))

    async def _write(self, *events: h11.Event, is_counted: bool = False) -> bool:
        if self._is_aborted or self._caller_gone.is_noticed:
            return False
        pieces = [piece for event in events if (piece := self._http.send(event))]
        if not pieces:
            # The end of an answer of known length has no bytes.
            return True
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        return await self._write_bytes(data, is_counted=is_counted)

    async def _write_bytes(self, data: bytes, *, is_counted: bool = False) -> bool:
        if self._is_aborted or self._caller_gone.is_noticed:
            return False
        if self._backlog is not None and not self._backlog.is_empty:
            return await self._put(data, is_counted=is_counted)
        try:
            written = write_now(self._stream, data)
            if is_counted and self.account is not None:
                self.account.remove(written)
            if written == len(data):
                return True
            rest = memoryview(data)[written:]
            if self._answer_account is not None and self.start_task is not None:
                return await self._put(rest, is_counted=is_counted)
            with trio.move_on_after(self._settings.write_timeout_s) as scope:
                await self._stream.send_all(rest)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return self._mark_caller_gone()
        return self._mark_caller_gone() if scope.cancelled_caught else True

    async def _put(self, data: bytes | memoryview, *, is_counted: bool) -> bool:
        """Leave bytes to the backlog."""
        assert self._answer_account is not None and self.start_task is not None
        if self._backlog is None:
            timeout_s = self._settings.write_timeout_s
            wait = None
            if self.caller is not None and self.account is not None:
                wait = AnswerWait(self.caller)
            self._backlog = WriteBacklog(self._stream, self._answer_account, timeout_s, wait)
        if await self._backlog.put(data, self.start_task, is_counted=is_counted):
            return True
        return self._mark_caller_gone()

    @property
    def _answer_account(self) -> WriteAccount | None:
        return self.caller if self.account is None else self.account

    async def _drain(self) -> bool:
        if self._backlog is None or self._backlog.is_empty or await self._backlog.drain():
            return True
        return self._mark_caller_gone()

    def _mark_caller_gone(self) -> bool:
        self._is_aborted = True
        self._caller_gone.set()
        return False


def _take_all(parts: deque[bytes]) -> bytes:
    body = b"".join(parts)
    parts.clear()
    return body


def headers_without_framing(headers: Headers) -> Headers:
    """Return headers without hop-by-hop headers and ``content-length``."""
    return without_headers(headers, _FRAMING_HEADERS)
