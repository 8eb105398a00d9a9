from collections import Counter

from schedulers import document, grants, group, scheduler, ticket

from lentilchute.ids import Attempt, ClientAccountId, RequestId
from lentilchute.scheduler.fair_queue import FairQueue
from lentilchute.scheduler.tickets import EndState

LARGE, SMALL = ClientAccountId("acct-0"), ClientAccountId("acct-1")


def test_accounts_share_by_work_not_by_requests() -> None:
    queue = FairQueue()
    for n in range(100):
        queue.add(LARGE, RequestId(f"large-{n}"))
        queue.add(SMALL, RequestId(f"small-{n}"))
    served: Counter[ClientAccountId] = Counter()
    for _ in range(40):
        request_id = queue.head()
        account = LARGE if request_id.startswith("large") else SMALL
        queue.remove(account, request_id)
        queue.charge(account, 300.0 if account == LARGE else 100.0)
        served[account] += 1
    assert served[SMALL] == 3 * served[LARGE]


def test_an_idle_account_accumulates_no_credit() -> None:
    queue = FairQueue()
    for n in range(50):
        queue.add(LARGE, RequestId(f"large-{n}"))
    for n in range(40):
        queue.remove(LARGE, RequestId(f"large-{n}"))
        queue.charge(LARGE, 100.0)
    for n in range(10):
        queue.add(SMALL, RequestId(f"small-{n}"))
    first = list(queue.in_order(4))
    assert set(first) == {"large-40", "large-41", "small-0", "small-1"}


def test_a_small_account_is_not_starved_by_a_large_one() -> None:
    shard_scheduler = scheduler(document(group(["e1"], max_streams=1)))
    running = shard_scheduler.submit(ticket("first"), 0.0)
    for n in range(50):
        shard_scheduler.submit(ticket(f"large-{n}", client_account=LARGE), 0.0)
    for n in range(5):
        shard_scheduler.submit(ticket(f"small-{n}", client_account=SMALL), 0.0)
    order = []
    for _ in range(12):
        (grant,) = grants(running)
        order.append(grant.request_id)
        shard_scheduler.dispatched(grant.request_id, Attempt(1), grant.upstream, 0.0)
        running = shard_scheduler.ended(grant.request_id, EndState.COMPLETE, 0, 0.0)
    assert sum("small" in request_id for request_id in order) == 5
