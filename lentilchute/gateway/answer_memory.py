"""Memory for answers that are buffered whole before they are relayed."""

from collections.abc import Iterator
from contextlib import contextmanager

MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
"""Bounds all answers together to a fraction of the smallest instance's memory."""
SMALL_ANSWER_BYTES = 64 * 1024
"""An answer up to this size is buffered in any case: upstreams that send bytes without end must not
cost the answers of others."""


class AnswerMemory:
    """Counts the bytes of all answers that a node buffers::

    with memory.buffer() as buffer:
        if not buffer.add(part): ...    # the answer is too large
    """

    def __init__(self) -> None:
        self.held_bytes = 0

    @contextmanager
    def buffer(self) -> Iterator["AnswerBuffer"]:
        """Yield the buffer of one answer, whose memory counts until the block ends."""
        buffer = AnswerBuffer(self)
        try:
            yield buffer
        finally:
            self.held_bytes -= len(buffer.data)


class AnswerBuffer:
    """The bytes of one answer so far."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.data = bytearray()
        self._memory = memory

    def add(self, part: bytes) -> bool:
        """Add a part if there is room for it; return whether there was."""
        size = len(self.data) + len(part)
        has_room = self._memory.held_bytes + len(part) <= MAX_BUFFERED_BYTES
        if size > MAX_ANSWER_BYTES or not (has_room or size <= SMALL_ANSWER_BYTES):
            return False
        self.data += part
        self._memory.held_bytes += len(part)
        return True
