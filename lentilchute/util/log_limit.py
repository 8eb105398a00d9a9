"""Rate limit for log lines with the same cause; free of I/O.

The first lines of each second are written; the first line of the next one carries the number of
lines that were suppressed.
"""

from dataclasses import dataclass

MAX_LINES_PER_S = 50
"""Enough to show which requests are affected; a burst of refusals has hundreds a second."""


@dataclass(slots=True)
class _LineWindow:
    start_s: float
    lines: int = 0
    suppressed: int = 0


class LogLineLimiter:
    """Counts the log lines of each cause."""

    def __init__(self) -> None:
        self._windows: dict[str, _LineWindow] = {}

    def acquire(self, cause: str, now_s: float) -> int | None:
        """Return how many lines were suppressed before this one; ``None`` suppresses this one."""
        window = self._windows.get(cause)
        if window is None or now_s - window.start_s >= 1.0:
            suppressed = 0 if window is None else window.suppressed
            self._windows[cause] = _LineWindow(now_s, lines=1)
            return suppressed
        if window.lines >= MAX_LINES_PER_S:
            window.suppressed += 1
            return None
        window.lines += 1
        return 0
