"""Types and helpers shared by the HTTP/1.1 client and server."""

import json
import socket
from typing import Any

import trio

from ..errors import UserError

Headers = tuple[tuple[str, str], ...]
"""Header names in lower case with their values, in order."""

READ_BYTES = 65_536
"""Maximum number of bytes to read from a stream at once."""

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
"""TCP keepalive: idle time, interval and number of unanswered probes before the reset."""

OUTCOME_HEADER = "lentilchute-outcome"
TIER_HEADER = "lentilchute-tier"
DEADLINE_HEADER = "lentilchute-deadline-s"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
RETRY_AFTER_HEADER = "retry-after"
REQUEST_ID_HEADER = "x-request-id"

JSON_HEADER = ("content-type", "application/json")
EVENT_STREAM = "text/event-stream"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def header_value(headers: Headers, name: str) -> str | None:
    """Return the first value of the header ``name`` (lower case), or ``None``."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def media_type(headers: Headers) -> str | None:
    """Return the media type that a message names, without its parameters, or ``None``.

    >>> media_type((("content-type", "Text/Event-Stream; charset=utf-8"),))
    'text/event-stream'
    """
    named = header_value(headers, "content-type")
    return None if named is None else named.partition(";")[0].strip().lower()


def without_headers(headers: Headers, names: frozenset[str]) -> Headers:
    """Return ``headers`` without those in ``names`` (lower case)."""
    return tuple((name, value) for name, value in headers if name.lower() not in names)


def to_wire(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as the pairs of bytes that h11 expects."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def from_wire(headers: list[tuple[bytes, bytes]]) -> Headers:
    """Return h11's header pairs as text; h11 returns names in lower case."""
    return tuple((name.decode("ascii"), value.decode("latin-1")) for name, value in headers)


def error_body(reason: str, message: str, outcome: str | None = None) -> bytes:
    """Return the JSON body of an error answer, in the format of refusals."""
    error: dict[str, Any] = {"type": reason}
    if outcome is not None:
        error["outcome"] = outcome
    error["findings"] = [{"field": "request", "message": message}]
    return json.dumps({"error": error}).encode()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port`` or ``[IPv6]:port``.

    Raises ``UserError`` when the text is not a valid address.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal():
        raise UserError(f"invalid address, expected host:port: {address}")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> str:
    """Return ``host:port``, with brackets around an IPv6 address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def enable_tcp_keepalive(connection: trio.SocketStream | trio.socket.SocketType) -> None:
    """Make the OS reset a connection whose peer vanished without closing it.

    Connections that a listening socket accepts inherit this from it.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
