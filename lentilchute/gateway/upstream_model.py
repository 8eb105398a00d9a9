"""One upstream as the dispatcher sees it: what runs there, and what a request may expect."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import IncarnationId
from .estimates import (
    UpstreamEstimate,
    UpstreamStatistics,
    merged_failure_rate,
    merged_gap_ms,
    merged_pace_ms,
)
from .fleet import UpstreamListing
from .messages import UpstreamLoad
from .tickets import TicketKey

FIXED_WORK_TOKENS = 4_000
"""A request's fixed cost in tokens of prompt: an engine's first step takes about as long."""
DIGEST_COUNTS_MAX_AGE_S = 2.0
"""Counts in a digest older than this are of no use: requests have ended since."""
DIGEST_ESTIMATES_MAX_AGE_S = 20.0
"""What a digest says of an upstream's pace is of use for longer."""
ESTIMATE_CACHE_S = 0.1
"""Learned figures fade over seconds, so that they are worked out at most ten times a second."""
INITIAL_BLOCK_S = 0.25
MAX_BLOCK_S = 2.0
"""An upstream that cannot be connected to is left alone for this long, doubling each time."""


@dataclass(slots=True)
class RunningRequest:
    """One request at the upstream."""

    prompt_tokens: int
    work_tokens: int
    sent_s: float
    has_first_event: bool = False


class UpstreamModel:
    """Load and learned figures of one run of an upstream."""

    def __init__(self, listing: UpstreamListing, slots: int) -> None:
        self.listing = listing
        self.slots = slots
        self.statistics = UpstreamStatistics()
        self.requests: dict[TicketKey, RunningRequest] = {}
        self._digest: UpstreamLoad | None = None
        self._digest_s = float("-inf")
        self._blocked_until_s = float("-inf")
        self._block_s = INITIAL_BLOCK_S
        self._estimates: list[UpstreamEstimate] = []
        self._estimated_s = float("-inf")
        self._failure_rate = 0.0
        self._failure_rate_s = float("-inf")

    def is_blocked(self, now_s: float) -> bool:
        """Whether connecting failed a moment ago."""
        return now_s < self._blocked_until_s

    def running(self, now_s: float) -> int:
        """Requests at the upstream: those counted here, or more where a digest told so."""
        reported = self._digest.running if self._digest and self._counts_are_fresh(now_s) else 0
        return max(len(self.requests), reported)

    def backlog_tokens(self, now_s: float) -> int:
        """Prompt tokens that the upstream has still to read."""
        reported = (
            self._digest.backlog_tokens if self._digest and self._counts_are_fresh(now_s) else 0
        )
        return max(self._local_backlog_tokens(), reported)

    def pace_ms(self, common_pace_ms: float, now_s: float) -> float:
        """Return milliseconds to the first event per thousand tokens of work."""
        return merged_pace_ms(self.estimates(now_s), common_pace_ms)

    def gap_s(self, common_gap_ms: float, now_s: float) -> float:
        """Return the time between two events of a stream."""
        return merged_gap_ms(self.estimates(now_s), common_gap_ms) / 1000

    def failure_rate(self, now_s: float) -> float:
        """Return the part of recent requests that failed."""
        if now_s - self._failure_rate_s >= ESTIMATE_CACHE_S:
            self._failure_rate = merged_failure_rate(self.estimates(now_s))
            self._failure_rate_s = now_s
        return self._failure_rate

    def work_tokens(self, prompt_tokens: int, now_s: float) -> int:
        """Return what stands before the first event of a request sent now, in tokens."""
        return FIXED_WORK_TOKENS + self.backlog_tokens(now_s) + prompt_tokens

    def estimates(self, now_s: float) -> list[UpstreamEstimate]:
        """Return what was reported here, and what a digest said; kept for a moment."""
        if now_s - self._estimated_s >= ESTIMATE_CACHE_S:
            self._estimates = self._compute_estimates(now_s)
            self._estimated_s = now_s
        return self._estimates

    def _compute_estimates(self, now_s: float) -> list[UpstreamEstimate]:
        estimates = [self.statistics.estimate(now_s)]
        age_s = now_s - self._digest_s
        if self._digest is not None and age_s < DIGEST_ESTIMATES_MAX_AGE_S:
            decay = 1.0 - age_s / DIGEST_ESTIMATES_MAX_AGE_S
            estimates.append(
                UpstreamEstimate(
                    pace_ms=self._digest.pace_ms,
                    pace_weight=self._digest.pace_weight * decay,
                    gap_ms=self._digest.gap_ms,
                    gap_weight=self._digest.gap_weight * decay,
                    failures=self._digest.failures * decay,
                    results=self._digest.results * decay,
                )
            )
        return estimates

    def apply_digest(self, load: UpstreamLoad, now_s: float) -> None:
        """Take in the coordinator's word on the upstream."""
        self._digest = load
        self._digest_s = now_s
        self._estimated_s = float("-inf")
        self._failure_rate_s = float("-inf")

    def load(self, now_s: float) -> UpstreamLoad:
        """Return what is known here, for a digest."""
        estimate = self.statistics.estimate(now_s)
        return UpstreamLoad(
            upstream=self.listing.upstream,
            running=self.running(now_s),
            backlog_tokens=self.backlog_tokens(now_s),
            pace_ms=estimate.pace_ms,
            pace_weight=estimate.pace_weight,
            gap_ms=estimate.gap_ms,
            gap_weight=estimate.gap_weight,
            failures=estimate.failures,
            results=estimate.results,
        )

    def add_request(
        self, key: TicketKey, prompt_tokens: int, work_tokens: int, now_s: float
    ) -> None:
        """Count a request that was placed here."""
        self.requests[key] = RunningRequest(prompt_tokens, work_tokens, now_s)

    def record_first_event(self, key: TicketKey, took_s: float, now_s: float) -> None:
        """Note a request's first event, or the whole answer of a plain service."""
        item = self.requests.get(key)
        if item is None or item.has_first_event:
            return
        item.has_first_event = True
        self.statistics.record_pace(took_s * 1e6 / item.work_tokens, now_s)

    def remove_request(self, key: TicketKey) -> None:
        """Count a request as ended."""
        self.requests.pop(key, None)

    def keep_only(
        self, node: IncarnationId, keys: Iterable[TicketKey], before_s: float = float("inf")
    ) -> None:
        """Drop a node's requests from before a time that it does not name any more."""
        kept = set(keys)
        self.requests = {
            key: item
            for key, item in self.requests.items()
            if key.node != node or key in kept or item.sent_s >= before_s
        }

    def block(self, now_s: float) -> None:
        """Leave the upstream alone for a while: it could not be connected to."""
        if self.is_blocked(now_s):
            return
        self._blocked_until_s = now_s + self._block_s
        self._block_s = min(2 * self._block_s, MAX_BLOCK_S)

    def unblock(self) -> None:
        """Note that the upstream answers."""
        self._blocked_until_s = float("-inf")
        self._block_s = INITIAL_BLOCK_S

    def _counts_are_fresh(self, now_s: float) -> bool:
        return now_s - self._digest_s < DIGEST_COUNTS_MAX_AGE_S

    def _local_backlog_tokens(self) -> int:
        waiting = (item for item in self.requests.values() if not item.has_first_event)
        return sum(item.prompt_tokens for item in waiting)
