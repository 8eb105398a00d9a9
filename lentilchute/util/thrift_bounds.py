"""Checks the sizes in a thrift binary struct before the library decodes it.

The library's decoder does not check the sizes of containers and strings, so that a few bytes can
make it allocate without bound or loop for minutes. This check rejects such data without allocating.
"""

import struct

MAX_DEPTH = 16

_STOP_FIELD, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
_FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
"""Sizes of the fixed-size types, by thrift type number."""
_FIELD_HEAD_BYTES = 3
_SIZE = struct.Struct(">i")
_LIST_HEAD = struct.Struct(">bi")
_MAP_HEAD = struct.Struct(">bbi")


def check_struct(data: bytes) -> None:
    """Raise ``ValueError`` unless ``data`` is exactly one struct whose sizes fit its length."""
    end = _skip_value(data, 0, _STRUCT, MAX_DEPTH)
    if end != len(data):
        raise ValueError("trailing bytes after the struct")


def _skip_value(data: bytes, offset: int, kind: int, depth: int) -> int:
    """Return the offset after the value of type ``kind`` that starts at ``offset``."""
    if depth == 0:
        raise ValueError("nested too deeply")
    fixed = _FIXED_BYTES.get(kind)
    if fixed is not None:
        return _advance(data, offset, fixed)
    if kind == _STRING:
        return _advance(data, offset + 4, _size_at(data, offset))
    if kind == _STRUCT:
        return _skip_struct(data, offset, depth)
    if kind in (_LIST, _SET):
        item, count = _unpack(_LIST_HEAD, data, offset)
        return _skip_items(data, offset + _LIST_HEAD.size, (item,), count, depth)
    if kind == _MAP:
        key, value, count = _unpack(_MAP_HEAD, data, offset)
        return _skip_items(data, offset + _MAP_HEAD.size, (key, value), count, depth)
    raise ValueError(f"unknown thrift type {kind}")


def _skip_struct(data: bytes, offset: int, depth: int) -> int:
    # Fixed sizes and strings are skipped in place, since most fields have them. An offset that they
    # move past the end of the data is found at the next field: each struct ends with a stop.
    end = len(data)
    while offset < end:
        kind = data[offset]
        if kind == _STOP_FIELD:
            return offset + 1
        offset += _FIELD_HEAD_BYTES
        fixed = _FIXED_BYTES.get(kind)
        if fixed is not None:
            offset += fixed
        elif kind == _STRING:
            size_bytes = int.from_bytes(data[offset : offset + 4], "big")
            offset += 4 + size_bytes
        else:
            offset = _skip_value(data, offset, kind, depth - 1)
    raise ValueError("struct without a stop field")


def _skip_items(data: bytes, offset: int, kinds: tuple[int, ...], count: int, depth: int) -> int:
    # Each item takes at least one byte, so that the data's length bounds the loop.
    if not 0 <= count <= len(data) - offset:
        raise ValueError(f"container of {count} items in {len(data) - offset} bytes")
    if len(kinds) == 1 and kinds[0] in _FIXED_BYTES:
        return _advance(data, offset, count * _FIXED_BYTES[kinds[0]])
    for _ in range(count):
        for kind in kinds:
            offset = _skip_value(data, offset, kind, depth - 1)
    return offset


def _size_at(data: bytes, offset: int) -> int:
    return int(_unpack(_SIZE, data, offset)[0])


def _unpack(layout: struct.Struct, data: bytes, offset: int) -> tuple[int, ...]:
    try:
        return layout.unpack_from(data, offset)
    except struct.error as error:
        raise ValueError("data ends within a value") from error


def _advance(data: bytes, offset: int, size_bytes: int) -> int:
    if size_bytes < 0 or offset + size_bytes > len(data):
        raise ValueError(f"value of {size_bytes} bytes where {len(data) - offset} remain")
    return offset + size_bytes
