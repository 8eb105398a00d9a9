"""Checks the shape of a thrift binary struct before the library decodes it.

The library's decoder trusts the sizes of containers and strings, so that a few bytes can make it
allocate without bound or loop for minutes. This walk refuses such data and allocates nothing.
"""

import struct

MAX_DEPTH = 16

_STOP, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
_FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_SIZE = struct.Struct(">i")
_LIST_HEAD = struct.Struct(">bi")
_MAP_HEAD = struct.Struct(">bbi")


def check_struct(data: bytes) -> None:
    """Raise ``ValueError`` unless ``data`` is one whole struct whose sizes fit its length."""
    end = _walk(data, 0, _STRUCT, MAX_DEPTH)
    if end != len(data):
        raise ValueError("bytes after the struct")


def _walk(data: bytes, at: int, kind: int, depth: int) -> int:
    """Return the position after the value of type ``kind`` that starts at ``at``."""
    if depth == 0:
        raise ValueError("nested too deep")
    fixed = _FIXED_BYTES.get(kind)
    if fixed is not None:
        return _advance(data, at, fixed)
    if kind == _STRING:
        return _advance(data, at + 4, _size_at(data, at))
    if kind == _STRUCT:
        return _walk_struct(data, at, depth)
    if kind in (_LIST, _SET):
        item, count = _unpack(_LIST_HEAD, data, at)
        return _walk_items(data, at + _LIST_HEAD.size, (item,), count, depth)
    if kind == _MAP:
        key, value, count = _unpack(_MAP_HEAD, data, at)
        return _walk_items(data, at + _MAP_HEAD.size, (key, value), count, depth)
    raise ValueError(f"unknown type {kind}")


def _walk_struct(data: bytes, at: int, depth: int) -> int:
    while True:
        if at >= len(data):
            raise ValueError("struct without its end")
        kind = data[at]
        if kind == _STOP:
            return at + 1
        at = _walk(data, _advance(data, at, 3), kind, depth - 1)


def _walk_items(data: bytes, at: int, kinds: tuple[int, ...], count: int, depth: int) -> int:
    # Each item takes a byte at least, so that this bounds the loop by the data's length.
    if not 0 <= count <= len(data) - at:
        raise ValueError(f"container of {count} items in {len(data) - at} bytes")
    if len(kinds) == 1 and kinds[0] in _FIXED_BYTES:
        return _advance(data, at, count * _FIXED_BYTES[kinds[0]])
    for _ in range(count):
        for kind in kinds:
            at = _walk(data, at, kind, depth - 1)
    return at


def _size_at(data: bytes, at: int) -> int:
    return int(_unpack(_SIZE, data, at)[0])


def _unpack(layout: struct.Struct, data: bytes, at: int) -> tuple[int, ...]:
    try:
        return layout.unpack_from(data, at)
    except struct.error as error:
        raise ValueError("data ends inside a value") from error


def _advance(data: bytes, at: int, size_bytes: int) -> int:
    if size_bytes < 0 or at + size_bytes > len(data):
        raise ValueError(f"value of {size_bytes} bytes with {len(data) - at} left")
    return at + size_bytes
