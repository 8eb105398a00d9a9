"""The limit that an upstream names on the requests a second that it takes; free of I/O."""

import math

NO_LIMIT = math.inf
"""Stands for the word of an upstream that it has no limit any more."""


class UpstreamLimit:
    """What one incarnation of an upstream said last of its limit."""

    def __init__(self) -> None:
        self.per_s: float | None = None
        """Requests a second from all nodes together; ``None`` without a limit."""
        self._named_s = math.inf

    def record(self, per_s: float, now_s: float) -> None:
        """Record what the upstream says, ``NO_LIMIT`` included."""
        if per_s == NO_LIMIT:
            self.per_s, self._named_s = None, math.inf
        else:
            self.per_s = per_s
            self._named_s = min(self._named_s, now_s)

    def was_named_before(self, at_s: float) -> bool:
        """Return whether a request sent at a time was sent under the limit, so that its answer
        says whether the limit still holds."""
        return self._named_s < at_s
