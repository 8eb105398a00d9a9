"""Tickets are granted only to upstreams that serve their model."""

from schedulers import document, grants, group, refusals, scheduler, ticket

from lentilchute.ids import ModelName, UpstreamId
from lentilchute.scheduler.tickets import RefusalReason

FIRST, SECOND = UpstreamId("e1"), UpstreamId("e2")
LARGE, SMALL = ModelName("large"), ModelName("small")


def test_a_ticket_is_granted_only_to_an_upstream_that_serves_its_model() -> None:
    shard_scheduler = scheduler(document(group(["e1", "e2"])))
    shard_scheduler.set_models({FIRST: frozenset({SMALL}), SECOND: frozenset({LARGE})}, 0.0)
    granted = [
        grants(shard_scheduler.submit(ticket(f"{number}", model=LARGE), 0.0))[0].upstream
        for number in range(4)
    ]
    assert granted == [SECOND] * 4


def test_a_model_that_no_upstream_serves_is_refused_immediately() -> None:
    shard_scheduler = scheduler(document(group(["e1"])))
    shard_scheduler.set_models({FIRST: frozenset({SMALL})}, 0.0)
    (refused,) = refusals(shard_scheduler.submit(ticket("a", model=LARGE), 0.0))
    assert refused.reason is RefusalReason.NO_UPSTREAM


def test_a_model_call_waits_until_the_models_of_its_upstream_are_known() -> None:
    shard_scheduler = scheduler(document(group(["e1"])))
    shard_scheduler.await_models(FIRST)
    assert shard_scheduler.submit(ticket("call", model=LARGE), 0.0) == []
    (other,) = grants(shard_scheduler.submit(ticket("plain", model=ModelName("")), 0.0))
    assert other.upstream == FIRST
    (grant,) = grants(shard_scheduler.set_models({FIRST: frozenset({LARGE})}, 0.1))
    assert grant.request_id == "i1.a/call"


def test_an_upstream_that_does_not_list_its_models_takes_every_model() -> None:
    shard_scheduler = scheduler(document(group(["e1"])))
    shard_scheduler.await_models(FIRST)
    shard_scheduler.set_models({FIRST: None}, 0.0)
    assert grants(shard_scheduler.submit(ticket("a", model=LARGE), 0.0))


def test_tickets_that_waited_for_models_are_spread_over_all_polled_upstreams() -> None:
    shard_scheduler = scheduler(document(group(["e1", "e2"])))
    shard_scheduler.await_models(FIRST)
    shard_scheduler.await_models(SECOND)
    for number in range(4):
        assert shard_scheduler.submit(ticket(f"{number}", model=LARGE), 0.0) == []
    models = frozenset({LARGE})
    granted = grants(shard_scheduler.set_models({FIRST: models, SECOND: models}, 0.1))
    assert sorted(grant.upstream for grant in granted) == [FIRST, FIRST, SECOND, SECOND]
