"""Prefix cache of the engine stand-in, with its event log."""

import random
from collections import OrderedDict
from dataclasses import dataclass

from ..ids import BlockHash

MAX_KEPT_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """A change of the cache with its time."""

    time_s: float
    sequence: int
    stored: tuple[BlockHash, ...]
    evicted: tuple[BlockHash, ...]


class PrefixCache:
    """Blocks of prompt prefixes with LRU eviction; a prefix is evicted from its end."""

    def __init__(self, max_blocks: int, rng: random.Random) -> None:
        self._max_blocks = max_blocks
        self._rng = rng
        self._blocks: OrderedDict[BlockHash, None] = OrderedDict()
        self._events: list[LoggedEvent] = []
        self._sequence = 0

    def cached_blocks(self, hashes: tuple[BlockHash, ...]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        for count, block in enumerate(hashes):
            if block not in self._blocks:
                return count
        return len(hashes)

    def has(self, block: BlockHash) -> bool:
        """Return whether a block is cached."""
        return block in self._blocks

    def store(self, hashes: tuple[BlockHash, ...], now_s: float) -> None:
        """Store a prompt's blocks, evicting others as needed."""
        kept = hashes[: self._max_blocks]
        stored = tuple(block for block in kept if block not in self._blocks)
        # The first block is marked as most recently used, so that a prefix is evicted from its end.
        for block in reversed(kept):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted: list[BlockHash] = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._log(now_s, stored, tuple(evicted))

    def clear(self, now_s: float) -> None:
        """Drop all blocks, as on loading another model."""
        evicted = tuple(self._blocks)
        self._blocks.clear()
        if evicted:
            self._log(now_s, (), evicted)

    def events(self, after: int, until_s: float, gap_share: float) -> list[LoggedEvent]:
        """Return the events after sequence number ``after`` and up to the time ``until_s``.

        The fraction ``gap_share`` of them is omitted at random.
        """
        found = [event for event in self._events if event.sequence > after]
        seen = [event for event in found if event.time_s <= until_s]
        return [event for event in seen if self._rng.random() >= gap_share]

    def _log(
        self, now_s: float, stored: tuple[BlockHash, ...], evicted: tuple[BlockHash, ...]
    ) -> None:
        self._sequence += 1
        self._events.append(LoggedEvent(now_s, self._sequence, stored, evicted))
        del self._events[:-MAX_KEPT_EVENTS]
