"""Estimate of the prompt prefixes that the upstreams of a shard have cached.

Blocks are added when a prompt is granted, so that equal prompts that arrive together go to the same
upstream, and removed by the upstreams' cache events. Events arrive late and with gaps, so estimates
are also scaled by the hit rate of earlier estimates.
"""

from collections.abc import Iterable

from ..ids import BlockHash, UpstreamId
from .tickets import CacheEvent

MAX_BLOCKS = 8_192
"""Maximum number of blocks that are tracked for one upstream, whatever the size of its cache."""

MAX_CANDIDATES = 8
"""Maximum number of upstreams with a prompt's prefix that are returned."""

HIT_RATE_SMOOTHING_FACTOR = 0.9
GAP_CONFIDENCE_FACTOR = 0.9
"""Factor on the confidence in an upstream's view after a gap in its events."""

MIN_CONFIDENCE = 0.1


class CacheView:
    """The blocks that one upstream is expected to have cached, least recently used first."""

    def __init__(self, capacity_blocks: int) -> None:
        self.blocks: dict[BlockHash, None] = {}
        self.capacity_blocks = min(capacity_blocks, MAX_BLOCKS)
        self.last_sequence = 0
        self.confidence = 1.0

    def count_cached(self, blocks: tuple[BlockHash, ...]) -> int:
        """Return how many of a prompt's leading blocks are cached.

        A prompt's later blocks are evicted before its earlier ones, so binary search finds the end.
        """
        low = 0
        high = len(blocks)
        while low < high:
            middle = (low + high) // 2
            if blocks[middle] in self.blocks:
                low = middle + 1
            else:
                high = middle
        return low

    def record_cached_tokens(self, expected_tokens: int, cached_tokens: int) -> None:
        """Update the confidence from the cached tokens that an upstream reported for a prompt."""
        if expected_tokens > 0:
            hit_rate = min(cached_tokens / expected_tokens, 1.0)
            self.confidence = max(
                HIT_RATE_SMOOTHING_FACTOR * self.confidence
                + (1 - HIT_RATE_SMOOTHING_FACTOR) * hit_rate,
                MIN_CONFIDENCE,
            )


class PrefixIndex:
    """Cache views of all upstreams, indexed by the anchor blocks of prompts.

    Anchors are the blocks at positions 0, 1, 3, 7 and so on. They allow the upstreams with the
    longest prefix to be found without scanning all upstreams.
    """

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._views: dict[UpstreamId, CacheView] = {}
        self._anchors: dict[BlockHash, dict[UpstreamId, None]] = {}

    def add_upstream(self, upstream: UpstreamId, cache_tokens: int) -> None:
        """Start tracking an upstream's cache; an existing view is kept."""
        if upstream not in self._views:
            self._views[upstream] = CacheView(cache_tokens // self._block_tokens)

    def clear_upstream(self, upstream: UpstreamId) -> None:
        """Clear the view of an upstream's cache, for example after a crash."""
        view = self._views.get(upstream)
        if view is not None:
            self._evict(upstream, view, list(view.blocks))

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Stop tracking an upstream's cache."""
        self.clear_upstream(upstream)
        self._views.pop(upstream, None)

    def cached_tokens(self, upstream: UpstreamId, blocks: tuple[BlockHash, ...]) -> int:
        """Return how many tokens of a prompt an upstream is expected to have cached."""
        view = self._views.get(upstream)
        if view is None or not blocks:
            return 0
        return int(view.count_cached(blocks) * self._block_tokens * view.confidence)

    def upstreams_with_prefix(self, blocks: tuple[BlockHash, ...]) -> list[UpstreamId]:
        """Return up to ``MAX_CANDIDATES`` upstreams with the longest cached prefix of a prompt."""
        for position in reversed(_anchor_positions(len(blocks))):
            upstreams = self._anchors.get(blocks[position])
            if upstreams:
                return list(upstreams)[-MAX_CANDIDATES:]
        return []

    def add_prompt(self, upstream: UpstreamId, blocks: tuple[BlockHash, ...]) -> None:
        """Record that an upstream will have a prompt's blocks cached."""
        view = self._views.get(upstream)
        if view is None or view.capacity_blocks == 0:
            return
        for block in reversed(blocks):
            view.blocks.pop(block, None)
            view.blocks[block] = None
        for position in _anchor_positions(len(blocks)):
            self._anchors.setdefault(blocks[position], {})[upstream] = None
        excess = len(view.blocks) - view.capacity_blocks
        if excess > 0:
            oldest = [block for block, _ in zip(view.blocks, range(excess), strict=False)]
            self._evict(upstream, view, oldest)

    def _evict(self, upstream: UpstreamId, view: CacheView, blocks: Iterable[BlockHash]) -> None:
        for block in blocks:
            view.blocks.pop(block, None)
            upstreams = self._anchors.get(block)
            if upstreams is not None:
                upstreams.pop(upstream, None)
                if not upstreams:
                    del self._anchors[block]

    def apply_event(self, event: CacheEvent) -> None:
        """Apply a cache event; a late or repeated one is ignored."""
        view = self._views.get(event.upstream)
        if view is None or event.sequence <= view.last_sequence:
            return
        if event.sequence > view.last_sequence + 1 and view.last_sequence:
            view.confidence = max(view.confidence * GAP_CONFIDENCE_FACTOR, MIN_CONFIDENCE)
        view.last_sequence = event.sequence
        self._evict(event.upstream, view, event.evicted)

    def record_cached_tokens(
        self, upstream: UpstreamId, expected_tokens: int, cached_tokens: int
    ) -> None:
        """Compare the expected cached tokens with those that an upstream reported."""
        view = self._views.get(upstream)
        if view is not None:
            view.record_cached_tokens(expected_tokens, cached_tokens)


def _anchor_positions(count: int) -> list[int]:
    positions = []
    position = 0
    while position < count:
        positions.append(position)
        position = 2 * position + 1
    return positions
