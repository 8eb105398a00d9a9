"""Selects the coordinator, and tracks whether it can be asked; free of I/O.

The strongest live node, by the processor cores that it may use, coordinates; a hash breaks ties, so
that all nodes that see the same peers agree. Disagreement only affects how well upstreams are used:
a node that gets no reply from the coordinator asks the next node in the order, the deputy, and
places its requests locally if that one is silent too.
"""

from collections.abc import Iterable

from ..ids import InstanceId
from ..peers.heartbeats import PeerInfo
from ..peers.rendezvous import rendezvous_score

ORDER_KEY = "coordinator"
STRENGTH_STEP = 0.25
"""Processor cores are rounded to this step before they are compared, so that small differences are
ignored."""
UNRESPONSIVE_PAUSE_S = 1.0
"""A coordinator that did not reply is not asked again for this long; by then its peers suspect
it."""
LIVES_S = 2.0
"""A coordinator that replied in time this long ago, and to each ticket since, is taken to live."""

KEEP_PLACES_S = 10.0
"""A node that lost the coordinator keeps the places of its requests for this long; peers count them
until they forget the node, which takes longer."""
FULL_COVER_SHARE = 0.25
"""A coordinator of fewer of the nodes fills only places that belong to these: it is probably cut
off, and the others go on with theirs."""


def coordination_order(alive: Iterable[PeerInfo]) -> list[InstanceId]:
    """Return the nodes in the order in which they become coordinator."""
    ranked = sorted(
        alive,
        key=lambda info: (
            -round(info.strength / STRENGTH_STEP),
            -rendezvous_score(ORDER_KEY, info.instance),
        ),
    )
    return [info.instance for info in ranked]


class CoordinatorChoice:
    """One node's choice of coordinator."""

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._coordinator = instance
        self._deputy: InstanceId | None = None
        self._unresponsive_until_s: dict[InstanceId, float] = {}
        self._silent_since_s: float | None = None
        self._heard_s: dict[InstanceId, float] = {}
        self._unanswered_since_s: dict[InstanceId, float] = {}

    @property
    def coordinator(self) -> InstanceId:
        """The coordinator, as this node sees it."""
        return self._coordinator

    @property
    def is_coordinator(self) -> bool:
        """Whether this node is the coordinator."""
        return self._coordinator == self._instance

    def update(self, alive: Iterable[PeerInfo]) -> bool:
        """Apply the live nodes; return whether the coordinator has changed."""
        order = coordination_order(alive)
        coordinator = order[0] if order else self._instance
        is_changed = coordinator != self._coordinator
        self._coordinator = coordinator
        self._deputy = order[1] if len(order) > 1 else None
        if is_changed:
            self._silent_since_s = None
        return is_changed

    def can_ask(self, now_s: float) -> bool:
        """Return whether the coordinator or the deputy is another node that has not been marked
        as unresponsive."""
        return self._responsive(now_s) is not None

    def next_to_ask(self, now_s: float) -> InstanceId | None:
        """Return the node to ask about a ticket, or ``None`` when this node decides.

        A node that has left a ticket undecided is tried with one ticket at a time.
        """
        if not self.can_ask(now_s):
            return None
        node = self._responsive(now_s)
        if node in self._unresponsive_until_s:
            self._unresponsive_until_s[node] = now_s + UNRESPONSIVE_PAUSE_S
        return node

    def hears_coordinator(self, now_s: float) -> bool:
        """Return whether the coordinator has decided about a ticket of this node lately, or
        declined one."""
        return now_s - self._heard_s.get(self._coordinator, float("-inf")) < LIVES_S

    def deputy(self, now_s: float) -> InstanceId | None:
        """Return the deputy, if it is another node that decides for a silent coordinator."""
        node = self._deputy
        if not self.is_silent(now_s) or node is None or node == self._instance:
            return None
        return node if self._unresponsive_until_s.get(node, 0.0) <= now_s else None

    def _responsive(self, now_s: float) -> InstanceId | None:
        for node in (self._coordinator, self._deputy):
            if node is None or node == self._instance:
                return None
            if self._unresponsive_until_s.get(node, 0.0) <= now_s:
                return node
        return None

    def mark_answered(self, asked: InstanceId) -> None:
        """Mark that a node has replied in time."""
        self._unanswered_since_s.pop(asked, None)

    def mark_unanswered(
        self, asked: InstanceId, asked_s: float, now_s: float, allowed_s: float
    ) -> None:
        """Mark that a node has not replied about a ticket that could not wait for long.

        The node is unresponsive once nothing has been answered for ``allowed_s``: that a ticket had
        less time says nothing of those that have more.
        """
        since_s = self._unanswered_since_s.setdefault(asked, asked_s)
        if now_s - since_s >= allowed_s:
            self.mark_unresponsive(asked, now_s)

    def mark_unresponsive(self, asked: InstanceId, now_s: float, pause_s: float = 0.0) -> None:
        """Mark a node as unresponsive after a missing reply or a decline, for the time that it
        named, if any.

        That an earlier coordinator has not replied says nothing of the present one.
        """
        if asked not in (self._coordinator, self._deputy):
            return
        self._unresponsive_until_s = {
            node: until_s
            for node, until_s in self._unresponsive_until_s.items()
            if node in (self._coordinator, self._deputy)
        }
        self._unresponsive_until_s[asked] = now_s + (pause_s or UNRESPONSIVE_PAUSE_S)
        if pause_s:
            self._heard_s[asked] = now_s
        else:
            self._heard_s.pop(asked, None)
        if asked == self._coordinator and self._silent_since_s is None:
            self._silent_since_s = now_s

    def mark_responsive(self, asked: InstanceId, asked_s: float) -> bool:
        """Mark that a node has decided in time about a ticket that it was asked about at a time;
        return whether it is the coordinator and was silent until then."""
        self._unresponsive_until_s.pop(asked, None)
        self._heard_s[asked] = asked_s
        if asked != self._coordinator:
            return False
        was_silent = self._silent_since_s is not None and asked_s > self._silent_since_s
        if was_silent:
            self._silent_since_s = None
        return was_silent

    def is_silent(self, now_s: float) -> bool:
        """Return whether the coordinator is another node that has left tickets undecided, and
        still counts what it placed for this node."""
        if self.is_coordinator or self._silent_since_s is None:
            return False
        return now_s - self._silent_since_s < KEEP_PLACES_S
