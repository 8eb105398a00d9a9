"""Service during a long platform outage, and recovery after the loss of a node or a message."""

from collections import Counter

import pytest
from system_group import DRAFTS, LEDGER, NODES, System
from system_oracle import CallerRecord

from lentilchute.ids import ServiceName, shard_id
from lentilchute.scheduler.tickets import Outcome

OUTAGE_S = 600.0
SEND_INTERVAL_S = 1.0
MAX_REGRANT_S = 2.0
MAX_REFRESH_S = 2.5


def records_of(system: System, service: str) -> list[CallerRecord]:
    """Return the callers' records of one service."""
    return [one for one in system.oracle.records.values() if one.service == service]


def test_repeatable_work_goes_on_through_ten_minutes_without_the_platform() -> None:
    system = System(1, Counter())
    system.platform.is_down = True
    end_s = system.world.now_s + OUTAGE_S
    sent = 0
    while system.world.now_s < end_s:
        system.look_up()
        system.send(sent, DRAFTS, sent % 3, 10.0, None, None)
        system.send(sent, LEDGER, 0, 2.0, f"key-{sent}", f"posting-{sent}")
        sent += 1
        system.run_for(SEND_INTERVAL_S)
        system.check_deadlines()
    system.run_for(10.0)
    assert {one.end for one in records_of(system, DRAFTS)} == {"complete"}
    refusals = [one.refusal for one in records_of(system, LEDGER)]
    assert all(one is not None and one.outcome is Outcome.NOT_RUN for one in refusals)
    assert not system.oracle.key_runs
    system.platform.is_down = False
    system.send(0, LEDGER, 0, 10.0, "key-after", "posting-after")
    system.run_for(5.0)
    assert records_of(system, LEDGER)[-1].end == "complete"
    assert not system.leaks()


def waiting_requests(system: System) -> set[str]:
    """Return the requests that wait for a grant at the nodes that are up."""
    return {
        ticket.request_id
        for node in system.up_nodes()
        for ticket in node.entry.refresh(ServiceName(DRAFTS), system.world.now_s)[0]
    }


@pytest.mark.parametrize("victim", range(len(NODES)))
@pytest.mark.parametrize("seed", range(8))
def test_waiting_work_is_granted_again_within_two_seconds_of_a_loss(victim: int, seed: int) -> None:
    system = System(seed, Counter())
    for engine in system.upstreams.values():
        engine.is_slow = True
    # The victim's streams occupy all slots, and other requests wait.
    for _ in range(6):
        system.send(victim, DRAFTS, 0, 60.0, None, None)
    system.run_for(0.05)
    for number in range(4):
        system.send(victim + 1 + number % 2, DRAFTS, number % 3, 60.0, None, None)
    system.run_for(0.1 + seed * 0.03)
    system.nodes[NODES[victim]].kill()
    lost_s = system.world.now_s
    waiting = waiting_requests(system)
    assert waiting
    while waiting_requests(system) >= waiting and system.world.now_s < lost_s + 10.0:
        system.run_for(0.05)
    assert system.world.now_s - lost_s <= MAX_REGRANT_S
    system.run_for(30.0)
    assert not system.leaks()


def test_a_slot_whose_end_report_was_lost_is_freed_by_the_next_refresh() -> None:
    system = System(5, Counter())
    entry = system.nodes["entry-1"]
    scheduler = entry.membership.scheduler_order(shard_id(ServiceName(DRAFTS)), 0.0)[0]
    if scheduler == entry.name:
        entry = system.nodes["entry-2"]
    number = system.lookup.names.index(entry.name)
    for _ in range(6):
        system.send(number, DRAFTS, 0, 60.0, None, None)
    system.run_for(0.1)
    system.send(number, DRAFTS, 1, 60.0, None, None)
    system.run_for(0.02)
    assert waiting_requests(system)
    # The link loses every report of an end, but is restored before the entry is suspected.
    system.world.cuts.add((entry.name, scheduler))
    while len(entry.entry.refresh(ServiceName(DRAFTS), system.world.now_s)[1]) > 0:
        system.run_for(0.05)
    system.world.heal_links()
    system.run_for(MAX_REFRESH_S)
    assert not waiting_requests(system)
