"""A caller's disconnect, as the handler of its request sees it."""

from collections.abc import Callable

import trio


class CallerGone:
    """Set once the caller has disconnected; tasks can wait for it and callbacks run when it is set.

    A callback costs less than a task that waits. It runs at once if the caller has already gone.

    The task that reads the connection sets it, which a busy process may let wait for its turn. It
    starts when somebody wants to be told: most answers at once need no such task.
    ``check`` also looks for a disconnect that has not been read yet.
    """

    def __init__(self) -> None:
        self.look: Callable[[], None] | None = None
        """Reads what has arrived on the caller's connection."""
        self.watch: Callable[[], None] | None = None
        """Starts the task that reads the connection."""
        self._event = trio.Event()
        self._callbacks: list[Callable[[], None]] = []

    @property
    def is_noticed(self) -> bool:
        """Whether the disconnect has been noticed; does not make anybody look for it."""
        return self._event.is_set()

    def is_set(self) -> bool:
        """Return whether the caller has disconnected."""
        self._start_watch()
        return self._event.is_set()

    def check(self) -> bool:
        """Return whether the caller has disconnected by now, without waiting."""
        if self.look is not None and not self._event.is_set():
            self.look()
        return self._event.is_set()

    def set(self) -> None:
        """Record that the caller has disconnected."""
        if not self._event.is_set():
            self._event.set()
            for callback in self._callbacks:
                callback()

    async def wait(self) -> None:
        """Wait until the caller has disconnected."""
        self._start_watch()
        await self._event.wait()

    def call_when_set(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the caller disconnects."""
        self._start_watch()
        self._callbacks.append(callback)
        if self._event.is_set():
            callback()

    def forget_callbacks(self) -> None:
        """Drop the callbacks once the request has ended: they refer to it, and it to them, which
        would leave its memory to the cyclic collector."""
        self._callbacks.clear()

    def _start_watch(self) -> None:
        if self.watch is not None:
            start, self.watch = self.watch, None
            start()
