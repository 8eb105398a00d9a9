"""Which node coordinates, and whether it can be asked right now; free of I/O.

The strongest node alive coordinates; between equals a hash decides, so that all nodes that see the
same peers agree. Nothing depends on that agreement but how well upstreams are used: a node that
gets no answer from the coordinator places its requests itself.
"""

from collections.abc import Iterable

from ..ids import InstanceId
from ..peers.heartbeats import PeerInfo
from ..peers.rendezvous import rendezvous_score

ORDER_KEY = "coordinator"
STRENGTH_STEP = 0.25
"""Differences in processor cores below this do not decide."""
UNRESPONSIVE_PAUSE_S = 1.0
"""A coordinator that did not answer is not asked again for this long; by then peers suspect it."""


def coordination_order(alive: Iterable[PeerInfo]) -> list[InstanceId]:
    """Return the nodes in the order in which they coordinate."""
    ranked = sorted(
        alive,
        key=lambda info: (
            -round(info.strength / STRENGTH_STEP),
            -rendezvous_score(ORDER_KEY, info.instance),
        ),
    )
    return [info.instance for info in ranked]


class CoordinatorChoice:
    """One node's choice of whom to ask."""

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._coordinator = instance
        self._unresponsive_until_s: dict[InstanceId, float] = {}

    @property
    def coordinator(self) -> InstanceId:
        """The node that coordinates, as this node sees it."""
        return self._coordinator

    @property
    def is_own(self) -> bool:
        """Whether this node coordinates."""
        return self._coordinator == self._instance

    def update(self, alive: Iterable[PeerInfo]) -> bool:
        """Take in who is alive; return whether the coordinator has changed."""
        order = coordination_order(alive)
        coordinator = order[0] if order else self._instance
        is_changed = coordinator != self._coordinator
        self._coordinator = coordinator
        return is_changed

    def can_ask(self, now_s: float) -> bool:
        """Tell whether the coordinator is another node that answers, as far as is known."""
        if self.is_own:
            return False
        return self._unresponsive_until_s.get(self._coordinator, 0.0) <= now_s

    def mark_unresponsive(self, now_s: float) -> None:
        """Note that the coordinator did not answer, or would not."""
        self._unresponsive_until_s = {self._coordinator: now_s + UNRESPONSIVE_PAUSE_S}
