"""Memory for answers that are buffered whole before they are relayed."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from contextlib import contextmanager

from .held_memory import Holder

MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
"""Bounds all answers together to a fraction of the smallest instance's memory."""
SMALL_ANSWER_BYTES = 64 * 1024
"""An answer up to this size is buffered in any case: upstreams that send bytes without end must not
cost the answers of others."""


SIZE_WEIGHT = 1 / 8
"""Weight of the latest answer in the size that is expected of the next one."""
JOINED_BYTES = 4_096
"""Smaller parts are joined: each alone would take several times its size."""
MAX_PATHS = 1_000
MAX_PATH_CHARACTERS = 256
"""Paths whose answers' sizes are remembered; others, and longer ones, go by their route."""


class AnswerMemory:
    """Counts the bytes of all answers that a node buffers::

    with memory.buffer() as buffer:
        if not buffer.add(part): ...    # the answer is too large
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self._by_route: dict[str, float] = {}
        self._by_path: OrderedDict[str, float] = OrderedDict()

    def expected_bytes(self, route: str, path: str) -> int:
        """Return the size that is expected of an answer, 0 if it is small."""
        expected = self._by_path.get(path, self._by_route.get(route, 0.0))
        return int(expected) if expected > SMALL_ANSWER_BYTES else 0

    def record_size(self, route: str, path: str, size: int) -> None:
        """Record the size of an answer, whether it could be read or not.

        A size that no answer may have is left out: room for it is never found, and without requests
        that are let in no smaller one would follow it.
        """
        if size > MAX_ANSWER_BYTES:
            return
        _move(self._by_route, route, size)
        if len(path) > MAX_PATH_CHARACTERS:
            return
        _move(self._by_path, path, size)
        self._by_path.move_to_end(path)
        if len(self._by_path) > MAX_PATHS:
            self._by_path.popitem(last=False)

    @contextmanager
    def buffer(self, holder: Holder | None = None) -> Iterator["AnswerBuffer"]:
        """Yield the buffer of one answer, whose memory counts until the block ends, also as its
        request's."""
        buffer = AnswerBuffer(self, holder)
        try:
            yield buffer
        finally:
            self.held_bytes -= buffer.size
            buffer.clear()
            if holder is not None and not buffer.is_taken:
                holder.remove(buffer.size)


def _move(expected: dict[str, float], key: str, size: int) -> None:
    before = expected.setdefault(key, float(size))
    expected[key] = before + SIZE_WEIGHT * (size - before)


class AnswerBuffer:
    """The bytes of one answer so far."""

    def __init__(self, memory: AnswerMemory, holder: Holder | None) -> None:
        self.size = 0
        """Bytes that are counted."""
        self.is_taken = False
        """Whether the answer was handed on, and what it counts with it."""
        self.lacks_memory = False
        """Whether the node has no memory for the answer, which may be as it should."""
        self._parts: deque[bytes] = deque()
        self._small_parts = bytearray()
        """The latest parts, as long as they are small."""
        self._filled = 0
        self._memory = memory
        self._holder = holder

    def reserve(self, size: int, now_s: float) -> bool:
        """Count an answer of known size before it is read; return whether there is room for it.

        Without a limit on the node's memory, and for small or too large answers, this does nothing.
        """
        if self._holder is None or not SMALL_ANSWER_BYTES < size <= MAX_ANSWER_BYTES:
            return True
        if self._holder.is_bounded:
            self.lacks_memory = not self._holder.add(size, now_s)
            if not self.lacks_memory:
                self._count(size)
        return not self.lacks_memory

    def add(self, part: bytes, now_s: float = 0.0) -> bool:
        """Add a part if there is room for it; return whether there was."""
        filled = self._filled + len(part)
        more = filled - self.size
        if more > 0:
            if filled > MAX_ANSWER_BYTES or not self._has_room(more, filled, now_s):
                return False
            self._count(more)
        self._filled = filled
        if len(part) >= JOINED_BYTES:
            self._join_small_parts()
            self._parts.append(part)
            return True
        self._small_parts += part
        if len(self._small_parts) >= JOINED_BYTES:
            self._join_small_parts()
        return True

    def take(self) -> deque[bytes]:
        """Return the answer's parts; whoever writes them gives back what they count."""
        self.is_taken = True
        self._join_small_parts()
        return self._parts

    def clear(self) -> None:
        """Drop what has not been written, whoever still refers to it."""
        self._parts.clear()
        self._small_parts.clear()

    def _join_small_parts(self) -> None:
        if self._small_parts:
            self._parts.append(bytes(self._small_parts))
            self._small_parts.clear()

    def _count(self, size: int) -> None:
        self.size += size
        self._memory.held_bytes += size

    def _has_room(self, more: int, filled: int, now_s: float) -> bool:
        is_small = filled <= SMALL_ANSWER_BYTES
        if self._holder is None or not self._holder.is_bounded:
            if self._memory.held_bytes + more > MAX_BUFFERED_BYTES and not is_small:
                return False
            if self._holder is not None:
                self._holder.add_always(more)
            return True
        if self._holder.add(more, now_s):
            return True
        self.lacks_memory = not is_small
        if is_small:
            self._holder.add_always(more)
        return is_small
