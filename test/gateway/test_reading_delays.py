"""Tests how often nodes ask a store that does not answer."""

import random
from types import SimpleNamespace
from typing import Any

from gateway_samples import READING

from lentilchute.gateway.fleet import Fleet
from lentilchute.gateway.reading import MAX_RETRY_INTERVAL_S, RETRY_INTERVAL_S, ReadingController
from lentilchute.platform.store import StoreClient


def _controller(rank: int) -> ReadingController:
    alive = [SimpleNamespace(instance=f"n{number:03}") for number in range(200)]
    context: Any = SimpleNamespace(
        settings=SimpleNamespace(reading=READING),
        store=StoreClient("127.0.0.1:1", 1.0),
        fleet=Fleet(),
        instance=f"n{rank:03}",
        rng=random.Random(1),
        membership=SimpleNamespace(alive=lambda now_s: alive),
        now_s=lambda: 0.0,
    )
    return ReadingController(context)


def _reads_in(outage_s: float, rank: int) -> int:
    controller, elapsed_s, failures = _controller(rank), 0.0, 0
    while elapsed_s < outage_s:
        elapsed_s += controller._retry_delay_s(failures)
        failures += 1
    return failures


def test_a_long_outage_costs_most_nodes_few_reads() -> None:
    # Pattern: 200 nodes and a store that is down for 10 s.
    assert _reads_in(10.0, 150) <= 10
    assert _reads_in(10.0, 0) >= 15


def test_the_recovery_is_seen_soon_by_the_first_readers() -> None:
    delays_s = [_controller(2)._retry_delay_s(failures) for failures in range(50)]
    assert max(delays_s) <= 2 * RETRY_INTERVAL_S
    assert max(_controller(99)._retry_delay_s(n) for n in range(99)) <= 2 * MAX_RETRY_INTERVAL_S
