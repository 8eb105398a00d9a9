"""Selects the peer states that heartbeats carry: recent changes, and all peers in rotation.

Each node that learns of a change sends it a number of times that grows with the logarithm of the
number of peers, so that it is likely to reach all of them; the rotation repeats the state of every
known peer. The number of states selected for one heartbeat is bounded, so that its size does not
depend on the number of nodes.
"""

from ..ids import InstanceId

RETRANSMITS_PER_DOUBLING = 3
"""Number of times that a change is sent for each doubling of the number of peers."""


class GossipQueue:
    """Selects the peers whose states the next heartbeat carries."""

    def __init__(self, change_limit: int, rotation_limit: int) -> None:
        self._change_limit = change_limit
        self._rotation_limit = rotation_limit
        self._remaining: dict[InstanceId, int] = {}
        self._position = 0

    def enqueue_change(self, instance: InstanceId, peer_count: int) -> None:
        """Queue a change of the peer's state for dissemination to all others."""
        self._remaining[instance] = RETRANSMITS_PER_DOUBLING * (peer_count + 1).bit_length()

    def shorten(self, instance: InstanceId) -> None:
        """Send a change once for each doubling only, as most others know of it."""
        if instance in self._remaining:
            self._remaining[instance] //= RETRANSMITS_PER_DOUBLING

    def next_in_rotation(self, names: list[InstanceId]) -> list[InstanceId]:
        """Return the next names in the rotation over ``names``."""
        chosen: list[InstanceId] = []
        for _ in range(min(self._rotation_limit, len(names))):
            self._position = (self._position + 1) % len(names)
            chosen.append(names[self._position])
        return chosen

    def next_changes(self) -> list[InstanceId]:
        """Return the peers whose changes go into one heartbeat, those sent least often first."""
        by_remaining = sorted(self._remaining, key=lambda name: -self._remaining[name])
        chosen = by_remaining[: self._change_limit]
        for name in chosen:
            self._remaining[name] -= 1
            if self._remaining[name] <= 0:
                del self._remaining[name]
        return chosen
