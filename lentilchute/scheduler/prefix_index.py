"""Which prompt prefixes the upstreams of a shard hold in their caches, as far as is known.

Blocks are entered when a prompt is granted, so that equal prompts that arrive together follow each
other to one upstream, and corrected by the upstreams' cache events. Events come late and with gaps,
so what is expected to be cached is also weighed by how often the expectation came true.
"""

from collections.abc import Iterable

from ..ids import BlockHash, UpstreamId
from .tickets import CacheEvent

MAX_BLOCKS = 8_192
"""Blocks remembered of one upstream, however large its cache is."""

MAX_CANDIDATES = 8
"""Upstreams with a prompt's prefix that are weighed against each other."""

HIT_RATE_SMOOTHING_FACTOR = 0.9
GAP_CONFIDENCE_FACTOR = 0.9
"""Factor on the trust in an upstream's entries after a gap in its events."""

MIN_CONFIDENCE = 0.1


class CacheView:
    """The cached blocks of one upstream, the least recently used first."""

    def __init__(self, capacity_blocks: int) -> None:
        self.blocks: dict[BlockHash, None] = {}
        self.capacity_blocks = min(capacity_blocks, MAX_BLOCKS)
        self.last_sequence = 0
        self.confidence = 1.0

    def count_cached(self, blocks: tuple[BlockHash, ...]) -> int:
        """Return how many of a prompt's first blocks are held.

        A prompt's later blocks are evicted before its earlier ones, so bisection finds the end.
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
        """Learn from what an upstream says it had cached of a prompt."""
        if expected_tokens > 0:
            hit_rate = min(cached_tokens / expected_tokens, 1.0)
            self.confidence = max(
                HIT_RATE_SMOOTHING_FACTOR * self.confidence
                + (1 - HIT_RATE_SMOOTHING_FACTOR) * hit_rate,
                MIN_CONFIDENCE,
            )


class PrefixIndex:
    """Cache views of all upstreams, and the upstreams by the anchor blocks of prompts.

    Anchors are the blocks at positions 0, 1, 3, 7 and so on; they lead to the upstreams with the
    longest prefix without a look at every upstream.
    """

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._views: dict[UpstreamId, CacheView] = {}
        self._anchors: dict[BlockHash, dict[UpstreamId, None]] = {}

    def add_upstream(self, upstream: UpstreamId, cache_tokens: int) -> None:
        """Begin to remember an upstream's cache; one already known is kept."""
        if upstream not in self._views:
            self._views[upstream] = CacheView(cache_tokens // self._block_tokens)

    def clear_upstream(self, upstream: UpstreamId) -> None:
        """Forget an upstream's cache, as after its crash."""
        view = self._views.get(upstream)
        if view is not None:
            self._evict(upstream, view, list(view.blocks))

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Forget an upstream."""
        self.clear_upstream(upstream)
        self._views.pop(upstream, None)

    def cached_tokens(self, upstream: UpstreamId, blocks: tuple[BlockHash, ...]) -> int:
        """Return how many tokens of a prompt an upstream is expected to have cached."""
        view = self._views.get(upstream)
        if view is None or not blocks:
            return 0
        return int(view.count_cached(blocks) * self._block_tokens * view.confidence)

    def upstreams_with_prefix(self, blocks: tuple[BlockHash, ...]) -> list[UpstreamId]:
        """Return some of the upstreams that hold the longest prefix of a prompt."""
        for position in reversed(_anchor_positions(len(blocks))):
            upstreams = self._anchors.get(blocks[position])
            if upstreams:
                return list(upstreams)[-MAX_CANDIDATES:]
        return []

    def add_prompt(self, upstream: UpstreamId, blocks: tuple[BlockHash, ...]) -> None:
        """Note that an upstream will hold a prompt's blocks."""
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
        """Take a cache event; one that is late or repeated changes nothing."""
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
        """Compare an expectation with what an upstream says it had cached."""
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
