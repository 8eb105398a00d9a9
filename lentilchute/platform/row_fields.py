"""Reads fields of rows that other programs write: each raises an error if a field is mistyped."""

import ipaddress
import json
import math
import re
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

Decoded = TypeVar("Decoded")

_MISSING_OR_MISTYPED = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    RecursionError,
    OverflowError,
)
_MAX_INTEGER = 2**63
"""Integers are passed between nodes in 64 bits."""
_MAX_PORT = 65_535
_HOST_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9_.-]{0,251}[A-Za-z0-9])?")


def decode_row(value: bytes, build: Callable[[Any], Decoded]) -> Result[Decoded, str]:
    """Return what ``build`` makes of a row's value, or why it cannot be read."""
    try:
        return Ok(build(json.loads(value)))
    except _MISSING_OR_MISTYPED as error:
        return Err(f"{type(error).__name__}: {str(error)[:80]}")


def string(value: Any) -> str:
    """Return a string that is not empty and can be written again."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"not a non-empty string: {value!r}")
    value.encode()
    return value


def address(value: Any) -> str:
    """Return the address of a port: a host name or an IP number, with an IPv6 one in brackets."""
    text = string(value)
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdecimal() or not 0 < int(port[:6]) <= _MAX_PORT:
        raise ValueError("the address lacks a port")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    elif not _HOST_NAME.fullmatch(host):
        raise ValueError("the address lacks a host")
    return text


def integer(value: Any) -> int:
    """Return an integer of 64 bits."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not an integer: {value!r}")
    if not -_MAX_INTEGER <= value < _MAX_INTEGER:
        raise ValueError("an integer of more than 64 bits")
    return value


def number(value: Any) -> float:
    """Return a finite number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"not a number: {value!r}")
    if not math.isfinite(value):
        raise ValueError("not a finite number")
    return float(value)
