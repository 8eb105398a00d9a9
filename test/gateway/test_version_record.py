"""Tests what a record of versions and the changes since prove of the versions in between."""

from gateway_samples import listing

from lentilchute.gateway.messages import VersionSighting
from lentilchute.gateway.version_record import UpstreamRowChange, VersionRecord, sightings_since
from lentilchute.ids import ServiceName, SoftwareVersion, UpstreamId

SERVICE = listing("a").service
GONE = VersionSighting(SERVICE, SoftwareVersion("v0"), 4.0)
RECORD = VersionRecord(
    at_s=100.0,
    era=1,
    upstreams_version=7,
    complete_for_s=60.0,
    seen=(VersionSighting(SERVICE, SoftwareVersion("v1"), 0.0), GONE),
    upstreams=frozenset({UpstreamId("a")}),
)


def change(name: str, version: str | None) -> UpstreamRowChange:
    listed = None if version is None else listing(name, version=version)
    return UpstreamRowChange(UpstreamId(name), listed)


def seen(*changes: UpstreamRowChange) -> dict[tuple[ServiceName, SoftwareVersion], float] | None:
    found = sightings_since(RECORD, changes, 3.0)
    return None if found is None else {(item.service, item.version): item.age_s for item in found}


def test_what_had_gone_has_aged_and_what_was_listed_has_not() -> None:
    assert seen() == {(SERVICE, "v1"): 0.0, (SERVICE, "v0"): 7.0}


def test_an_upstream_that_joined_since_adds_its_version() -> None:
    assert seen(change("b", "v2")) == {
        (SERVICE, "v1"): 0.0,
        (SERVICE, "v0"): 7.0,
        (SERVICE, "v2"): 0.0,
    }


def test_a_known_upstream_that_went_leaves_its_version() -> None:
    assert seen(change("a", None)) == seen()


# What came and went between the record and a start may have begun streams at another version.
def test_an_unknown_upstream_that_went_makes_the_record_useless() -> None:
    assert seen(change("b", None)) is None
    assert seen(change("b", "v2"), change("c", None)) is None
