"""Tickets go only to upstreams that hold their model."""

from schedulers import document, grants, group, refusals, scheduler, ticket

from lentilchute.ids import ModelName, UpstreamId
from lentilchute.scheduler.tickets import RefusalReason

FIRST, SECOND = UpstreamId("e1"), UpstreamId("e2")
LARGE, SMALL = ModelName("large"), ModelName("small")


def test_a_ticket_goes_only_to_an_upstream_that_holds_its_model() -> None:
    made = scheduler(document(group(["e1", "e2"])))
    made.set_models({FIRST: frozenset({SMALL}), SECOND: frozenset({LARGE})}, 0.0)
    granted = [
        grants(made.submit(ticket(f"{number}", model=LARGE), 0.0))[0].upstream
        for number in range(4)
    ]
    assert granted == [SECOND] * 4


def test_a_model_that_nobody_holds_is_refused_at_once() -> None:
    made = scheduler(document(group(["e1"])))
    made.set_models({FIRST: frozenset({SMALL})}, 0.0)
    (refused,) = refusals(made.submit(ticket("a", model=LARGE), 0.0))
    assert refused.reason is RefusalReason.NO_UPSTREAM


def test_a_model_call_waits_until_its_upstream_has_said_what_it_holds() -> None:
    made = scheduler(document(group(["e1"])))
    made.await_models(FIRST)
    assert made.submit(ticket("call", model=LARGE), 0.0) == []
    (other,) = grants(made.submit(ticket("plain", model=ModelName("")), 0.0))
    assert other.upstream == FIRST
    (grant,) = grants(made.set_models({FIRST: frozenset({LARGE})}, 0.1))
    assert grant.request_id == "i1.a/call"


def test_an_upstream_that_does_not_say_takes_every_model() -> None:
    made = scheduler(document(group(["e1"])))
    made.await_models(FIRST)
    made.set_models({FIRST: None}, 0.0)
    assert grants(made.submit(ticket("a", model=LARGE), 0.0))


def test_tickets_that_waited_for_models_are_spread_over_all_that_answered() -> None:
    made = scheduler(document(group(["e1", "e2"])))
    made.await_models(FIRST)
    made.await_models(SECOND)
    for number in range(4):
        assert made.submit(ticket(f"{number}", model=LARGE), 0.0) == []
    models = frozenset({LARGE})
    granted = grants(made.set_models({FIRST: models, SECOND: models}, 0.1))
    assert sorted(grant.upstream for grant in granted) == [FIRST, FIRST, SECOND, SECOND]
