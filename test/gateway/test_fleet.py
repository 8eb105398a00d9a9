"""Tests which upstreams take new work."""

from gateway_samples import listing

from lentilchute.gateway.fleet import Fleet, UpstreamChangeKind, UpstreamState
from lentilchute.ids import ServiceName, UpstreamId

A, B = UpstreamId("a"), UpstreamId("b")


def test_leaving_and_removed_upstreams_take_no_work() -> None:
    fleet = Fleet()
    fleet.replace([listing("a"), listing("b")], 0.0, after_outage=False)
    assert fleet.takes_work(A, 1)
    changes = fleet.apply([listing("a", state=UpstreamState.LEAVING)], [B], 1.0, after_outage=False)
    assert [change.kind for change in changes] == [
        UpstreamChangeKind.LEAVING,
        UpstreamChangeKind.REMOVED,
    ]
    assert not fleet.takes_work(A, 1)
    assert not fleet.takes_work(B, 1)
    assert fleet.of_service(ServiceName("drafters")) == []


def test_a_new_start_time_is_a_new_incarnation() -> None:
    fleet = Fleet()
    fleet.replace([listing("a", started_ms=1)], 0.0, after_outage=False)
    changes = fleet.apply([listing("a", started_ms=2)], [], 1.0, after_outage=False)
    assert [change.kind for change in changes] == [UpstreamChangeKind.RESTARTED]
    assert not fleet.takes_work(A, 1)
    assert fleet.takes_work(A, 2)


def test_upstreams_that_expire_in_an_outage_are_kept_for_a_grace_period() -> None:
    fleet = Fleet()
    fleet.replace([listing("a"), listing("b")], 0.0, after_outage=False)
    fleet.replace([], 10.0, after_outage=True)
    assert fleet.takes_work(A, 1)
    fleet.apply([listing("a")], [], 11.0, after_outage=True)
    assert fleet.expire(11.9) == []
    expired = fleet.expire(12.1)
    assert [change.listing.upstream for change in expired] == [B]
    assert fleet.takes_work(A, 1)


def test_an_upstream_that_was_leaving_is_not_kept() -> None:
    fleet = Fleet()
    fleet.replace([listing("a", state=UpstreamState.LEAVING)], 0.0, after_outage=False)
    changes = fleet.replace([], 1.0, after_outage=True)
    assert [change.kind for change in changes] == [UpstreamChangeKind.REMOVED]
