"""Entries of other writers among those of the upstreams, before real nodes."""

import json
from typing import Any

import pytest
import trio
from gateway_samples import upstream_row
from gateway_world import GatewayWorld, run_world

from lentilchute.platform import rows

DEEP = 100_000
MANY_DIGITS = "9" * 400
CALLS = 12
FIELDS = json.loads(upstream_row("drafters", "127.0.0.1:1"))


def entry(**changes: Any) -> bytes:
    """Return an entry that is as it should be but for some fields."""
    return json.dumps({**FIELDS, **changes}).encode()


def with_number(field: str, digits: str) -> bytes:
    """Return an entry with a number as it is written."""
    return entry(**{field: "NUMBER"}).replace(b'"NUMBER"', digits.encode())


ODD_ENTRIES = {
    "nested": {
        "nested deeply": b"[" * DEEP,
        "nested deeply in a field": entry(service="NESTED").replace(
            b'"NESTED"', b"[" * 900 + b"]" * 900
        ),
    },
    "address": {
        "port out of range": entry(address="127.0.0.1:99999"),
        "port of many digits": entry(address="127.0.0.1:" + MANY_DIGITS),
        "port zero": entry(address="127.0.0.1:0"),
        "no host name": entry(address="a" * 300 + ":80"),
        "host with a null": entry(address="a\0b:80"),
        "lone surrogate as address": entry(address="\ud800:80"),
    },
    "text": {
        "lone surrogate as service": entry(service="\ud800"),
        "lone surrogate as version": entry(version="\ud800"),
        "lone surrogate as zone": entry(zone="\ud800"),
        "long service": entry(service="s" * 60_000),
    },
    "number": {
        f"{field} {name}": with_number(field, digits)
        for field in ("slots", "born", "sequence", "cold-remaining-ms")
        for name, digits in {
            "of many digits": MANY_DIGITS,
            "beyond a float": "1e999",
            "beyond 64 bits": str(2**63),
            "negative": f"-{MANY_DIGITS}",
            "too long to read": "9" * 5_000,
        }.items()
    },
}
"""Each may be left by a writer that is not an upstream."""


def is_followed(world: GatewayWorld, name: str) -> bool:
    """Return whether all nodes list an upstream."""
    return all(
        node.node.context.fleet.listing(name) is not None  # type: ignore[arg-type]
        for node in world.nodes
    )


async def serve_beside(world: GatewayWorld, entries: list[bytes]) -> None:
    """Leave entries among those of the upstreams, and look for service and further changes."""
    for number, value in enumerate(entries):
        world.store.state.put(rows.UPSTREAMS_TABLE, f"odd-{number}", value)
    await trio.sleep(0.7)
    for number in range(CALLS):
        kind = number % 2
        answer = await world.call(
            "/view/1" if kind else "/drafts/1",
            number % len(world.nodes),
            method="GET" if kind else "POST",
            tokens=None if kind else "400,60",
        )
        assert answer is not None and answer.status == 200
    await world.add_upstream("later", "drafters")
    await world.until(lambda: is_followed(world, "later"))
    world.upstreams["later"].scope.cancel()
    world.store.state.put(rows.UPSTREAMS_TABLE, "later", None)
    await world.until(lambda: not is_followed(world, "later"))
    await world.restart_nodes(world.nodes[:1])
    answer = await world.call("/view/1")
    assert answer is not None and answer.status == 200


# One entry of another writer cost requests, and others must not end nodes nor the list's changes.
@pytest.mark.parametrize("kind", ["nested", "address", "number", "text"])
def test_odd_entries_cost_neither_requests_nor_changes(kind: str) -> None:
    entries = list(ODD_ENTRIES[kind].values())
    run_world(lambda world: serve_beside(world, entries))


# Such an entry names no upstream, but for figures that the node makes no use of.
@pytest.mark.parametrize(
    "name", [name for kind in ("nested", "address", "number") for name in ODD_ENTRIES[kind]]
)
def test_an_odd_entry_names_no_upstream(name: str) -> None:
    found = [entries[name] for entries in ODD_ENTRIES.values() if name in entries]
    is_unused = name.startswith("cold-remaining-ms") and "too long" not in name
    assert rows.decode_upstream("odd", found[0]).is_err() is not is_unused


# The same among the rows of the nodes, which any writer of that table could leave.
@pytest.mark.parametrize(
    "value",
    [
        b"[" * DEEP,
        b'{"peers": "127.0.0.1:99999"}',
        b'{"peers": "nowhere"}',
        b'{"peers": "\\ud800:80"}',
        b'{"peers": "127.0.0.1:' + MANY_DIGITS.encode() + b'"}',
    ],
    ids=["nested deeply", "port out of range", "no port", "surrogate", "many digits"],
)
def test_an_odd_row_of_a_node_costs_nothing(value: bytes) -> None:
    async def scenario(world: GatewayWorld) -> None:
        world.store.state.put(rows.NODES_TABLE, "odd", value)
        await world.restart_nodes(world.nodes[:1])
        await trio.sleep(2.0)
        for node in range(2):
            answer = await world.call("/view/1", node)
            assert answer is not None and answer.status == 200

    run_world(scenario)
