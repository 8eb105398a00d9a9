"""Decoding of the store's rows, including malformed rows by other writers."""

import json
import random
from typing import Any

import pytest
from gateway_samples import config_row
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from lentilchute.gateway.fleet import UpstreamState
from lentilchute.gateway.routes import RequestKind
from lentilchute.ids import ClientAccountId, Fingerprint, PromptPartId, ServiceName, UpstreamId
from lentilchute.platform import rows
from lentilchute.platform.rows import decode_config, decode_node, decode_upstream, encode_node

UPSTREAM = {
    "service": "drafters",
    "address": "10.128.0.9:8080",
    "zone": "tunis-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold-remaining-ms": 1500,
    "sequence": 4,
    "born": 1773938630927,
}


def test_blocked_parts_of_prompts_are_decoded_as_encoded() -> None:
    last_crash_s = {PromptPartId("5c1e07a2"): 12.5, PromptPartId("bad0"): 3.0}
    encoded = rows.encode_blocked_parts(last_crash_s)
    assert rows.decode_blocked_parts(encoded) == Ok(last_crash_s)
    for spoiled in (b"", b"[]", b"{}", b'{"parts": {"5c1e": "soon"}}', b'{"parts": [1]}'):
        assert isinstance(rows.decode_blocked_parts(spoiled), Err)


def test_crashes_are_decoded_as_encoded() -> None:
    crashes = (
        rows.StoredCrash(UpstreamId("d1"), 1773, 12.5, (Fingerprint("a"), Fingerprint("b")), ()),
        rows.StoredCrash(UpstreamId("d2"), 0, 13.0, (Fingerprint("a"),), (Fingerprint("a"),)),
    )
    assert rows.decode_crashes(rows.encode_crashes(crashes)) == Ok(crashes)
    one = '{"id": "d1", "born": 1, "at-s": %s, "requests": ["a"], "begun": []}'
    assert rows.decode_crashes(f'{{"crashes": [{one % 2}], "later": 1}}'.encode()).is_ok()
    spoiled = (b"", b"[]", b"{}", b'{"crashes": [1]}', f'{{"crashes": [{one % "NaN"}]}}'.encode())
    assert all(isinstance(rows.decode_crashes(value), Err) for value in spoiled)


def test_a_configuration_is_decoded() -> None:
    config = decode_config(config_row()).unwrap()
    assert config.version == 7
    route = config.match("A.example:8221", "/drafts/1?x=1")
    assert route is not None
    assert route.kind is RequestKind.STREAM and route.is_repeatable
    assert (route.timeout_s, route.objective_s, route.max_pause_s) == (4.0, 0.8, 0.4)
    account = config.account_of_key("key-1")
    assert account is not None and account.name == ClientAccountId("notary")
    assert account.request_cost(1540) == 1540
    assert account.request_cost(None) == 200
    assert config.slots_of(ServiceName("drafters")) == 4
    assert config.slots_of(ServiceName("agenda")) is None
    assert config.needs_key


def test_an_accounts_tier_takes_precedence_over_the_routes() -> None:
    row = json.loads(config_row())
    (notary,) = row["tenants"]
    plain = {name: value for name, value in notary.items() if name != "priority"}
    tenants = [
        {**notary, "priority": 3},
        {**plain, "name": "first", "api-keys": ["key-2"], "priority": 0},
        {**plain, "name": "plain", "api-keys": ["key-3"]},
    ]
    config = decode_config(config_row(tenants=tenants)).unwrap()
    view = config.match("a.example", "/view/1")
    assert view is not None and view.tier == 2
    tiers = [view.tier_for(config.account_of_key(key)) for key in ("key-1", "key-2", "key-3", None)]
    assert tiers == [3, 0, 2, 2]


def test_the_longest_prefix_of_the_host_wins() -> None:
    routes = json.loads(config_row())["routes"]
    longer = {**routes[1], "name": "longer", "path-prefix": "/drafts/old/"}
    config = decode_config(config_row(routes=[*routes, longer])).unwrap()
    found = config.match("a.example", "/drafts/old/3")
    assert found is not None and found.name == "longer"
    assert config.match("a.example", "/draft") is None
    assert config.match("b.example", "/drafts/1") is None


def test_a_traffic_split_draws_by_weight() -> None:
    split = [{"service": "x", "weight": 0}, {"service": "y", "weight": 3}]
    route = {**json.loads(config_row())["routes"][0], "traffic-split": split}
    config = decode_config(config_row(routes=[route])).unwrap()
    drawn = {config.routes[0].draw_service(random.Random(seed)) for seed in range(20)}
    assert drawn == {"y"}


def test_an_upstream_is_decoded() -> None:
    listing = decode_upstream("i-1", json.dumps(UPSTREAM).encode()).unwrap()
    assert listing.state is UpstreamState.READY
    assert listing.started_ms == 1773938630927


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 7},
        {"address": "nowhere"},
        {"state": "asleep"},
        {"slots": "12"},
        {"slots": True},
        {"zone": ["a"]},
        {"version": None},
        {"version": 2},
    ],
)
def test_a_malformed_row_yields_no_upstream(changes: dict[str, Any]) -> None:
    assert decode_upstream("i-1", json.dumps({**UPSTREAM, **changes}).encode()).is_err()
    missing = {name: value for name, value in UPSTREAM.items() if name not in changes}
    assert decode_upstream("i-1", json.dumps(missing).encode()).is_err()


@given(st.binary(max_size=200))
def test_any_bytes_are_refused_without_an_exception(value: bytes) -> None:
    assert decode_config(value).is_err()
    assert decode_upstream("i-1", value).is_err()
    assert decode_node("n", value).is_err()


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*sorted(UPSTREAM), "version"]), inner, max_size=4),
        max_leaves=12,
    )
)
def test_any_json_is_decoded_or_refused(value: Any) -> None:
    data = json.dumps(value).encode()
    decode_config(data)
    decode_upstream("i-1", data)
    decode_node("n", data)


def test_a_node_row_round_trips() -> None:
    assert decode_node("n-1", encode_node("10.0.0.1:7600")).unwrap().address == "10.0.0.1:7600"
