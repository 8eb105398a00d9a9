from schedulers import document, grants, group, refusals, scheduler, ticket

from lentilchute.ids import Fingerprint
from lentilchute.scheduler.policy import FULL_POLICY, Policy
from lentilchute.scheduler.shard import ShardScheduler
from lentilchute.scheduler.suspects import PoisonState, PoisonVerdict
from lentilchute.scheduler.tickets import EndState, Grant, RefusalReason

POISON = Fingerprint("poison")


def start(
    shard_scheduler: ShardScheduler, name: str, now_s: float, fingerprint: str = ""
) -> Grant | None:
    one = ticket(name, fingerprint=Fingerprint(fingerprint or f"f-{name}"), deadline_s=now_s + 60)
    granted = grants(shard_scheduler.submit(one, now_s))
    if not granted:
        return None
    shard_scheduler.dispatched(one.request_id, one.attempt, granted[0].upstream, now_s)
    return granted[0]


def crash(shard_scheduler: ShardScheduler, in_flight: list[Grant], now_s: float) -> None:
    for grant in in_flight:
        shard_scheduler.ended(grant.request_id, EndState.UPSTREAM_CRASHED, 0, now_s)


def crash_once(policy: Policy = FULL_POLICY) -> ShardScheduler:
    """Crash an upstream with the poison content and a request that was already answering."""
    shard_scheduler = scheduler(document(group(["e1"])), policy)
    poison, neighbour = start(shard_scheduler, "p1", 0.0, POISON), start(
        shard_scheduler, "n1", 0.0, "neighbour"
    )
    assert poison and neighbour
    shard_scheduler.progress(neighbour.request_id, 1, 1.0)
    crash(shard_scheduler, [poison, neighbour], 2.0)
    return shard_scheduler


def crash_twice(policy: Policy = FULL_POLICY) -> ShardScheduler:
    shard_scheduler = crash_once(policy)
    again = start(shard_scheduler, "p2", 10.0, POISON)
    assert again
    crash(shard_scheduler, [again], 12.0)
    return shard_scheduler


def test_a_second_crash_condemns_the_content() -> None:
    shard_scheduler = crash_twice()
    (refused,) = refusals(shard_scheduler.submit(ticket("p3", fingerprint=POISON), 20.0))
    assert refused.reason is RefusalReason.POISON


def test_a_suspect_that_completes_is_cleared() -> None:
    shard_scheduler = crash_once()
    again = start(shard_scheduler, "n2", 10.0, "neighbour")
    assert again
    shard_scheduler.progress(again.request_id, 5, 11.0)
    shard_scheduler.ended(again.request_id, EndState.COMPLETE, 0, 12.0)
    states = {verdict.fingerprint: verdict.state for verdict in shard_scheduler.pop_new_verdicts()}
    assert states == {POISON: PoisonState.SUSPECT, "neighbour": PoisonState.CLEARED}


def test_suspects_do_not_run_concurrently_on_an_upstream() -> None:
    shard_scheduler = crash_once()
    assert start(shard_scheduler, "p2", 10.0, POISON)
    assert start(shard_scheduler, "n2", 10.0, "neighbour") is None
    assert start(shard_scheduler, "other", 10.0) is None


def test_content_in_two_crashes_is_not_condemned_while_another_request_may_be_the_cause() -> None:
    shard_scheduler = scheduler(document(group(["e1"])))
    for round_s in (0.0, 20.0):
        neighbour = start(shard_scheduler, f"n{round_s}", round_s, "neighbour")
        assert neighbour
        shard_scheduler.progress(neighbour.request_id, 1, round_s + 1)
        newcomer = start(shard_scheduler, f"p{round_s}", round_s + 1, f"poison-{round_s}")
        assert newcomer
        crash(shard_scheduler, [neighbour, newcomer], round_s + 2)
    assert start(shard_scheduler, "n-last", 40.0, "neighbour")


def test_a_condemned_verdict_of_a_peer_refuses_waiting_tickets() -> None:
    shard_scheduler = scheduler(document(group(["e1"], max_streams=1)))
    start(shard_scheduler, "running", 0.0)
    start(shard_scheduler, "p1", 0.0, POISON)
    (refused,) = refusals(
        shard_scheduler.apply_peer_verdict(PoisonVerdict(POISON, PoisonState.CONDEMNED, 2), 1.0)
    )
    assert refused.reason is RefusalReason.POISON
