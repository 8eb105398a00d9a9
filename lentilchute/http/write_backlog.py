"""The bytes of one answer that its caller has not taken yet.

A slow caller costs the memory for these bytes, but does not hold up whoever produces the answer, as
long as the backlog has room::

    backlog = WriteBacklog(stream, account, write_timeout_s)
    if not await backlog.put(data, nursery.start_soon): ...     # the caller is gone
    await backlog.drain()
"""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio

from .socket_io import write_now

MAX_BACKLOG_BYTES = 256 * 1024
"""A stream of tokens for some minutes; a caller that is further behind holds the upstream back."""

StartTask = Callable[[Callable[[], Awaitable[Any]]], None]


class CallerWait(Protocol):
    """Is told when a caller has bytes to take; times are of the process's clock."""

    def record_unread(self, now_s: float) -> None:
        """Record that bytes begin to wait, or that the caller took some and others wait."""
        ...

    def record_all_read(self) -> None:
        """Record that no bytes wait."""
        ...


class WriteAccount(CallerWait, Protocol):
    """Counts the bytes that are held for one caller."""

    def add(self, size: int, now_s: float) -> bool:
        """Count more bytes if there is room for them; return whether there was."""
        ...

    def add_always(self, size: int) -> None:
        """Count bytes that cannot be refused any more."""
        ...

    def remove(self, size: int) -> None:
        """Count bytes as written."""
        ...


class WriteBacklog:
    """Writes bytes as the caller takes them."""

    def __init__(
        self,
        stream: trio.abc.SendStream,
        account: WriteAccount,
        write_timeout_s: float,
        wait: CallerWait | None = None,
    ) -> None:
        self._stream = stream
        self._account = account
        self._waits: tuple[CallerWait, ...] = (account,) if wait is None else (account, wait)
        self._write_timeout_s = write_timeout_s
        self._pieces: deque[memoryview] = deque()
        self._unsent_bytes = 0
        self._counted_bytes = 0
        self._changed = trio.Event()
        self._is_running = False
        self._is_broken = False

    @property
    def is_empty(self) -> bool:
        """Whether the caller has taken everything."""
        return not self._pieces and not self._is_broken

    async def put(
        self, data: bytes | memoryview, start_task: StartTask, *, is_counted: bool = False
    ) -> bool:
        """Add bytes, and wait first while there is no room; return false if the caller is gone.

        ``is_counted`` says that the account holds them already, so that there is room.
        """
        assert len(data), "an empty piece would never be written"
        while not self._is_broken and not self._has_room(len(data), is_counted=is_counted):
            await self._changed.wait()
        if self._is_broken:
            return False
        if self.is_empty:
            self._record_unread()
        self._pieces.append(memoryview(data))
        self._unsent_bytes += len(data)
        if not self._is_running:
            self._is_running = True
            start_task(self._run)
        return True

    async def drain(self) -> bool:
        """Wait until the caller has taken everything; return false if it is gone."""
        while self._pieces and not self._is_broken:
            await self._changed.wait()
        return not self._is_broken

    def _has_room(self, size: int, *, is_counted: bool) -> bool:
        """Return whether a piece finds room, and count it then; an empty backlog takes any."""
        if not is_counted:
            is_full = self._unsent_bytes + size > MAX_BACKLOG_BYTES
            if is_full or not self._account.add(size, trio.current_time()):
                if self._pieces:
                    return False
                self._account.add_always(size)
        self._counted_bytes += size
        return True

    async def _run(self) -> None:
        try:
            while self._pieces:
                await self._write_first()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            self._is_broken = True
        finally:
            # Whoever still refers to the request must not keep what nobody will take.
            self._is_broken = self._is_broken or bool(self._pieces)
            self._pieces.clear()
            self._is_running = False
            for wait in self._waits:
                wait.record_all_read()
            self._release(self._counted_bytes)
            self._wake()

    async def _write_first(self) -> None:
        """Write what the caller takes of the first piece."""
        piece = self._pieces[0]
        with trio.fail_after(self._write_timeout_s):
            if isinstance(self._stream, trio.SocketStream):
                await trio.lowlevel.wait_writable(self._stream.socket.fileno())
                written = write_now(self._stream, piece)
            else:
                await self._stream.send_all(piece)
                written = len(piece)
        if not written:
            return
        self._pieces.popleft()
        if written < len(piece):
            self._pieces.appendleft(piece[written:])
        self._unsent_bytes -= written
        self._release(min(written, self._counted_bytes))
        if self._pieces:
            self._record_unread()
        self._wake()

    def _record_unread(self) -> None:
        for wait in self._waits:
            wait.record_unread(trio.current_time())

    def _release(self, size: int) -> None:
        self._counted_bytes -= size
        self._account.remove(size)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
