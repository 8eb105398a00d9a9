"""Counts the memory that a node holds for its callers, and decides who gets more; free of I/O.

    memory = HeldMemory(room_bytes(150.0))
    holder = memory.open(tier, body_bytes, give_up, now_s)     # ``None``: no room for new work
    if not holder.add(len(part), now_s): ...            # no room, and nobody has to give way
    holder.close()

A holder is one request. Its reader is slow while bytes wait for it, lags once some have waited for
``LAG_AFTER_S`` without a break, and counts as dead once it has taken none for ``DEAD_AFTER_S``.
"""

import math
from collections.abc import Callable
from enum import Enum

from ..ids import Tier

PROCESS_BYTES = 72_000_000
"""What a process takes that serves nobody, with all modules loaded and a view of a large fleet."""
USABLE_SHARE = 0.7
"""Part of the rest that may be counted as held; the allocator loses some of it between blocks."""
MIN_ROOM_BYTES = 16_000_000
"""A node with less memory than a process is expected to take still serves what it can."""
REQUEST_BYTES = 64 * 1024
"""Counted for each request: its tasks, headers, parsers and what has arrived and is not read."""
CONNECTION_BYTES = 16 * 1024
"""Counted for each connection of a caller, beside what it holds."""
SMALL_BYTES = 128 * 1024
"""New work that brings less is small."""
OPERATOR_SHARE = 1.0
"""Part of the room that connections of those who watch the node may fill."""
SMALL_WORK_SHARE = 0.95
"""Part of the room that small new work of the highest tier may fill."""
LARGE_SHARE = 0.75
"""Part of the room that large new work, and what grows, may fill: large answers and slow readers
leave room for small requests."""
TIER_STEP = 0.05
"""New work of each tier may fill so much less than that of the tier above."""
LOWEST_TIER = 3
"""Tiers below are treated as this one."""
LEAVING_SHARE = 0.05
"""Connections that were given up may still hold this part of the room; others wait until they have
ended."""
LAG_AFTER_S = 1.0
"""Other callers have taken what waited for them by then, also after a lost packet."""
LAGGING_FACTOR = 2.0
"""A lagging reader gives way to an answer that needs less than this many times what it holds."""
DEAD_AFTER_S = 5.0
"""Callers with a slow link take something within this time; upstreams don't wait longer either."""

GiveUp = Callable[[], None]


class ReaderState(Enum):
    """What is known of the caller that a holder's bytes wait for."""

    READING = "reading"
    """It has taken all that was written."""
    SLOW = "slow"
    LAGGING = "lagging"
    DEAD = "dead"


def room_bytes(memory_mb: float | None) -> float:
    """Return how many bytes a process may hold for requests; infinity without a limit."""
    if memory_mb is None:
        return math.inf
    return max(MIN_ROOM_BYTES, USABLE_SHARE * (memory_mb * 1e6 - PROCESS_BYTES))


