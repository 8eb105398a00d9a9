"""The near end of an exchange that a peer carries, with the interface of ``HttpExchange``."""

from collections import deque

import trio
from result import Err, Ok, Result

from ..http.client import HttpFault, HttpHead, PartRelay, PartResult
from .relay_messages import PathState, RelayEnd, RelayHead, RelayPart

MAX_PENDING_BYTES = 1_048_576
"""An answer that arrives so much faster than its caller reads it is given up."""
CARRY_TIME_S = 0.5
"""The peer keeps the time limits of a request; after this much more it counts as lost."""

RelayMessage = RelayHead | RelayPart | RelayEnd


class RelayedExchange:
    """One request that a peer carries, and its answer."""

    def __init__(self, head_timeout_s: float, read_timeout_s: float) -> None:
        self.is_reused = False
        self.ended_with_connection = False
        self.state = PathState.UNKNOWN
        """What the peer found of the upstream."""
        self.is_over = False
        """The peer has nothing more to send."""
        self._head_timeout_s = head_timeout_s
        self._read_timeout_s = read_timeout_s
        self._messages: deque[RelayMessage] = deque()
        self.pending_bytes = 0
        """Bytes of the answer that have arrived and wait for their turn."""
        self._arrived = trio.Event()
        self._parts = 0
        self._fault: HttpFault | None = None

    def receive(self, message: RelayMessage) -> None:
        """Take a message of the peer."""
        if isinstance(message, RelayPart):
            self.pending_bytes += len(message.data)
            if self.pending_bytes > MAX_PENDING_BYTES:
                self.fail(HttpFault.WRONG_ANSWER)
                return
        self.is_over = self.is_over or isinstance(message, RelayEnd)
        self._messages.append(message)
        self._arrived.set()

    def fail(self, fault: HttpFault) -> None:
        """End the exchange from this side, as when the peer is gone."""
        self._fault = self._fault or fault
        self._arrived.set()

    async def head(self) -> Result[HttpHead, HttpFault]:
        """Return the head of the answer; call it once."""
        message = await self._next(trio.current_time() + self._head_timeout_s + CARRY_TIME_S)
        if isinstance(message, Err):
            return message
        found = message.ok_value
        if isinstance(found, RelayHead):
            self.is_reused, self.state = found.is_reused, PathState.OPEN
            headers = tuple((header.name, header.value) for header in found.headers)
            return Ok(HttpHead(found.status, headers))
        if isinstance(found, RelayEnd):
            self.is_reused, self.state = found.is_reused, found.state
            return Err(_fault_of(found) or HttpFault.RESET)
        return Err(HttpFault.RESET)

    async def part(self) -> Result[bytes | None, HttpFault]:
        """Return the next piece of the body, or ``None`` at the regular end of the answer."""
        return await self._part(trio.current_time() + self._read_timeout_s)

    async def relay_parts(self, relay: PartRelay) -> Result[bool, HttpFault]:
        """Pass each piece of the body to ``relay``; see ``HttpExchange.relay_parts``."""
        deadline_s = trio.current_time() + self._read_timeout_s
        while True:
            part = await self._part(deadline_s)
            if isinstance(part, Err):
                return part
            if part.ok_value is None:
                return Ok(True)
            result = await relay(part.ok_value)
            if result is PartResult.STOP:
                return Ok(False)
            if result is PartResult.PROGRESS:
                deadline_s = trio.current_time() + self._read_timeout_s

    async def _part(self, deadline_s: float) -> Result[bytes | None, HttpFault]:
        message = await self._next(deadline_s)
        if isinstance(message, Err):
            return message
        found = message.ok_value
        if isinstance(found, RelayPart) and found.index == self._parts:
            self._parts += 1
            self.pending_bytes -= len(found.data)
            return Ok(found.data)
        if not isinstance(found, RelayEnd) or found.parts != self._parts:
            # A message was lost with its link.
            return Err(HttpFault.RESET)
        self.ended_with_connection = found.ended_with_connection
        fault = _fault_of(found)
        return Ok(None) if fault is None else Err(fault)

    async def _next(self, deadline_s: float) -> Result[RelayMessage, HttpFault]:
        with trio.CancelScope(deadline=deadline_s):
            while not self._messages and self._fault is None:
                self._arrived = trio.Event()
                await self._arrived.wait()
        if self._fault is not None:
            return Err(self._fault)
        return Ok(self._messages.popleft()) if self._messages else Err(HttpFault.TIMED_OUT)


def _fault_of(end: RelayEnd) -> HttpFault | None:
    return HttpFault(end.fault) if end.fault else None
