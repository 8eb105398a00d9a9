"""The places at upstreams that belong to one group of nodes; free of I/O.

A node that does not hear from the coordinator takes only places of its own, so that all nodes
together take no more than there are, even if each of them decides for itself. An upstream's places
are dealt to the nodes in an order by rendezvous hashing::

    own = OwnPlaces({"node-1"}, others=("node-2", "node-3"))
    own.count("upstream-1", slots=7, first=2)  # of the places 2 to 6
"""

from collections.abc import Iterable, Set

from ..ids import InstanceId, UpstreamId
from ..peers.rendezvous import rendezvous_order


class OwnPlaces:
    """Places of the nodes ``covered``, while ``others`` may use theirs.

    Nodes that exist but are not known by name are counted as ``unknown``.
    """

    def __init__(
        self, covered: Set[InstanceId], others: Iterable[InstanceId], unknown: int = 0
    ) -> None:
        self._covered = frozenset(covered)
        strangers = (f"unknown {number}" for number in range(unknown))
        self._nodes = tuple(sorted({*self._covered, *others, *strangers}))
        self._orders: dict[UpstreamId, list[str]] = {}
        self._counts: dict[tuple[UpstreamId, int, int], int] = {}

    def covering(self, covered: Set[InstanceId]) -> "OwnPlaces":
        """Return the places of other ones of the same nodes."""
        places = OwnPlaces(covered, ())
        places._nodes, places._orders = self._nodes, self._orders
        return places

    @property
    def nodes(self) -> int:
        """Number of all nodes."""
        return len(self._nodes)

    @property
    def covered(self) -> frozenset[InstanceId]:
        """The nodes whose places these are."""
        return self._covered

    @property
    def covers_others(self) -> bool:
        """Whether places of other nodes are covered too."""
        return len(self._covered) > 1

    @property
    def share(self) -> float:
        """The covered nodes' fraction of all nodes."""
        return len(self._covered) / len(self._nodes)

    def has_nodes(self, nodes: Set[InstanceId]) -> bool:
        """Return whether these are all the nodes."""
        return nodes == frozenset(self._nodes)

    def has_same_nodes(self, other: "OwnPlaces") -> bool:
        """Return whether both were made for the same nodes, of which they may cover others."""
        return self._nodes == other._nodes

    def count(self, upstream: UpstreamId, slots: int, first: int = 0) -> int:
        """Return how many of an upstream's places from ``first`` to ``slots - 1`` are owned."""
        key = upstream, slots, first
        count = self._counts.get(key)
        if count is None:
            count = self._counts[key] = self._count(upstream, slots, first)
        return count

    def _count(self, upstream: UpstreamId, slots: int, first: int) -> int:
        order = self._orders.get(upstream)
        if order is None:
            order = self._orders[upstream] = rendezvous_order(upstream, self._nodes)
        nodes, covered = len(order), self._covered
        return sum(order[place % nodes] in covered for place in range(first, slots))