class HeldMemory:
    """The holders of one node."""

    def __init__(self, room_bytes: float = math.inf) -> None:
        self.room_bytes = room_bytes
        self.elsewhere: list[Callable[[], int]] = []
        """Each returns how many bytes are held that belong to no holder."""
        self.refused = 0
        """Requests for which there was no room."""
        self.given_up = {ReaderState.SLOW: 0, ReaderState.LAGGING: 0, ReaderState.DEAD: 0}
        """Readers that had to give way."""
        self._holders: set[Holder] = set()
        self._holder_bytes = 0
        self._leaving_bytes = 0
        """What connections that were given up, and have not ended yet, still hold."""

    @property
    def held_bytes(self) -> int:
        """All bytes that are counted."""
        return self._holder_bytes + sum(read() for read in self.elsewhere)

    @property
    def is_bounded(self) -> bool:
        """Whether the settings limit the memory."""
        return self.room_bytes < math.inf

    def has_room(self, size: int, tier: Tier, now_s: float) -> bool:
        """Return whether new work finds room; dead readers give way to it, and then lagging ones
        of its tier or below that hold more."""
        share = LARGE_SHARE if size > SMALL_BYTES else SMALL_WORK_SHARE
        return self._find_room(size, share - TIER_STEP * min(tier, LOWEST_TIER), tier, now_s)

    def _find_room(self, size: int, share: float, tier: Tier, now_s: float) -> bool:
        """Return whether new work finds room within a part of all, after others gave way."""
        if not self.is_bounded:
            return True
        excess = self.held_bytes + size - share * self.room_bytes
        if excess <= 0:
            return True
        victims = self._in_state(now_s, ReaderState.DEAD)
        victims += [
            each
            for each in self._in_state(now_s, ReaderState.LAGGING)
            if each.is_connection or (each.tier >= tier and each.held_bytes > size)
        ]
        return self._free(excess, victims, now_s)

    def open(
        self, tier: Tier, size: int, give_up: GiveUp, now_s: float, reserved: int = 0
    ) -> "Holder | None":
        """Return the holder of a new request that brings ``size`` bytes, or ``None``.

        ``give_up`` ends the request, at once or soon; it is called at most once. ``reserved`` bytes
        are counted for its answer, which finds room for them later.
        """
        wanted = REQUEST_BYTES + size + reserved
        if not self.has_room(wanted, tier, now_s):
            self.refused += 1
            return None
        holder = Holder(self, tier, give_up, reserved)
        self._holders.add(holder)
        self.count(holder, wanted)
        return holder

    def open_connection(
        self, give_up: GiveUp, now_s: float, *, is_operators: bool = False
    ) -> "Holder | None":
        """Return the holder of a new connection, or ``None``; see ``open``.

        It counts what belongs to no request that was admitted: input, and answers to requests that
        were refused. While it waits for its caller, no work is lost with it.

        ``is_operators`` says that it serves those who watch the node rather than callers.
        """
        share = OPERATOR_SHARE if is_operators else SMALL_WORK_SHARE
        if not self._find_room(CONNECTION_BYTES, share, Tier(0), now_s):
            self.refused += 1
            return None
        holder = Holder(self, Tier(LOWEST_TIER), give_up, connection_share=share)
        self._holders.add(holder)
        self.count(holder, CONNECTION_BYTES)
        return holder

    @property
    def is_short(self) -> bool:
        """Whether nothing should be held without need."""
        return self.held_bytes > LARGE_SHARE * self.room_bytes

    def give_up_dead_readers(self, now_s: float) -> None:
        """Give up dead readers, the largest first, as long as new work would find no room."""
        excess = self.held_bytes - LARGE_SHARE * self.room_bytes
        for holder in self._in_state(now_s, ReaderState.DEAD) if excess > 0 else ():
            if excess <= 0:
                break
            excess -= holder.held_bytes
            self._give_up(holder, now_s)

    def has_room_for_holder(self, holder: "Holder", size: int, now_s: float) -> bool:
        """Return whether a holder may grow; see the module's design note for who gives way."""
        if not self.is_bounded:
            return True
        is_small = holder.held_bytes + size <= SMALL_BYTES
        share = holder.connection_share if is_small else None
        if share is None:
            share = LARGE_SHARE
        excess = self.held_bytes + size - share * self.room_bytes
        if excess <= 0:
            return True
        victims = [each for each in self._in_state(now_s, ReaderState.DEAD) if each is not holder]
        if holder.may_displace(now_s):
            victims += self._displaced_by_growth(holder, holder.held_bytes + size, now_s)
        return self._free(excess, victims, now_s)

    def _displaced_by_growth(self, holder: "Holder", wanted: int, now_s: float) -> list["Holder"]:
        """Return the lagging and slow holders that give way to one that grows."""
        lagging = [
            each
            for each in self._in_state(now_s, ReaderState.LAGGING)
            if each.is_connection
            or (each.tier >= holder.tier and LAGGING_FACTOR * each.held_bytes > wanted)
        ]
        slow = [
            each
            for each in self._in_state(now_s, ReaderState.SLOW)
            if each.tier >= holder.tier and each.held_bytes > wanted
        ]
        return lagging + slow

    def count(self, holder: "Holder", size: int) -> None:
        """Count bytes that a holder has taken, or given back if negative."""
        if holder in self._holders:
            holder.held_bytes += size
            self._holder_bytes += size

    def close(self, holder: "Holder") -> None:
        """Forget a holder and what it held."""
        if holder in self._holders:
            self._holders.remove(holder)
            self._holder_bytes -= holder.held_bytes
        elif holder.is_given_up and holder.is_connection:
            self._leaving_bytes -= holder.held_bytes
            holder.held_bytes = 0

    def _in_state(self, now_s: float, state: ReaderState) -> list["Holder"]:
        """Return the holders whose readers are in a state, the first to be given up first."""
        found = [holder for holder in self._holders if holder.state(now_s) is state]
        return sorted(found, key=lambda holder: (-holder.tier, -holder.held_bytes, holder.number))

    def _free(self, excess: float, victims: list["Holder"], now_s: float) -> bool:
        """Give up as many of the victims as is needed, unless all of them are not enough."""
        if sum(victim.held_bytes for victim in victims) < excess:
            return False
        for victim in victims:
            if excess <= 0:
                break
            if victim.is_connection and self._leaving_bytes > LEAVING_SHARE * self.room_bytes:
                return False
            excess -= victim.held_bytes
            self._give_up(victim, now_s)
        return True

    def _give_up(self, victim: "Holder", now_s: float) -> None:
        self.given_up[victim.state(now_s)] += 1
        victim.is_given_up = True
        self.close(victim)
        if victim.is_connection:
            self._leaving_bytes += victim.held_bytes
        victim.give_up()


