"""Frames between nodes: a length, an authentication code and a thrift payload.

Each side of a link draws a nonce; the codes are keyed by the shared key and both nonces and cover
the frame's number, so a frame cannot be forged, repeated, left out or moved to another link.
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
    """A frame that costs its sender the connection; the text says why."""


class FrameWriter:
    """Turns payloads into frames for one direction of one link."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    def frame(self, payload: bytes) -> bytes:
        """Return the next frame. Raises ``FrameError`` for a payload above the bound."""
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"payload of {len(payload)} bytes")
        mac = _compute_mac(self._key, self._sequence, payload)
        self._sequence += 1
        return LENGTH_PREFIX.pack(len(payload)) + mac + payload


class FrameReader:
    """Takes bytes as they arrive and yields the payloads of whole, authentic frames."""

    def __init__(self, key: bytes, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._key = key
        self._max_frame_bytes = max_frame_bytes
        self._sequence = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the payloads completed by ``data``. Raises ``FrameError``."""
        self._buffer += data
        payloads = []
        while (payload := self._next_payload()) is not None:
            payloads.append(payload)
        return payloads

    def unread_bytes(self) -> bytes:
        """Return the bytes after the last whole frame."""
        return bytes(self._buffer)

    def _next_payload(self) -> bytes | None:
        if len(self._buffer) < HEAD_BYTES:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
        if length > self._max_frame_bytes:
            raise FrameError(f"frame of {length} bytes")
        end = HEAD_BYTES + length
        if len(self._buffer) < end:
            return None
        mac = bytes(self._buffer[LENGTH_PREFIX.size : HEAD_BYTES])
        payload = bytes(self._buffer[HEAD_BYTES:end])
        if not hmac.compare_digest(mac, _compute_mac(self._key, self._sequence, payload)):
            raise FrameError("wrong authentication code")
        del self._buffer[:end]
        self._sequence += 1
        return payload


def derive_key(shared_key: str, purpose: str, *nonces: bytes) -> bytes:
    """Return a key for one purpose; other nonces or purposes give unrelated keys."""
    digest = hashlib.blake2b(key=hashlib.sha256(shared_key.encode()).digest(), digest_size=32)
    digest.update(purpose.encode())
    for nonce in nonces:
        digest.update(nonce)
    return digest.digest()


def _compute_mac(key: bytes, sequence: int, payload: bytes) -> bytes:
    digest = hashlib.blake2b(_SEQUENCE.pack(sequence), key=key, digest_size=MAC_BYTES)
    digest.update(payload)
    return digest.digest()
