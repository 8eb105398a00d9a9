"""HTTP/1.1 server: h11 over trio streams.

``HttpServer`` reads one request at a time from each connection, within limits of size and time, and
passes it to a handler, together with a ``Responder`` that writes the answer. Invalid HTTP is
answered with a JSON error and never reaches the handler.
"""

import socket
from collections.abc import Callable, Sequence

import trio

from ..events import Event, log_event
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

RECEIVE_BUFFER_BYTES = 65_536
"""The kernel holds up to this much of the input of a connection that is not read."""
SEND_BUFFER_BYTES = 32_768
"""The kernel holds about this much of an answer that is not taken."""


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
        self.has_body_room: Callable[[], bool] = lambda: True
        """Asked after each piece of a body; when it returns false, the request is refused."""
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

    async def serve_stream(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection until it ends, then close it. Its errors are not raised."""
        connection = ServerConnection(self, stream)
        self._connections.add(connection)
        try:
            await connection.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            log_event(Event.BAD_INPUT, reason="connection-failed", error=type(error).__name__)
        finally:
            self._connections.discard(connection)
            await close_now(stream)


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