class Holder:
    """What one request holds."""

    _last_number = 0

    def __init__(
        self,
        memory: HeldMemory,
        tier: Tier,
        give_up: GiveUp,
        reserved: int = 0,
        *,
        connection_share: float | None = None,
    ) -> None:
        Holder._last_number += 1
        self.number = Holder._last_number
        self.tier = tier
        self.give_up = give_up
        self.connection_share = connection_share
        """Part of the room that it may fill if it is small; ``None`` unless it counts a connection,
        which waits for input as well as for a reader."""
        self.held_bytes = 0
        self.is_given_up = False
        """Whether the request has to make room for others."""
        self._memory = memory
        self._reserved = reserved
        self._slow_since_s: float | None = None
        """Since when bytes have waited for the caller all the time."""
        self._untaken_since_s = 0.0
        """Since when it has taken none of them."""

    @property
    def is_bounded(self) -> bool:
        """Whether the node's memory is limited."""
        return self._memory.is_bounded

    def state(self, now_s: float) -> ReaderState:
        """Return what is known of the caller."""
        if self._slow_since_s is None:
            return ReaderState.READING
        if now_s - self._untaken_since_s >= DEAD_AFTER_S:
            return ReaderState.DEAD
        is_lagging = now_s - self._slow_since_s >= LAG_AFTER_S
        return ReaderState.LAGGING if is_lagging else ReaderState.SLOW

    @property
    def is_connection(self) -> bool:
        """Whether it counts a connection rather than a request."""
        return self.connection_share is not None

    def may_displace(self, now_s: float) -> bool:
        """Return whether others that are slow may give way to this one's growth."""
        state = self.state(now_s)
        if self.is_connection:
            # A connection is slow as soon as it waits for the rest of a request.
            return state in (ReaderState.READING, ReaderState.SLOW)
        return state is ReaderState.READING

    def is_short(self) -> bool:
        """Return whether the node's memory is short."""
        return self._memory.is_short

    def add(self, size: int, now_s: float) -> bool:
        """Count more bytes if there is room for them; return whether there was."""
        more = max(0, size - self._reserved)
        if more and not self._memory.has_room_for_holder(self, more, now_s):
            return False
        self._reserved -= size - more
        self._memory.count(self, more)
        return True

    def add_always(self, size: int) -> None:
        """Count bytes that cannot be refused any more."""
        self._memory.count(self, size)

    def remove(self, size: int) -> None:
        """Count bytes as given back."""
        self._memory.count(self, -size)

    def record_unread(self, now_s: float) -> None:
        """Record that bytes begin to wait for the caller, or that it took some and others wait."""
        self._untaken_since_s = now_s
        if self._slow_since_s is None:
            self._slow_since_s = now_s

    def record_all_read(self) -> None:
        """Record that no bytes wait for the caller."""
        self._slow_since_s = None

    def close(self) -> None:
        """Give everything back."""
        self._memory.close(self)
