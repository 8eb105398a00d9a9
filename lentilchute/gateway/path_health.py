"""Tracks which upstreams this node cannot connect to though other nodes can; free of I/O."""

from ..ids import UpstreamId

LOST_TO_BE_CUT_OFF = 2
"""A node that has lost so many paths, and opened none since, has probably lost all of them."""


class PathHealth:
    """The upstreams that this node can reach only through a peer."""

    def __init__(self) -> None:
        self._lost: dict[UpstreamId, None] = {}
        self._has_opened_since = True
        """Whether a connection has been opened since a path was lost last."""

    @property
    def lost(self) -> list[UpstreamId]:
        """The upstreams whose paths are lost, those that were tried longest ago first."""
        return list(self._lost)

    @property
    def is_cut_off(self) -> bool:
        """Whether this node has probably lost all of its paths."""
        return len(self._lost) >= LOST_TO_BE_CUT_OFF and not self._has_opened_since

    def needs_detour(self, upstream: UpstreamId) -> bool:
        """Return whether a request had better go through a peer."""
        return upstream in self._lost or self.is_cut_off

    def record_opened(self, upstream: UpstreamId) -> None:
        """Record a new connection; a kept one proves nothing, since it may outlive its path."""
        self._has_opened_since = True
        self._lost.pop(upstream, None)

    def record_lost(self, upstream: UpstreamId) -> None:
        """Record that a connection failed to an upstream that a peer reaches."""
        self._has_opened_since = False
        self._lost.pop(upstream, None)
        self._lost[upstream] = None

    def postpone(self, upstream: UpstreamId) -> None:
        """Count a lost path as the one tried last."""
        if upstream in self._lost:
            self._lost[upstream] = self._lost.pop(upstream)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop an upstream that has ended, or that nobody reaches."""
        self._lost.pop(upstream, None)
