"""Frames between nodes: a length, a message authentication code (MAC) and a thrift payload.

Each side of a link generates a nonce. The MAC key is derived from the shared key and both nonces,
and the MAC covers the frame's sequence number, so a frame cannot be forged, replayed, dropped or
moved to another link.
"""

import hashlib
import hmac
import struct

MAC_BYTES = 16
LENGTH_PREFIX = struct.Struct(">I")
HEAD_BYTES = LENGTH_PREFIX.size + MAC_BYTES
NONCE_BYTES = 16
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_HELLO_BYTES = 1_024

_SEQUENCE = struct.Struct(">Q")


class FrameError(Exception):
    """An invalid frame or handshake, for which the connection is closed."""


class FrameWriter:
    """Encodes payloads as frames, for one direction of one link."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    def frame(self, payload: bytes) -> bytes:
        """Return the next frame. Raises ``FrameError`` when the payload is too large."""
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"payload too large: {len(payload)} bytes")
        mac = _compute_mac(self._key, self._sequence, payload)
        self._sequence += 1
        return LENGTH_PREFIX.pack(len(payload)) + mac + payload


class FrameReader:
    """Decodes a byte stream incrementally into the payloads of authenticated frames."""

    def __init__(self, key: bytes, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._key = key
        self._max_frame_bytes = max_frame_bytes
        self._sequence = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the payloads that ``data`` completes. Raises ``FrameError``."""
        self._buffer += data
        payloads = []
        while (payload := self._next_payload()) is not None:
            payloads.append(payload)
        return payloads

    def unread_bytes(self) -> bytes:
        """Return the buffered bytes after the last complete frame."""
        return bytes(self._buffer)

    def _next_payload(self) -> bytes | None:
        if len(self._buffer) < HEAD_BYTES:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
        if length > self._max_frame_bytes:
            raise FrameError(f"frame too large: {length} bytes")
        end = HEAD_BYTES + length
        if len(self._buffer) < end:
            return None
        mac = bytes(self._buffer[LENGTH_PREFIX.size : HEAD_BYTES])
        payload = bytes(self._buffer[HEAD_BYTES:end])
        if not hmac.compare_digest(mac, _compute_mac(self._key, self._sequence, payload)):
            raise FrameError("invalid message authentication code")
        del self._buffer[:end]
        self._sequence += 1
        return payload


def derive_key(shared_key: str, purpose: str, *nonces: bytes) -> bytes:
    """Derive a key for one purpose; other nonces or purposes give independent keys."""
    digest = hashlib.blake2b(key=hashlib.sha256(shared_key.encode()).digest(), digest_size=32)
    digest.update(purpose.encode())
    for nonce in nonces:
        digest.update(nonce)
    return digest.digest()


def _compute_mac(key: bytes, sequence: int, payload: bytes) -> bytes:
    digest = hashlib.blake2b(_SEQUENCE.pack(sequence), key=key, digest_size=MAC_BYTES)
    digest.update(payload)
    return digest.digest()
