"""Runs a stand-in's server, with simulated crashes and restarts at the same address."""

import trio

from ..http.messages import join_address
from ..http.server import Handler, HttpServer, HttpServerSettings, open_listeners


class StandinHost:
    """Serves one handler at one address until cancelled."""

    def __init__(
        self, address: str, handler: Handler, settings: HttpServerSettings | None = None
    ) -> None:
        self.address = address
        self._handler = handler
        self._settings = settings or HttpServerSettings()
        self._crash = trio.Event()
        self._down_s = 0.0
        self._nursery: trio.Nursery | None = None

    @property
    def tasks(self) -> trio.Nursery:
        """Nursery of the stand-in's background tasks, cancelled by a crash."""
        assert self._nursery is not None, "the stand-in is not running"
        return self._nursery

    def crash(self, down_s: float) -> None:
        """Reset all connections, cancel all tasks and refuse connections for ``down_s``."""
        self._down_s = down_s
        self._crash.set()

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the task status receives the bound address."""
        listeners = await open_listeners(self.address)
        self.address = join_address(*listeners[0].socket.getsockname()[:2])
        server = HttpServer(self._settings, self._handler)
        is_started = False
        while True:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await nursery.start(server.serve, listeners)
                if not is_started:
                    is_started = True
                    task_status.started(self.address)
                await self._crash.wait()
                server.reset_connections()
                nursery.cancel_scope.cancel()
            for listener in listeners:
                await listener.aclose()
            await trio.sleep(self._down_s)
            self._crash = trio.Event()
            listeners = await open_listeners(self.address)
            server = HttpServer(self._settings, self._handler)
