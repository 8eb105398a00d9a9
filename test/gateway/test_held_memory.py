"""What a node holds for its callers, and who gives way, under loads without a network."""

import random

import pytest

from lentilchute.gateway.held_memory import (
    DEAD_AFTER_S,
    LAG_AFTER_S,
    LEAVING_SHARE,
    PROCESS_BYTES,
    REQUEST_BYTES,
    HeldMemory,
    Holder,
    ReaderState,
    room_bytes,
)
from lentilchute.ids import Tier

MB = 1_000_000
NODE_MB = 150.0
"""The memory of the smallest node."""


class Load:
    """A node under load; records who was given up."""

    def __init__(self, memory_mb: float | None = NODE_MB) -> None:
        self.memory = HeldMemory(room_bytes(memory_mb))
        self.ended: list[str] = []
        self.connections: list[Holder] = []
        self.now_s = 0.0

    def open(self, name: str, size: int = 0, tier: int = 0) -> Holder | None:
        return self.memory.open(Tier(tier), size, lambda: self.ended.append(name), self.now_s)

    def opened(self, name: str, size: int = 0, tier: int = 0) -> Holder:
        holder = self.open(name, size, tier)
        assert holder is not None
        return holder

    def connect(self, name: str) -> Holder | None:
        """Open a connection, which holds nothing yet."""
        holder = self.memory.open_connection(lambda: self.ended.append(name), self.now_s)
        if holder is not None:
            self.connections.append(holder)
        return holder

    def end_given_up(self) -> None:
        """End the connections that were given up, as their tasks do."""
        for holder in self.connections:
            if holder.is_given_up:
                holder.close()
        self.connections = [each for each in self.connections if not each.is_given_up]

    def slow(self, name: str, size: int, tier: int = 0) -> Holder:
        """Open a request whose answer waits for its caller."""
        holder = self.opened(name, tier=tier)
        holder.add_always(size)
        holder.record_unread(self.now_s)
        return holder


def test_without_a_limit_all_is_taken() -> None:
    """Guards against a node without the setting refusing or giving up what it served before."""
    load = Load(None)
    for number in range(500):
        load.slow(str(number), MB)
    load.now_s = 2 * DEAD_AFTER_S
    assert load.opened("new", 100 * MB).add(100 * MB, load.now_s)
    assert not load.ended


def test_500_slow_readers_leave_room_for_others() -> None:
    """Guards against 500 callers that don't take their streams filling a node of 150 MB."""
    load = Load()
    refused = 0
    for number in range(500):
        holder = load.open(str(number))
        if holder is None:
            refused += 1
            continue
        holder.record_unread(load.now_s)
        while holder.held_bytes < 4 * REQUEST_BYTES and holder.add(4_096, load.now_s):
            pass
    assert load.memory.held_bytes <= room_bytes(NODE_MB)
    assert PROCESS_BYTES + room_bytes(NODE_MB) < NODE_MB * MB
    assert load.memory.refused == refused > 0
    assert not load.ended, "slow readers are left alone while nobody else needs the room"
    load.now_s += DEAD_AFTER_S
    assert load.open("new") is not None, "dead readers give way to new work"
    assert load.memory.given_up[ReaderState.DEAD] == len(load.ended) > 0


def test_slow_reader_that_takes_a_little_is_not_dead() -> None:
    """Guards against a caller with a slow link losing its answer to work of a lower tier, or to
    larger work."""
    load = Load()
    holder = load.slow("slow", 50 * MB)
    for _ in range(10):
        load.now_s += DEAD_AFTER_S - 0.1
        assert load.open("lower", 2 * MB, tier=1) is None
        assert load.open("larger", 51 * MB) is None
        holder.record_unread(load.now_s)
        assert holder.state(load.now_s) is ReaderState.LAGGING
    assert not load.ended
    load.now_s += DEAD_AFTER_S
    assert load.open("lower", 2 * MB, tier=1) is not None
    assert load.ended == ["slow"]


def test_lagging_readers_do_not_keep_others_from_being_served() -> None:
    """Guards against slow callers that fill a node, so that the requests of all others are
    refused."""
    load, refused = Load(), 0
    for second in range(20):
        load.now_s = float(second)
        for number in range(25):
            holder = load.open(f"slow-{second}-{number}")
            if holder is not None and holder.add(MB, load.now_s):
                holder.record_unread(load.now_s)
        load.now_s += LAG_AFTER_S
        for number in range(25):
            small = load.open(f"small-{number}", 1_000)
            refused += small is None
            if small is not None:
                assert small.add(10_000, load.now_s)
                small.close()
        assert load.memory.held_bytes <= room_bytes(NODE_MB)
    assert not refused
    assert not any(name.startswith("small") for name in load.ended)


def test_large_slow_answer_gives_way_to_smaller_ones() -> None:
    """Guards against one slow caller's large answer costing the answers of many others."""
    load = Load()
    large, small = load.slow("large", 30 * MB, tier=1), load.slow("small", 5 * MB, tier=1)
    reading = load.opened("reading", tier=1)
    assert reading.add(10 * MB, load.now_s), "there is room"
    assert reading.add(12 * MB, load.now_s)
    assert load.ended == ["large"]
    assert small.held_bytes and not load.memory.held_bytes > load.memory.room_bytes
    large.close()
    assert load.memory.held_bytes == reading.held_bytes + small.held_bytes, "given back once"


