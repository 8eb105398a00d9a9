"""What one connection holds for its caller, and whether it waits for the caller to move.

A connection holds the input that it has read, answers that its caller has not taken, and what the
kernel keeps for it meanwhile. The server's owner bounds the sum over all connections, as far as it
passes accounts to the server.
"""

from collections.abc import Callable
from typing import Protocol

import h11

from .awaited_callers import AwaitedCallers, Wait
from .write_backlog import CallerWait, WriteAccount

AHEAD_BYTES = 16_384
"""Most bytes that are read beyond the request that is handled."""
FIELD_BYTES = 400
"""What a field of a head takes beside its characters: two texts, and a parsed pair of them."""
BODY_COPIES = 2
"""A body is copied when it is complete."""
RECEIVE_BUFFER_BYTES = 32_768
"""Asked of the kernel for the input of a connection."""
SEND_BUFFER_BYTES = 16_384
"""Asked of the kernel for the answers on a connection."""
KERNEL_FACTOR = 2
"""The kernel takes this many times what it is asked for (``man 7 socket``)."""


class InputAccount(WriteAccount, Protocol):
    """Counts the bytes that are held for one connection, beside those of its admitted requests."""

    def is_short(self) -> bool:
        """Return whether memory is short, so that nothing should be held without need."""
        ...

    def close(self) -> None:
        """Give everything back."""
        ...


OpenAccount = Callable[[Callable[[], None]], InputAccount | None]
"""Takes what gives a connection up, and returns its account, or ``None`` without memory for it."""


class CallerAccount:
    """A ``WriteAccount`` for the answers of one connection, which counts its input as well.

    Set the sizes, then ``count`` them. Without an ``InputAccount`` nothing is bounded here.
    """

    def __init__(
        self,
        account: InputAccount | None,
        awaited: "AwaitedCallers[CallerAccount]",
        give_up: Callable[[], None],
    ) -> None:
        self.give_up = give_up
        """Ends the connection, at once or soon."""
        self.unparsed_bytes = 0
        self.head_bytes = 0
        self.body_bytes = 0
        """That are held, in all copies."""
        self.is_read = True
        """Whether input is read on; what arrives waits in the kernel otherwise."""
        self._has_unread_answer = False
        self._account = account
        self.awaited = awaited
        self._counted_bytes = 0

    @property
    def is_bounded(self) -> bool:
        """Whether somebody bounds what connections hold."""
        return self._account is not None

    def count(self, now_s: float) -> bool:
        """Count what is held now; return whether there is room for it."""
        more = self._held_bytes() - self._counted_bytes
        if more > 0 and self._account is not None and not self._account.add(more, now_s):
            return False
        if more < 0:
            self.remove(-more)
        self._counted_bytes += more
        return True

    def count_always(self) -> None:
        """Count what is held now, which cannot be refused any more."""
        more = self._held_bytes() - self._counted_bytes
        self.add_always(more)
        self._counted_bytes += more

    def drop_request(self) -> None:
        """Count nothing more for the last request."""
        self.head_bytes = self.body_bytes = 0
        self.count_always()

    def wait(self, wait: Wait, now_s: float) -> None:
        """Record that the connection begins to wait for its caller, or that this one has moved."""
        self.awaited.wait_for(self, wait, now_s)
        if self._account is not None and wait is not Wait.IDLE:
            self._account.record_unread(now_s)

    def stop_waiting(self) -> None:
        """Record that the connection does not wait for its caller."""
        self.awaited.forget(self)
        if self._account is not None:
            self._account.record_all_read()

    def must_close(self) -> bool:
        """Return whether the connection should end with its present answer: its caller has sent
        more meanwhile, and memory is short."""
        is_ahead = self.unparsed_bytes > 0 or not self.is_read
        return is_ahead and self._account is not None and self._account.is_short()

    def close(self) -> None:
        """Give everything back, and drop what refers to the connection, which would leave its
        memory to the cyclic collector."""
        self.stop_waiting()
        if self._account is not None:
            self._account.close()
            self._account = None
        self.give_up = _do_nothing

    # What follows counts and reports answers to requests that were not admitted.

    def add(self, size: int, now_s: float) -> bool:
        return self._account is None or self._account.add(size, now_s)

    def add_always(self, size: int) -> None:
        if self._account is not None:
            self._account.add_always(size)

    def remove(self, size: int) -> None:
        if self._account is not None:
            self._account.remove(size)

    def record_unread(self, now_s: float) -> None:
        if not self._has_unread_answer:
            self._has_unread_answer = True
            self.count_always()
        self.wait(Wait.INPUT, now_s)

    def record_all_read(self) -> None:
        self._has_unread_answer = False
        self.count_always()
        self.stop_waiting()

    def _held_bytes(self) -> int:
        unread = 0 if self.is_read else RECEIVE_BUFFER_BYTES
        unread += SEND_BUFFER_BYTES if self._has_unread_answer else 0
        read = self.unparsed_bytes + self.head_bytes + self.body_bytes
        return read + KERNEL_FACTOR * unread


class AnswerWait(CallerWait):
    """The wait for the caller of an admitted request, whose own account counts the bytes."""

    def __init__(self, caller: CallerAccount) -> None:
        self._caller = caller

    def record_unread(self, now_s: float) -> None:
        self._caller.awaited.wait_for(self._caller, Wait.ANSWER, now_s)

    def record_all_read(self) -> None:
        self._caller.awaited.forget(self._caller)


def _do_nothing() -> None:
    """Stand in for the end of a connection that has ended."""


def size_of_head(head: h11.Request) -> int:
    """Return about how much memory a request's head takes, in bytes."""
    return len(head.target) + sum(
        FIELD_BYTES + len(name) + len(value) for name, value in head.headers
    )
