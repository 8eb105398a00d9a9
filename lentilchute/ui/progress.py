"""A progress line on standard error for long operations."""

import sys
import time
from collections.abc import Callable
from typing import TextIO

NON_TERMINAL_INTERVAL_S = 2.0
"""Minimum interval between lines where the stream is a file or a pipe."""


class Progress:
    """Rewrites one line on a terminal; elsewhere prints lines at a limited rate."""

    def __init__(
        self, stream: TextIO | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._stream = stream or sys.stderr
        self._clock = clock
        self._is_terminal = self._stream.isatty()
        self._width = 0
        self._last_print_s: float | None = None
        self._last_text = ""

    def update(self, text: str) -> None:
        """Show the current state of the operation."""
        if text == self._last_text:
            return
        if self._is_terminal:
            self._last_text = text
            self._stream.write("\r" + text.ljust(self._width))
            self._width = len(text)
            self._stream.flush()
            return
        now_s = self._clock()
        if self._last_print_s is None or now_s - self._last_print_s >= NON_TERMINAL_INTERVAL_S:
            self._last_text = text
            self._last_print_s = now_s
            print(text, file=self._stream, flush=True)

    def close(self) -> None:
        """Clear the line, so that the result starts in the first column."""
        if self._is_terminal and self._width:
            self._stream.write("\r" + " " * self._width + "\r")
            self._stream.flush()
        self._width = 0
