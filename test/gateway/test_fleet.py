"""Tests which upstreams take new work."""

from gateway_samples import listing

from lentilchute.gateway.fleet import Fleet, UpstreamChangeKind, UpstreamState
from lentilchute.ids import ServiceName, UpstreamId

A, B = UpstreamId("a"), UpstreamId("b")


def test_leaving_and_removed_upstreams_take_no_work() -> None:
    fleet = Fleet()
    fleet.replace([listing("a"), listing("b")], 0.0, after_outage=False)
    assert fleet.takes_work(A, 1, 0.0)
    changes = fleet.apply([listing("a", state=UpstreamState.LEAVING)], [B], 1.0, after_outage=False)
    assert [change.kind for change in changes] == [
        UpstreamChangeKind.LEAVING,
        UpstreamChangeKind.REMOVED,
    ]
    assert not fleet.takes_work(A, 1, 0.0)
    assert not fleet.takes_work(B, 1, 0.0)
    assert fleet.of_service(ServiceName("drafters")) == []


def test_a_new_start_time_is_a_new_incarnation() -> None:
    fleet = Fleet()
    fleet.replace([listing("a", started_ms=1)], 0.0, after_outage=False)
    changes = fleet.apply([listing("a", started_ms=2)], [], 1.0, after_outage=False)
    assert [change.kind for change in changes] == [UpstreamChangeKind.RESTARTED]
    assert not fleet.takes_work(A, 1, 0.0)
    assert fleet.takes_work(A, 2, 0.0)


def test_upstreams_that_expire_in_an_outage_are_kept_for_a_grace_period() -> None:
    fleet = Fleet()
    fleet.replace([listing("a"), listing("b")], 0.0, after_outage=False)
    fleet.replace([], 10.0, after_outage=True)
    assert fleet.takes_work(A, 1, 0.0)
    fleet.apply([listing("a")], [], 11.0, after_outage=True)
    assert fleet.expire(11.9) == []
    expired = fleet.expire(12.1)
    assert [change.listing.upstream for change in expired] == [B]
    assert fleet.takes_work(A, 1, 0.0)


def test_an_upstream_that_was_leaving_is_not_kept() -> None:
    fleet = Fleet()
    fleet.replace([listing("a", state=UpstreamState.LEAVING)], 0.0, after_outage=False)
    changes = fleet.replace([], 1.0, after_outage=True)
    assert [change.kind for change in changes] == [UpstreamChangeKind.REMOVED]


def test_an_upstream_that_says_that_it_is_leaving_takes_no_work_whatever_its_row_says() -> None:
    fleet = Fleet()
    fleet.replace([listing("a"), listing("b")], 0.0, after_outage=False)
    changes = fleet.mark_leaving(A, 1)
    assert [change.kind for change in changes] == [UpstreamChangeKind.LEAVING]
    assert fleet.mark_leaving(A, 1) == []
    fleet.apply([listing("a")], [], 1.0, after_outage=False)
    fleet.replace([listing("a"), listing("b")], 2.0, after_outage=False)
    assert not fleet.takes_work(A, 1, 3.0)
    assert fleet.announced_leaving() == {A: 1}
    fleet.apply([listing("a", started_ms=2)], [], 4.0, after_outage=False)
    assert fleet.takes_work(A, 2, 4.0)
    assert fleet.mark_leaving(A, 1) == []
    assert fleet.takes_work(A, 2, 4.0)


def test_a_paused_upstream_gets_nothing_until_the_time_it_asked_for() -> None:
    fleet = Fleet()
    fleet.replace([listing("a")], 0.0, after_outage=False)
    fleet.pause(A, 5.0)
    fleet.pause(A, 3.0)
    assert not fleet.takes_work(A, 1, 4.9)
    assert fleet.takes_work(A, 1, 5.0)
    fleet.pause(A, 9.0)
    fleet.apply([listing("a", started_ms=2)], [], 6.0, after_outage=False)
    assert fleet.takes_work(A, 2, 6.0)
