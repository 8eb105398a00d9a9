"""HTTP/1.1 server: h11 over trio streams.

``HttpServer`` reads one request at a time from each connection, within limits of size and time, and
passes it to a handler, together with a ``Responder`` that writes the answer. Invalid HTTP is
answered with a JSON error and never reaches the handler.
"""

import socket
from collections.abc import Sequence

import trio

from ..events import Event, log_event
from ..util.log_limit import LogLineLimiter
from .awaited_callers import AwaitedCallers
from .caller_account import (
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    CallerAccount,
    OpenAccount,
)
from .connection import ServerConnection
from .messages import enable_tcp_keepalive, split_address
from .requests import Handler, HeadCheck, HeadRefusal, HttpRequest, HttpServerSettings, RequestHead
from .responder import Responder
from .socket_io import close_now

__all__ = [
    "Handler",
    "HeadCheck",
    "HeadRefusal",
    "HttpRequest",
    "HttpServer",
    "HttpServerSettings",
    "RequestHead",
    "Responder",
    "open_listeners",
]


LARGE_HEADS_AT_ONCE = 4
"""Parsed in one pass of the loop, so that other connections are not held up for long."""
REFUSED_SHARE = 16
"""Connections beyond the limit are told so, up to this part of the limit at once."""


class HttpServer:
    """Serves HTTP connections with one handler.

    ``check_head`` is called before a request's body is read; it may refuse the request or lower the
    size limit of its body.
    """

    def __init__(
        self,
        settings: HttpServerSettings,
        handler: Handler,
        check_head: HeadCheck | None = None,
    ) -> None:
        self.settings = settings
        self.handler = handler
        self.check_head = check_head
        self.is_closing = False
        self.reading_bytes = 0
        self.awaited: AwaitedCallers[CallerAccount] = AwaitedCallers()
        self.open_account: OpenAccount | None = None
        """Returns what counts a new connection, or ``None`` if there is no memory for it. Unless
        it is set, nothing but the settings bounds what connections hold."""
        self.line_limiter = LogLineLimiter()
        self.large_heads = trio.Semaphore(LARGE_HEADS_AT_ONCE)
        """Held while a large head takes its turn."""
        self.refused_connections = 0
        self.displaced_connections = 0
        """Connections that were closed, as others needed their place."""
        self._connections: set[ServerConnection] = set()
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
        """Accept connections until ``stop_accepting``, and return when the last one has closed."""
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                task_status.started()
                await trio.serve_listeners(
                    self.serve_stream, list(listeners), handler_nursery=nursery
                )
            for listener in listeners:
                await listener.aclose()

    def begin_close(self) -> None:
        """Begin to drain: requests that still arrive are served, and connections close when idle.

        Each answer from now on has ``Connection: close``. An idle connection is closed once it
        has been idle for longer than the keep-alive time announced to its caller.
        """
        self.is_closing = True
        for connection in self._connections:
            connection.shorten_idle_timeout()

    def stop_accepting(self) -> None:
        """Close the listening sockets; open connections stay open."""
        self._accept_scope.cancel()

    def reset_connections(self) -> None:
        """Make every open connection send a reset when it is closed, as after a crash."""
        for connection in self._connections:
            connection.reset_on_close()

    def has_reading_room(self, caller: CallerAccount) -> bool:
        """Return whether the bodies that are being read are within their bound; stalled ones give
        way to that of ``caller``."""
        limit_bytes = self.settings.max_reading_bytes
        if self.reading_bytes <= limit_bytes:
            return True
        for stalled in list(self.awaited.stalled(trio.current_time())):
            if stalled is not caller and stalled.body_bytes:
                stalled.give_up()
            if self.reading_bytes <= limit_bytes:
                return True
        return False

    async def serve_stream(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection until it ends, then close it. Its errors are not raised."""
        if len(self._connections) >= self._most_connections and not self._displace():
            # Even a refusal would need a descriptor for longer.
            self.refused_connections += 1
            await close_now(stream)
            return
        connection = ServerConnection(self, stream)
        self._connections.add(connection)
        try:
            await self._run(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            log_event(Event.BAD_INPUT, reason="connection-failed", error=type(error).__name__)
        finally:
            self._connections.discard(connection)
            await close_now(stream)

    @property
    def _most_connections(self) -> int:
        """Number of connections, with those that are being refused."""
        limit = self.settings.max_connections
        return limit + max(1, limit // REFUSED_SHARE)

    async def _run(self, connection: ServerConnection) -> None:
        """Serve a connection, or turn it away if neither places nor memory are left for it."""
        refusal = ""
        if not connection.has_memory:
            refusal = "no memory for more connections"
        elif len(self._connections) > self.settings.max_connections and not self._displace():
            refusal = "too many connections"
        if refusal:
            self.refused_connections += 1
        await connection.run(refusal)

    def _displace(self) -> bool:
        """Close the connection that has waited longest for its caller; return whether one has."""
        longest = self.awaited.longest(trio.current_time())
        if longest is None:
            return False
        self.awaited.forget(longest)
        self.displaced_connections += 1
        longest.give_up()
        return True


async def open_listeners(
    address: str, *, has_bounded_buffers: bool = False
) -> list[trio.SocketListener]:
    """Bind ``address`` (``host:port``; port 0 selects a free port) and return its listeners.

    ``has_bounded_buffers`` keeps the kernel from growing the buffers of connections that transfer
    much, which it would then fill when their callers stop reading, or are not read.
    """
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    for listener in listeners:
        enable_tcp_keepalive(listener.socket)
        if has_bounded_buffers:
            # Connections that a listening socket accepts inherit this from it.
            level = socket.SOL_SOCKET
            listener.socket.setsockopt(level, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            listener.socket.setsockopt(level, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return listeners
