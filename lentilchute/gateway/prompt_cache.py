"""Estimates which beginnings of prompts an upstream still holds in memory; free of I/O.

A prompt consists of parts, and an upstream need not read a part again while it holds that part and
all parts before it. What it holds is not asked for but learned from what was sent there: the parts
of a request are held from its placement on, and the least recently used ones yield when memory runs
out. An estimate that is wrong costs one reading and is corrected by the next request::

    cache.record_placed(parts, now_s)
    cache.held_tokens(parts)        # all of them; fewer once others needed the memory
"""

from collections import OrderedDict
from collections.abc import Sequence

from ..ids import PromptPartId
from ..platform.headers import PromptPart

MAX_PARTS = 20_000
"""Bounds the index of one upstream; the least recently used parts are forgotten first."""


class PromptCache:
    """The prompt parts that one incarnation of an upstream is expected to hold."""

    def __init__(self, capacity_tokens: int = 0) -> None:
        self.capacity_tokens = capacity_tokens
        """Tokens that the upstream keeps in memory; 0 if it keeps nothing."""
        self._tokens: OrderedDict[PromptPartId, int] = OrderedDict()
        """Tokens of each part, least recently used first."""
        self._unread: set[PromptPartId] = set()
        """Parts that no request has been seen to have read yet."""
        self._held_tokens = 0

    def held_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens at the beginning of a prompt need not be read."""
        held = 0
        for part in parts:
            if part.part not in self._tokens:
                break
            held += part.tokens
        return held

    def record_placed(self, parts: Sequence[PromptPart], running_tokens: int) -> None:
        """Record that a request is sent to the upstream.

        ``running_tokens`` is the memory that requests in flight take, which no part can have.
        """
        if not self.capacity_tokens:
            return
        # A part is of no use without those before it, so it yields before them.
        for part in reversed(parts):
            if part.part not in self._tokens:
                self._unread.add(part.part)
            self._held_tokens += part.tokens - self._tokens.pop(part.part, 0)
            self._tokens[part.part] = part.tokens
        self.make_room(running_tokens)

    def record_read(self, parts: Sequence[PromptPart]) -> None:
        """Record that the upstream has read a prompt: its answer has begun."""
        self._unread.difference_update(part.part for part in parts)

    def record_not_read(self, parts: Sequence[PromptPart]) -> None:
        """Record that a request ended before its answer began; what only it had is not held."""
        for part in parts:
            if part.part in self._unread:
                self._forget(part.part)

    def make_room(self, running_tokens: int) -> None:
        """Forget the least recently used parts that no longer fit beside the requests in
        flight."""
        room_tokens = max(0, self.capacity_tokens - running_tokens)
        while self._tokens and (self._held_tokens > room_tokens or len(self._tokens) > MAX_PARTS):
            self._forget(next(iter(self._tokens)))

    def _forget(self, part: PromptPartId) -> None:
        self._held_tokens -= self._tokens.pop(part, 0)
        self._unread.discard(part)
