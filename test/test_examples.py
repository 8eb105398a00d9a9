"""Tests that the examples pass their checks and match their README."""

import hashlib
from collections import Counter
from pathlib import Path

import pytest

from lentilchute.document import ServiceDocument, UpstreamKind, load_document
from lentilchute.settings import load_settings
from lentilchute.ui.check import FileKind, check_file, detect_kind

EXAMPLES = Path(__file__).parents[1] / "examples"
NOTARY_ZONES = {"tunis-a", "tunis-b", "bizerte", "nabeul"}
TERMINAL_ZONES = {"bergen-1", "bergen-2", "kollsnes-3"}


def document(name: str) -> ServiceDocument:
    (path,) = EXAMPLES.glob(f"*/{name}.yaml")
    return load_document(path.read_text(), str(path)).unwrap()


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/*.yaml")), ids=lambda path: path.stem)
def test_each_example_passes_its_check(path: Path) -> None:
    expected = FileKind.SETTINGS if path.stem == "node" else FileKind.DOCUMENT
    assert detect_kind(path.read_text(), str(path)) is expected
    assert check_file(str(path), FileKind.AUTO).is_ok()


@pytest.mark.parametrize(
    ("name", "kind", "upstreams", "zones"),
    [
        ("lentil-drafters", UpstreamKind.ENGINE, 10, NOTARY_ZONES),
        ("agenda-core", UpstreamKind.PLAIN, 4, NOTARY_ZONES),
        ("chute-fleet", UpstreamKind.ENGINE, 10, TERMINAL_ZONES),
    ],
)
def test_listed_upstreams_are_spread_over_the_zones(
    name: str, kind: UpstreamKind, upstreams: int, zones: set[str]
) -> None:
    groups = document(name).upstreams
    members = [member for group in groups for member in group.members]
    assert {group.kind for group in groups} == {kind}
    assert len(members) == upstreams
    assert {member.availability_zone for member in members} == zones
    assert max(Counter(member.address for member in members).values()) == 1


@pytest.mark.parametrize("name", ["lentil-drafters", "agenda-core", "chute-fleet", "invoice-app"])
def test_each_service_has_four_tiers_and_five_accounts(name: str) -> None:
    service = document(name)
    assert len(service.tiers) == 4
    assert len(service.client_accounts) == 5
    key = hashlib.sha256(b"example-key-" + service.client_accounts[0].name.encode()).hexdigest()
    assert service.account_by_key_digest(key) == service.client_accounts[0]
    engines = sum(len(group.members) for group in service.upstreams)
    assert sum(model.engines for model in service.models) <= engines


def test_bookings_and_postings_are_not_idempotent_and_searches_are() -> None:
    agenda = document("agenda-core")
    invoices = document("invoice-app")
    assert not agenda.is_idempotent("POST", "/v1/bookings")
    assert not agenda.is_idempotent("DELETE", "/v1/bookings/7")
    assert agenda.is_idempotent("POST", "/v1/free-slots/search")
    assert not invoices.is_idempotent("POST", "/v1/ledger/postings")
    assert not invoices.is_idempotent("POST", "/v1/unlisted")
    assert invoices.is_idempotent("GET", "/v1/invoices/7")


@pytest.mark.parametrize(
    ("house", "zones"),
    [("notary-house", NOTARY_ZONES), ("terminal-association", TERMINAL_ZONES)],
)
def test_node_settings_name_a_zone_of_their_house(house: str, zones: set[str]) -> None:
    settings = load_settings(str(EXAMPLES / house / "node.yaml")).unwrap()
    assert settings.availability_zone in zones
    assert 6 <= len(settings.peers) + 1 <= 9
