"""Chunked framing without h11's state machine, for pieces of a body that are relayed one by one.

h11 reads and writes the beginning and the end of each body, and whatever else is not a whole chunk.
In between, chunks that are whole and plain don't change its state, so that it need not see them::

    chunks = WholeChunks(http.trailing_data[0])     # before the first piece of the body is read
    pieces = chunks.read(received)
    if pieces is None: http.receive_data(received)
"""

import re

MAX_UNALIGNED_BYTES = 65_536
"""After so many bytes without the end of a chunk where a read ended, h11 reads the rest."""
_PLAIN_HEADER = re.compile(rb"([1-9A-Fa-f][0-9A-Fa-f]{0,7})\r\n")
"""Other headers, such as one with extensions or that of the last chunk, are left to h11."""


class WholeChunks:
    """Reads what arrives of one body, as long as it consists of whole plain chunks."""

    def __init__(self, beginning: bytes) -> None:
        self._unaligned = beginning
        """Bytes that h11 got since a chunk last ended together with a read."""
        self._is_usable = True

    def read(self, received: bytes) -> bytes | None:
        """Return the content of the chunks in ``received``; ``None`` leaves them to h11."""
        if not self._is_usable:
            return None
        if not self._unaligned:
            content = content_of(received)
            if content is None:
                self._unaligned = received
            return content
        self._unaligned += received
        if content_of(self._unaligned) is not None:
            self._unaligned = b""
        elif len(self._unaligned) > MAX_UNALIGNED_BYTES:
            self._is_usable, self._unaligned = False, b""
        return None


def content_of(data: bytes) -> bytes | None:
    """Return the joined content of whole plain chunks, or ``None`` if ``data`` is anything else."""
    pieces: list[bytes] = []
    start = 0
    while start < len(data):
        header = _PLAIN_HEADER.match(data, start)
        if header is None:
            return None
        begin = header.end()
        end = begin + int(header[1], 16)
        if data[end : end + 2] != b"\r\n":
            return None
        pieces.append(data[begin:end])
        start = end + 2
    return pieces[0] if len(pieces) == 1 else b"".join(pieces)


def framed(data: bytes) -> bytes:
    """Return ``data``, which is not empty, as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
