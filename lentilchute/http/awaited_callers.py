"""The callers that a server's connections wait for, and which give way; free of I/O.

When there are too many connections, the one that has waited longest for its caller makes room::

    awaited.wait_for(connection, Wait.INPUT, now_s)     # again whenever the caller has moved
    awaited.forget(connection)                          # its request is being handled
    awaited.longest(now_s)
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from enum import Enum
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Wait(Enum):
    """What a connection waits for; the first give way first."""

    INPUT = "input"
    """A first request, or the rest of one; or that the caller takes a refusal."""
    IDLE = "idle"
    """The next request."""
    ANSWER = "answer"
    """That the caller takes more of an answer to a request that was run."""


DISPLACED_AFTER_S = {Wait.INPUT: 0.1, Wait.IDLE: 0.1, Wait.ANSWER: 1.0}
"""A connection that has waited for less does not give way: the first request of a new one follows
at once, and a caller takes what comes within a second, also after a lost packet."""
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

    def longest(self, now_s: float) -> ConnectionT | None:
        """Return the connection to give way first, if one has waited for long enough."""
        for wait, waiting in self._waiting.items():
            if waiting:
                connection, since_s = next(iter(waiting.items()))
                if now_s - since_s >= DISPLACED_AFTER_S[wait]:
                    return connection
        return None

    def stalled(self, now_s: float) -> Iterator[ConnectionT]:
        """Yield the connections whose input has stalled, the longest first."""
        for connection, since_s in self._waiting[Wait.INPUT].items():
            if now_s - since_s < STALLED_AFTER_S:
                return
            yield connection
