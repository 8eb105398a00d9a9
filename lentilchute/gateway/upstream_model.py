"""One upstream as the dispatcher sees it: what runs there, and what a request may expect."""

from dataclasses import dataclass

from ..ids import IncarnationId
from .estimates import (
    Learned,
    UpstreamRecord,
    merged_failure_rate,
    merged_gap_ms,
    merged_pace_ms,
)
from .fleet import UpstreamListing
from .messages import UpstreamLoad

FIXED_WORK_TOKENS = 4_000
"""A request's fixed cost in tokens of prompt: an engine's first step takes about as long."""
PEER_LOAD_LIFETIME_S = 3.0
"""Counts in a digest older than this are of no use: requests have ended since."""
FIRST_BLOCK_S = 0.25
LONGEST_BLOCK_S = 2.0
"""An upstream that cannot be connected to is left alone for this long, doubling each time."""


@dataclass(slots=True)
class _Running:
    prompt_tokens: int
    work_tokens: int
    sent_s: float
    has_first_event: bool = False


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """A peer's word on an upstream."""

    load: UpstreamLoad
    heard_s: float


class UpstreamModel:
    """Load and learned figures of one run of an upstream."""

    def __init__(self, listing: UpstreamListing, slots: int) -> None:
        self.listing = listing
        self.slots = slots
        self.record = UpstreamRecord()
        self._own: dict[int, _Running] = {}
        self._peers: dict[IncarnationId, PeerLoad] = {}
        self._blocked_until_s = float("-inf")
        self._block_s = FIRST_BLOCK_S

    @property
    def own_running(self) -> int:
        """Requests of this node at the upstream."""
        return len(self._own)

    @property
    def own_backlog_tokens(self) -> int:
        """Prompt tokens of this node's requests that have not shown their first event."""
        return sum(item.prompt_tokens for item in self._own.values() if not item.has_first_event)

    def is_blocked(self, now_s: float) -> bool:
        """Whether connecting failed a moment ago."""
        return now_s < self._blocked_until_s

    def running(self, now_s: float) -> int:
        """Requests of all nodes at the upstream."""
        return len(self._own) + sum(peer.load.running for peer in self._heard(now_s))

    def backlog_tokens(self, now_s: float) -> int:
        """Prompt tokens of all nodes that the upstream has still to read."""
        return self.own_backlog_tokens + sum(
            peer.load.backlog_tokens for peer in self._heard(now_s)
        )

    def oldest_digest_s(self, now_s: float) -> float:
        """Age of the oldest digest that counts."""
        return max((now_s - peer.heard_s for peer in self._heard(now_s)), default=0.0)

    def learned_parts(self, now_s: float) -> list[Learned]:
        """Return this node's figures and its peers'."""
        peers = [
            Learned(
                pace_ms=peer.load.pace_ms,
                pace_weight=peer.load.pace_weight,
                gap_ms=peer.load.gap_ms,
                gap_weight=peer.load.gap_weight,
                failures=peer.load.failures,
                results=peer.load.results,
            )
            for peer in self._heard(now_s)
        ]
        return [self.record.learned(now_s), *peers]

    def pace_ms(self, common_pace_ms: float, now_s: float) -> float:
        """Return milliseconds to the first event per thousand tokens of work."""
        return merged_pace_ms(self.learned_parts(now_s), common_pace_ms)

    def gap_s(self, common_gap_ms: float, now_s: float) -> float:
        """Return the time between two events of a stream."""
        return merged_gap_ms(self.learned_parts(now_s), common_gap_ms) / 1000

    def failure_rate(self, now_s: float) -> float:
        """Return the part of recent requests that failed."""
        return merged_failure_rate(self.learned_parts(now_s))

    def work_tokens(self, prompt_tokens: int, now_s: float) -> int:
        """Return what stands before the first event of a request sent now, in tokens."""
        return FIXED_WORK_TOKENS + self.backlog_tokens(now_s) + prompt_tokens

    def learn_peer(self, peer: IncarnationId, load: UpstreamLoad | None, now_s: float) -> None:
        """Take in a peer's word; ``None`` when its digest does not name the upstream."""
        if load is None:
            self._peers.pop(peer, None)
        else:
            self._peers[peer] = PeerLoad(load, now_s)

    def own_load(self, now_s: float) -> UpstreamLoad | None:
        """Return this node's word for its peers; ``None`` when there is nothing to say."""
        learned = self.record.learned(now_s)
        is_idle = not self._own and learned.pace_weight < 0.01 and learned.results < 0.01
        if is_idle:
            return None
        return UpstreamLoad(
            upstream=self.listing.upstream,
            running=len(self._own),
            backlog_tokens=self.own_backlog_tokens,
            pace_ms=learned.pace_ms,
            pace_weight=learned.pace_weight,
            gap_ms=learned.gap_ms,
            gap_weight=learned.gap_weight,
            failures=learned.failures,
            results=learned.results,
        )

    def start(self, ticket: int, prompt_tokens: int, work_tokens: int, now_s: float) -> None:
        """Count a request that was placed here."""
        self._own[ticket] = _Running(prompt_tokens, work_tokens, now_s)

    def first_event(self, ticket: int, now_s: float) -> None:
        """Note a request's first event, or the whole answer of a plain service."""
        item = self._own.get(ticket)
        if item is None or item.has_first_event:
            return
        item.has_first_event = True
        self.record.note_pace((now_s - item.sent_s) * 1e6 / item.work_tokens, now_s)

    def end(self, ticket: int) -> None:
        """Count a request as ended."""
        self._own.pop(ticket, None)

    def block(self, now_s: float) -> None:
        """Leave the upstream alone for a while: it could not be connected to."""
        self._blocked_until_s = now_s + self._block_s
        self._block_s = min(2 * self._block_s, LONGEST_BLOCK_S)

    def unblock(self) -> None:
        """Note that the upstream answers."""
        self._blocked_until_s = float("-inf")
        self._block_s = FIRST_BLOCK_S

    def _heard(self, now_s: float) -> list[PeerLoad]:
        return [
            peer for peer in self._peers.values() if now_s - peer.heard_s < PEER_LOAD_LIFETIME_S
        ]
