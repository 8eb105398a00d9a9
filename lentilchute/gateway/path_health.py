"""Tracks whether this node can connect to upstreams at all; free of I/O."""

from ..ids import UpstreamId

FAILURES_TO_BE_CUT_OFF = 2
"""One upstream may have ended; that so many have, and nothing could be reached meanwhile, is less
probable than that this node's own paths are lost."""


class PathHealth:
    """The upstreams to which connections failed since one was opened to any."""

    def __init__(self) -> None:
        self._failed: dict[UpstreamId, None] = {}

    @property
    def failed(self) -> list[UpstreamId]:
        """These upstreams, those that were tried longest ago first."""
        return list(self._failed)

    @property
    def is_cut_off(self) -> bool:
        """Whether this node has probably lost its paths to all upstreams."""
        return len(self._failed) >= FAILURES_TO_BE_CUT_OFF

    def record_opened(self) -> None:
        """Record a new connection; a kept one proves nothing, since it may outlive its path."""
        self._failed.clear()

    def record_failed(self, upstream: UpstreamId) -> None:
        """Record a connection that failed."""
        self._failed.pop(upstream, None)
        self._failed[upstream] = None
