"""Tests when a node reads the store itself, and which changes it accepts from peers."""

from gateway_samples import READING

from lentilchute.gateway.table_freshness import TableCopy
from lentilchute.platform.store import StoreRow


def fresh_copy(now_s: float = 0.0) -> TableCopy:
    copy = TableCopy("op", READING)
    copy.record_read(10, now_s, now_s)
    return copy


def test_a_node_without_a_copy_reads_at_once() -> None:
    assert TableCopy("op", READING).is_due(5, 0.0)


def test_the_first_node_reads_at_the_interval_and_others_later_by_rank() -> None:
    copy = fresh_copy()
    assert not copy.is_due(0, 0.4)
    assert copy.is_due(0, 0.5)
    assert not copy.is_due(1, 1.0)
    assert copy.is_due(1, 1.06)
    assert not copy.is_due(2, 1.1)
    assert copy.is_due(2, 1.21)


def test_every_node_reads_within_the_platforms_limit() -> None:
    """The platform's shortest limit for noticing a leaving upstream or a new version is two
    seconds."""
    copy = fresh_copy()
    assert all(copy.is_due(rank, 1.7) for rank in range(400))


def test_peer_changes_in_sequence_keep_a_copy_fresh() -> None:
    copy = fresh_copy()
    assert copy.record_peer_changes(base=10, version=12, as_of_s=0.6)
    assert copy.version == 12
    assert not copy.is_due(1, 1.6)


def test_peer_changes_after_a_gap_are_not_accepted() -> None:
    copy = fresh_copy()
    assert not copy.record_peer_changes(base=11, version=12, as_of_s=0.6)
    assert copy.version == 10


def test_old_peer_changes_do_not_revert_version_or_age() -> None:
    copy = fresh_copy(now_s=5.0)
    assert copy.record_peer_changes(base=3, version=8, as_of_s=2.0)
    assert copy.version == 10
    assert copy.age_s(6.0) == 1.0


def test_a_pause_makes_the_copy_due() -> None:
    copy = fresh_copy()
    copy.mark_stale()
    assert copy.is_due(3, 0.1)
    copy.record_read(10, 0.1, 0.1)
    assert not copy.is_due(3, 0.2)


def test_lost_history_requires_a_full_read() -> None:
    copy = fresh_copy()
    copy.mark_history_lost()
    assert copy.needs_full_read
    assert copy.is_due(3, 0.1)


def test_rows_older_than_the_copy_are_left_out() -> None:
    copy = fresh_copy()
    new, old = StoreRow("config", 9, b"new"), StoreRow("config", 8, b"old")
    assert copy.accept_newer([new]) == [new]
    assert copy.accept_newer([old, new]) == []


def test_an_outage_is_remembered_after_its_end() -> None:
    copy = fresh_copy()
    copy.record_failure(1.0)
    copy.record_failure(3.0)
    assert not copy.is_after_outage(3.0)
    copy.record_read(11, 4.0, 4.0)
    assert copy.is_after_outage(5.0)
    assert not copy.is_after_outage(6.1)


def test_a_store_that_serves_peers_is_available() -> None:
    """A store that rejects only a few nodes is available, so what vanishes from its list has
    left."""
    copy = fresh_copy()
    for tick in range(1, 9):
        copy.record_failure(now_s=float(tick))
        assert copy.record_peer_changes(base=10, version=10, as_of_s=tick + 0.4)
    copy.record_read(11, 9.0, 9.0)
    assert not copy.is_after_outage(9.0)


def test_peer_changes_from_before_an_outage_do_not_hide_it() -> None:
    copy = fresh_copy()
    copy.record_failure(now_s=1.0)
    assert copy.record_peer_changes(base=10, version=10, as_of_s=0.9)
    copy.record_read(11, 4.0, 4.0)
    assert copy.is_after_outage(4.0)


def test_one_failed_read_is_no_outage() -> None:
    copy = fresh_copy()
    copy.record_failure(1.0)
    copy.record_read(11, 1.5, 1.5)
    assert not copy.is_after_outage(1.6)


def test_a_longer_limit_of_the_platform_means_fewer_reads() -> None:
    settings = READING.model_copy(update={"leaving_within_s": 4.0, "config_within_s": 6.0})
    copy = TableCopy("op", settings)
    copy.record_read(10, 0.0, 0.0)
    assert not copy.is_due(0, 0.9)
    assert copy.is_due(0, 1.0)
    assert not copy.is_due(1, 2.0)
    assert all(copy.is_due(rank, 3.4) for rank in range(400))
