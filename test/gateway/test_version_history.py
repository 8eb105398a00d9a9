"""Versions of a service, and the records of where its streams began."""

from gateway_samples import SERVICE

from lentilchute.gateway.stream_origins import STREAM_LIFETIME_S, StreamOrigin, StreamOrigins
from lentilchute.gateway.version_history import GoneVersion, VersionHistory
from lentilchute.ids import SoftwareVersion, StreamId

OLD = StreamOrigin(SERVICE, SoftwareVersion("v1"))
NEW = StreamOrigin(SERVICE, SoftwareVersion("v2"))
LONG_S = 10 * STREAM_LIFETIME_S


def test_a_version_that_has_gone_counts_until_its_streams_have_ended() -> None:
    history = VersionHistory()
    history.update([OLD], 0.0)
    history.update([OLD, NEW], LONG_S)
    history.update([NEW], LONG_S + 1)
    assert history.only_version(SERVICE, LONG_S + STREAM_LIFETIME_S) is None
    assert history.only_version(SERVICE, LONG_S + 1 + STREAM_LIFETIME_S) == NEW.version


def test_a_node_that_has_just_started_knows_of_no_single_version() -> None:
    history = VersionHistory()
    history.update([NEW], 0.0)
    assert history.only_version(SERVICE, STREAM_LIFETIME_S / 2) is None


def test_a_node_learns_from_a_peer_which_versions_have_gone() -> None:
    history = VersionHistory()
    history.update([NEW], 0.0)
    history.adopt([GoneVersion(OLD, 2.0)], LONG_S, 1.0)
    assert history.only_version(SERVICE, STREAM_LIFETIME_S - 2.0) is None
    assert history.only_version(SERVICE, STREAM_LIFETIME_S) == NEW.version


def test_streams_are_told_once_and_only_where_wanted() -> None:
    origins = StreamOrigins()
    origins.record_begun(StreamId("one"), OLD, 0.0)
    assert not origins.take_unshared(lambda service: False, 1.0)
    assert origins.take_unshared(lambda service: True, 1.0) == {OLD: ["one"]}
    assert not origins.take_unshared(lambda service: True, 1.0)
    assert origins.remembered(1.0) == {OLD: ["one"]}


def test_a_stream_keeps_its_first_origin_until_it_is_forgotten() -> None:
    origins = StreamOrigins()
    origins.record_begun(StreamId("one"), OLD, 0.0)
    origins.adopt([StreamId("one")], NEW, 1.0)
    assert origins.find(StreamId("one"), STREAM_LIFETIME_S - 1) == OLD
    assert origins.find(StreamId("one"), STREAM_LIFETIME_S) is None
