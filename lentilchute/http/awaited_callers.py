"""The callers that a server's connections wait for, and which give way; free of I/O.

Bodies that come on need the room of those that have stalled::

    awaited.wait_for(connection, Wait.INPUT, now_s)     # again whenever the caller has moved
    awaited.forget(connection)                          # its request is being handled
    awaited.stalled(now_s)
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from enum import Enum
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Wait(Enum):
    """What a connection waits for."""

    INPUT = "input"
    """A first request, or the rest of one; or that the caller takes a refusal."""
    IDLE = "idle"
    """The next request."""
    ANSWER = "answer"
    """That the caller takes more of an answer to a request that was run."""


STALLED_AFTER_S = 1.0
"""A body whose next bytes are lost on the way comes on sooner."""


class AwaitedCallers(Generic[ConnectionT]):
    """Connections that wait for their callers, and since when."""

    def __init__(self) -> None:
        # Each is ordered by time, as a connection whose caller moves goes to the end.
        self._waiting: dict[Wait, OrderedDict[ConnectionT, float]] = {
            wait: OrderedDict() for wait in Wait
        }

    def wait_for(self, connection: ConnectionT, wait: Wait, now_s: float) -> None:
        """Record that a connection begins to wait for its caller, or that the caller has moved."""
        self.forget(connection)
        self._waiting[wait][connection] = now_s

    def forget(self, connection: ConnectionT) -> None:
        """Record that a connection waits for its caller no longer."""
        for waiting in self._waiting.values():
            waiting.pop(connection, None)

    def stalled(self, now_s: float) -> Iterator[ConnectionT]:
        """Yield the connections whose input has stalled, the longest first."""
        for connection, since_s in self._waiting[Wait.INPUT].items():
            if now_s - since_s < STALLED_AFTER_S:
                return
            yield connection
