from schedulers import document, grants, group, refusals, scheduler, ticket

from lentilchute.ids import Fingerprint
from lentilchute.scheduler.policy import FULL_POLICY, Policy
from lentilchute.scheduler.shard import ShardScheduler
from lentilchute.scheduler.suspects import PoisonState, PoisonVerdict
from lentilchute.scheduler.tickets import EndState, Grant, RefusalReason

POISON = Fingerprint("poison")


def start(made: ShardScheduler, name: str, now_s: float, fingerprint: str = "") -> Grant | None:
    one = ticket(name, fingerprint=Fingerprint(fingerprint or f"f-{name}"), deadline_s=now_s + 60)
    granted = grants(made.submit(one, now_s))
    if not granted:
        return None
    made.dispatched(one.request_id, one.attempt, granted[0].upstream, now_s)
    return granted[0]


def crash(made: ShardScheduler, cut: list[Grant], now_s: float) -> None:
    for grant in cut:
        made.ended(grant.request_id, EndState.UPSTREAM_CRASHED, 0, now_s)


def crash_once(policy: Policy = FULL_POLICY) -> ShardScheduler:
    """Let poison and an innocent neighbour be cut by one crash."""
    made = scheduler(document(group(["e1"])), policy)
    poison, neighbour = start(made, "p1", 0.0, POISON), start(made, "n1", 0.0, "neighbour")
    assert poison and neighbour
    made.progress(neighbour.request_id, 1, 1.0)
    crash(made, [poison, neighbour], 2.0)
    return made


def crash_twice(policy: Policy = FULL_POLICY) -> ShardScheduler:
    made = crash_once(policy)
    again = start(made, "p2", 10.0, POISON)
    assert again
    crash(made, [again], 12.0)
    return made


def test_a_second_crash_condemns() -> None:
    made = crash_twice()
    (refused,) = refusals(made.submit(ticket("p3", fingerprint=POISON), 20.0))
    assert refused.reason is RefusalReason.POISON


def test_a_suspect_that_completes_is_cleared() -> None:
    made = crash_once()
    again = start(made, "n2", 10.0, "neighbour")
    assert again
    made.progress(again.request_id, 5, 11.0)
    made.ended(again.request_id, EndState.COMPLETE, 0, 12.0)
    states = {verdict.fingerprint: verdict.state for verdict in made.pop_new_verdicts()}
    assert states == {POISON: PoisonState.SUSPECT, "neighbour": PoisonState.CLEARED}


def test_suspects_do_not_run_beside_each_other() -> None:
    made = crash_once()
    assert start(made, "p2", 10.0, POISON)
    assert start(made, "n2", 10.0, "neighbour") is None
    assert start(made, "other", 10.0) is None


def test_a_neighbour_of_two_crashes_is_not_condemned_while_others_may_be_the_cause() -> None:
    made = scheduler(document(group(["e1"])))
    for round_s in (0.0, 20.0):
        neighbour = start(made, f"n{round_s}", round_s, "neighbour")
        assert neighbour
        made.progress(neighbour.request_id, 1, round_s + 1)
        newcomer = start(made, f"p{round_s}", round_s + 1, f"poison-{round_s}")
        assert newcomer
        crash(made, [neighbour, newcomer], round_s + 2)
    assert start(made, "n-last", 40.0, "neighbour")


def test_a_peers_condemnation_refuses_waiting_content() -> None:
    made = scheduler(document(group(["e1"], max_streams=1)))
    start(made, "running", 0.0)
    start(made, "p1", 0.0, POISON)
    (refused,) = refusals(
        made.apply_peer_verdict(PoisonVerdict(POISON, PoisonState.CONDEMNED, 2), 1.0)
    )
    assert refused.reason is RefusalReason.POISON
