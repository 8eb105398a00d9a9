"""Log output: one JSON line for each event, buffered, without secrets.

    log = open_log(path)           # standard error without a path
    nursery.start_soon(log.run)    # writes from a thread, so a slow reader blocks no request
    ...
    log.close()

Field values are limited to short scalars and short lists of scalars, and a field whose name
indicates a key, a prompt or a body is redacted, so that a mistake at one call does not write a
secret to the log.
"""

import functools
import io
import json
import sys
import threading
from collections import deque
from enum import Enum
from typing import BinaryIO

import eliot
import trio

from .errors import UserError
from .util.shared_ticks import sleep_to_tick

FLUSH_INTERVAL_S = 0.5
MAX_BUFFERED_LINES = 20_000
"""When the reader is slower than the events, the oldest lines are dropped and counted."""
MAX_TEXT_CHARACTERS = 300
MAX_LIST_ITEMS = 64
WITHHELD = "[withheld]"

_SECRET_NAMES = frozenset(
    {
        "authorization",
        "bearer",
        "bearer_key",
        "body",
        "content",
        "data",
        "headers",
        "idempotency_key",
        "key",
        "messages",
        "prompt",
        "reason_text",
        "secret",
        "shared_key",
        "text",
        "token",
    }
)
_TRACEBACK_FIELD = "traceback"
_EXCEPTION_REASON_FIELD = "reason"
_EXCEPTION_FIELD = "exception"
DROPPED_TYPE = "lentilchute:lines_dropped"

Scalar = str | int | float | bool | None

_UNCHANGED_TYPES = frozenset({int, float, bool, type(None)})
_encode_json = json.JSONEncoder(ensure_ascii=False, separators=(",", ":")).encode


class LogWriter:
    """An eliot destination that buffers lines until they are flushed."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._write_lock = threading.Lock()

    def __call__(self, message: dict[str, object]) -> None:
        """Buffer one message from eliot; never blocks and never raises."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._lines.popleft()
            self._dropped += 1
        self._lines.append(format_json_line(message))

    def flush(self) -> None:
        """Write the buffered lines; may block as long as the file does."""
        with self._write_lock:
            lines = self._pop_lines()
            if not lines:
                return
            try:
                self._file.write("".join(lines).encode("utf-8", "replace"))
                self._file.flush()
            except (OSError, ValueError):
                # The reader of the log is gone; the node keeps serving without a log.
                self._dropped += len(lines)

    async def run(self) -> None:
        """Flush at intervals, in a thread, until cancelled."""
        while True:
            await sleep_to_tick(FLUSH_INTERVAL_S)
            if self._lines:
                await trio.to_thread.run_sync(self.flush, abandon_on_cancel=True)

    def close(self) -> None:
        """Stop receiving messages, flush, and close the file unless it is a standard stream."""
        eliot.remove_destination(self)
        self.flush()
        if self._file not in (sys.stderr.buffer, sys.stdout.buffer):
            self._file.close()

    def _pop_lines(self) -> list[str]:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if self._dropped:
            lines.append(format_json_line({"message_type": DROPPED_TYPE, "lines": self._dropped}))
            self._dropped = 0
        return lines


def open_log(path: str | None = None, stream: BinaryIO | None = None) -> LogWriter:
    """Append the log to a file, or without a path write to ``stream`` or standard error.

    Raises ``UserError`` when the file cannot be opened.
    """
    try:
        file = io.BufferedWriter(io.FileIO(path, "ab")) if path else stream or sys.stderr.buffer
    except OSError as error:
        raise UserError(f"cannot open the log {path}: {error.strerror}") from error
    writer = LogWriter(file)
    eliot.add_destinations(writer)
    return writer


def format_json_line(message: dict[str, object]) -> str:
    """Return a message as one JSON line with its fields redacted."""
    has_traceback = _EXCEPTION_FIELD in message and _TRACEBACK_FIELD in message
    safe = {
        name: (
            value
            if type(value) in _UNCHANGED_TYPES and not _is_secret(name)
            else redact(name, value)
        )
        for name, value in message.items()
    }
    if has_traceback:
        # An exception's message may quote input; the code locations do not.
        safe[_EXCEPTION_REASON_FIELD] = WITHHELD
        safe[_TRACEBACK_FIELD] = _code_locations(str(message[_TRACEBACK_FIELD]))
    return _encode_json(safe) + "\n"


@functools.lru_cache(maxsize=1_000)
def _is_secret(name: str) -> bool:
    return name.lower() in _SECRET_NAMES


def redact(name: str, value: object) -> Scalar | list[Scalar]:
    """Return a field's value with secrets withheld and long values shortened."""
    if _is_secret(name):
        return WITHHELD
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_redact_scalar(item) for item in list(value)[:MAX_LIST_ITEMS]]
    return _redact_scalar(value)


def _redact_scalar(value: object) -> Scalar:
    if type(value) is str and len(value) <= MAX_TEXT_CHARACTERS:
        return value
    if isinstance(value, Enum):
        value = value.value
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, str):
        return value if len(value) <= MAX_TEXT_CHARACTERS else value[:MAX_TEXT_CHARACTERS] + "..."
    return f"[{type(value).__name__}]"


def _code_locations(traceback: str) -> list[Scalar]:
    lines = (line.strip() for line in traceback.splitlines())
    locations: list[Scalar] = [line for line in lines if line.startswith('File "')]
    return locations[-MAX_LIST_ITEMS:]
