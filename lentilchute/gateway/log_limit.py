"""Bounds the log lines of bursts that repeat one cause; free of I/O.

The first lines of each second are written; the next one says how many were left out.
"""

from dataclasses import dataclass

MAX_LINES_PER_S = 50
"""Enough to see who is concerned; a burst of refusals has hundreds a second."""


@dataclass(slots=True)
class _Second:
    start_s: float
    lines: int = 0
    left_out: int = 0


class LogLimit:
    """Counts the lines of each cause."""

    def __init__(self) -> None:
        self._seconds: dict[str, _Second] = {}

    def take(self, cause: str, now_s: float) -> int | None:
        """Return how many lines were left out since the last one, or ``None`` to leave this out."""
        second = self._seconds.get(cause)
        if second is None or now_s - second.start_s >= 1.0:
            left_out = 0 if second is None else second.left_out
            self._seconds[cause] = _Second(now_s, lines=1)
            return left_out
        if second.lines >= MAX_LINES_PER_S:
            second.left_out += 1
            return None
        second.lines += 1
        return 0