def test_higher_tier_does_not_give_way_to_a_lower_one() -> None:
    """Guards against bulk work of a low tier cutting off answers of a higher one."""
    load = Load()
    low = load.opened("low", tier=1)
    load.slow("other", 8 * MB, tier=1)
    load.slow("high", 30 * MB, tier=0)
    assert not low.add(20 * MB, load.now_s)
    assert not load.ended
    assert low.add(6 * MB, load.now_s)
    assert load.ended == ["other"]


def test_lower_tiers_are_refused_first() -> None:
    """Guards against new work of a low tier taking the room of a higher one."""
    load = Load()
    while load.open("low", MB, tier=2):
        pass
    assert load.open("low", MB, tier=2) is None
    assert load.open("high", MB, tier=0) is not None


def test_reader_that_grows_does_not_push_others_out() -> None:
    """Guards against slow readers that give each other up in turn."""
    load = Load()
    first, second = load.slow("first", 27 * MB), load.slow("second", 26 * MB)
    assert not second.add(4 * MB, load.now_s)
    assert not first.add(4 * MB, load.now_s)
    assert not load.ended


@pytest.mark.parametrize("seed", range(5))
def test_counts_return_to_zero(seed: int) -> None:
    """Guards against memory that stays counted after its request ended, however it ended."""
    load, rng = Load(), random.Random(seed)
    holders: list[Holder] = []
    for step in range(3_000):
        load.now_s += rng.random()
        holder = load.open(str(step), rng.randrange(MB), rng.randrange(3))
        if holder is not None:
            holders.append(holder)
        each = rng.choice(holders)
        if each.add(size := rng.randrange(2 * MB), load.now_s) and rng.random() < 0.5:
            each.remove(size)
        if rng.random() < 0.3:
            each.record_unread(load.now_s)
        else:
            rng.choice((each.record_all_read, each.close))()
        assert 0 <= load.memory.held_bytes <= room_bytes(NODE_MB)
    assert load.ended
    for each in holders:
        each.close()
    assert load.memory.held_bytes == 0


def test_stalled_connections_give_way_to_new_work() -> None:
    """Guards against requests that stop short of their end keeping all others out."""
    load = Load()
    stalled = []
    while (holder := load.connect(f"stalled-{len(stalled)}")) and holder.add(20_000, load.now_s):
        holder.record_unread(load.now_s)
        stalled.append(holder)
    assert len(stalled) > 1_000
    assert load.open("new", tier=2) is None, "callers that have only just begun are left alone"
    load.now_s += LAG_AFTER_S
    tries = 0
    while load.open("new", 10_000, tier=2) is None and tries < 10:
        tries += 1
        load.end_given_up()
    assert tries <= 3, "a few refusals at most, while those that gave way end"
    load.end_given_up()
    grown = load.connect("grown")
    assert grown is not None and grown.add(100_000, load.now_s)
    assert load.ended and all(name.startswith("stalled") for name in load.ended)


def test_room_of_connections_that_gave_way_is_used_when_they_have_ended() -> None:
    """Guards against memory that is counted as free while many tasks still hold it: they end in a
    later pass of the loop, and each pass may give up hundreds."""
    load = Load()
    while (holder := load.connect("stalled")) and holder.add(300_000, load.now_s):
        holder.record_unread(load.now_s)
    load.now_s += DEAD_AFTER_S
    for number in range(500):
        holder = load.connect(f"new-{number}")
        if holder is not None and holder.add(300_000, load.now_s):
            holder.record_unread(load.now_s)
        still_held = 316_384 * len(load.ended)
        assert still_held <= LEAVING_SHARE * load.memory.room_bytes + 316_384
    holder = load.connect("last")
    assert holder is not None
    for _ in range(10):
        load.end_given_up()
        has_room = holder.add(300_000, load.now_s)
        if has_room:
            break
    assert has_room, "each time some more have ended"


def test_large_input_leaves_room_for_small_requests() -> None:
    """Guards against a few large bodies, all on their way, keeping small ones out."""
    load = Load()
    large = 0
    while (holder := load.connect(f"large-{large}")) and holder.add(8 * MB, load.now_s):
        holder.record_unread(load.now_s)
        large += 1
    assert large >= 3
    small = load.connect("small")
    assert small is not None and small.add(100_000, load.now_s)
    assert load.open("small", 50_000, tier=1) is not None
    assert not load.ended


def test_connection_that_waits_for_no_caller_is_left_alone() -> None:
    """Guards against connections between two requests, or with a request that is being served,
    being given up."""
    load = Load()
    while (holder := load.connect("idle")) and holder.add(20_000, load.now_s):
        holder.record_unread(load.now_s)
        holder.record_all_read()
    load.now_s += 10 * DEAD_AFTER_S
    assert load.open("new", MB) is None
    assert not load.ended


def test_those_who_watch_a_full_node_are_answered() -> None:
    """Guards against a node that counts as down because its callers have filled its memory."""
    load = Load()
    while (holder := load.connect("idle")) and holder.add(20_000, load.now_s):
        pass
    assert load.connect("caller") is None
    watch = load.memory.open_connection(lambda: None, load.now_s, is_operators=True)
    assert watch is not None and watch.add(20_000, load.now_s)


def test_stalled_connection_does_not_push_others_out() -> None:
    load = Load()
    first, second = load.connect("first"), load.connect("second")
    assert first is not None and second is not None
    assert first.add(25 * MB, 0.0) and second.add(15 * MB, 0.0)
    first.record_unread(0.0)
    second.record_unread(0.0)
    load.now_s = LAG_AFTER_S
    assert not second.add(4 * MB, load.now_s)
    assert not load.ended
