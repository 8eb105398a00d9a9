"""How many requests a candidate may get before it is judged good; free of I/O.

The bound counts from the order of the roll-out, over all nodes. One node spends it, the
coordinator. It persists a block of requests before it sends them, so that its successor, which
cannot know how many of them were sent, counts the whole block.
"""

from math import inf

SAFETY = 0.9
"""Fraction of the bound that is spent, as headroom for what was sent and is not reported yet."""
SLACK_SPREAD_S = 5.0
"""Time over which the slack is handed out, so that some is left for a fault that begins late."""
HEAD_START = 0.5
"""Part of the slack that is sent beside the share, so that evidence comes in early."""


class ExposureBudget:
    """The budget of one roll-out.

    >>> budget = ExposureBudget(share=0.1, slack=50.0)
    >>> ceiling = budget.reserve(20)  # written to the store, then:
    >>> budget.confirm(ceiling)
    >>> budget.may_send(now_s=0.0)
    True
    """

    def __init__(self, share: float, slack: float) -> None:
        self._share = share
        self._slack = slack
        self._total = 0
        self._exposed = 0
        self._confirmed = 0
        self._is_binding = True
        self._began_s: float | None = None

    @property
    def total(self) -> int:
        """Requests of the service since the order, as far as they are known."""
        return self._total

    @property
    def exposed(self) -> int:
        """Requests that the candidate got, or may have got, since the order."""
        return self._exposed

    @property
    def usable_share(self) -> float:
        """Share of the service's requests that is spent without the slack."""
        return SAFETY * self._share

    @property
    def reserved_left(self) -> int:
        """Requests that may still be sent before another block must be persisted."""
        return max(0, self._confirmed - self._exposed)

    def may_send(self, now_s: float) -> bool:
        """Return whether the candidate may get a request now."""
        if not self._is_binding:
            return True
        allowed = SAFETY * (self._share * self._total + self._slack * self._spread(now_s))
        return self._exposed + 1 <= min(allowed, self._confirmed)

    def due(self, most_share: float, now_s: float) -> float:
        """Return how many requests should be sent to the candidate by now: ``most_share`` of the
        service's requests at most, and some of the slack."""
        share = min(most_share, self.usable_share)
        head_start = HEAD_START * self._slack * self._spread(now_s)
        return share * self._total + head_start - self._exposed

    def _spread(self, now_s: float) -> float:
        if self._began_s is None:
            self._began_s = now_s
        return min(1.0, 0.2 + 0.8 * (now_s - self._began_s) / SLACK_SPREAD_S)

    def record_request(self, count: int = 1) -> None:
        """Count requests of the service, at whichever version."""
        self._total += count

    def record_candidate(self, count: int = 1) -> None:
        """Count attempts at the candidate: first ones, repeats and resumed streams alike."""
        self._exposed += count

    def reserve(self, n: int) -> int:
        """Return the number to persist as spent before ``n`` more requests are sent, at most what
        the bound allows when all its slack is handed out."""
        allowed = int(SAFETY * (self._share * self._total + self._slack))
        return max(self._confirmed, self._exposed, min(self._exposed + n, allowed))

    def confirm(self, ceiling: int) -> None:
        """Note that ``ceiling``, which ``reserve`` returned, is persisted."""
        self._confirmed = max(self._confirmed, ceiling)

    def restore(self, total: int, exposed: int) -> None:
        """Go on with persisted figures, as a successor: a reserved block counts as spent. Figures
        that are lower than what is known change nothing."""
        self._total = max(self._total, total)
        self._exposed = max(self._exposed, exposed)
        self._confirmed = max(self._confirmed, exposed)
        if exposed > 0 and self._began_s is None:
            # The slack was handed out by another node.
            self._began_s = -inf

    def release(self) -> None:
        """Lift the bound: the candidate is judged good."""
        self._is_binding = False

    def bind(self) -> None:
        """Set the bound again, for a candidate that turned out bad."""
        self._is_binding = True
