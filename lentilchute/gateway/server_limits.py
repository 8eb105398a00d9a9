"""Limits of a node's HTTP servers, within the descriptors and the memory of its machine; free of
I/O."""

from enum import Enum

from ..http.requests import HttpServerSettings
from .held_memory import HeldMemory
from .routes import RoutingConfig


class Listener(Enum):
    """What a node's HTTP servers serve; the values label their metrics."""

    CALLERS = "callers"
    DIRECTORY = "directory"
    READINESS = "readiness"
    METRICS = "metrics"


DESCRIPTOR_SHARES = {
    Listener.CALLERS: 0.4,
    Listener.DIRECTORY: 0.08,
    Listener.READINESS: 0.02,
    Listener.METRICS: 0.02,
}
"""Part of the process's descriptors for connections to each server. Each connection of a caller may
need another one to an upstream; the rest is for peers and the store."""
MAX_CONNECTIONS = {
    Listener.CALLERS: 1_500,
    Listener.DIRECTORY: 400,
    Listener.READINESS: 64,
    Listener.METRICS: 64,
}
"""Most connections to each server, however many descriptors there are."""
MIN_CONNECTIONS = 4
OPERATOR_LISTENERS = frozenset({Listener.READINESS, Listener.METRICS})
"""They are answered also when callers have filled the memory."""
MAX_BUFFERED_BODY_BYTES = 24 * 1024 * 1024
"""Bounds the request bodies that are being read where the memory is not limited."""
MAX_QUERY_BODY_BYTES = 16_384
"""Of a request to a server other than that for callers; none of them needs a body."""
KEEP_ALIVE_SHARE = 0.6
"""Fraction of the idle timeout that is advertised to callers."""
BODY_TIMEOUT_S = 10.0
"""A request body that takes longer to arrive is abandoned."""


def max_connections(listener: Listener, max_descriptors: int) -> int:
    """Return how many connections a server may have open."""
    share = int(DESCRIPTOR_SHARES[listener] * max_descriptors)
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS[listener], share))


def query_settings(listener: Listener, max_descriptors: int) -> HttpServerSettings:
    """Return the settings of a server that answers queries about the node."""
    return HttpServerSettings(
        max_connections=max_connections(listener, max_descriptors),
        max_body_bytes=MAX_QUERY_BODY_BYTES,
        max_reading_bytes=MAX_BUFFERED_BODY_BYTES,
    )


def caller_settings(
    config: RoutingConfig | None, max_descriptors: int, memory: HeldMemory
) -> HttpServerSettings:
    """Return the settings of the server for callers, by the configuration in force."""
    connections = max_connections(Listener.CALLERS, max_descriptors)
    reading_bytes = int(memory.room_bytes) if memory.is_bounded else MAX_BUFFERED_BODY_BYTES
    if config is None:
        return HttpServerSettings(
            max_connections=connections,
            max_reading_bytes=reading_bytes,
            answers_silent_connection=False,
        )
    limits = config.limits
    return HttpServerSettings(
        max_connections=connections,
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_reading_bytes=reading_bytes,
        header_timeout_s=limits.header_timeout_s,
        body_timeout_s=BODY_TIMEOUT_S,
        keep_alive_timeout_s=limits.idle_timeout_s,
        advertised_keep_alive_s=KEEP_ALIVE_SHARE * limits.idle_timeout_s,
        answers_silent_connection=False,
    )
