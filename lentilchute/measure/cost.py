"""``python -m lentilchute.measure.cost``: time and memory of the scheduler's decisions.

Requests first fill about half of the engines' streams; then a number of further tickets are
submitted, which wait once the scheduler's limits leave no capacity. Each round submits a ticket,
ends a running request, which normally leads to the grant of a waiting one, and reports the dispatch
and first token of each grant. Garbage collection is off during the rounds. The time of a round is
divided by its 4 calls, which assumes one grant per round. The table shows the mean and the maximum
of this over all rounds, and the mean memory allocated for each further ticket, including the
ticket itself.
"""

import gc
import itertools
import random
import time
import tracemalloc
from dataclasses import dataclass

from ..document import (
    AccountEntry,
    ServiceDocument,
    TierEntry,
    UpstreamEntry,
    UpstreamGroup,
    UpstreamKind,
)
from ..ids import (
    Attempt,
    AvailabilityZone,
    BlockHash,
    ClientAccountId,
    Fingerprint,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    ShardId,
    Tier,
    UpstreamId,
)
from ..scheduler.shard import ShardScheduler
from ..scheduler.tickets import Decision, EndState, Grant, Ticket
from ..settings import SchedulerSettings
from ..upstream.adapters import Upstream

ENGINE_COUNTS = (10, 32, 100, 810)
WAITING_COUNTS = (100, 1_000, 10_000, 100_000)
ROUNDS = 300
CALLS_PER_ROUND = 4
STREAMS_PER_ENGINE = 32
PROMPT_BLOCKS = 16
ACCOUNT_COUNT = 340
TIER_COUNT = 4
ZONE = AvailabilityZone("tunis-a")


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of decisions and tickets for one number of engines and of further tickets."""

    engines: int
    waiting: int
    decision_us: float
    slowest_us: float
    ticket_bytes: float


class LoadedShard:
    """A scheduler with running requests, and waiting tickets if its capacity is used up."""

    def __init__(self, engines: int, waiting: int) -> None:
        self._numbers = itertools.count()
        self._rng = random.Random(1)
        self.now_s = 0.0
        self.running: list[Grant] = []
        self.times_us: list[float] = []
        members = tuple(
            UpstreamEntry(name=f"e{n}", address="127.0.0.1:1", availability_zone=ZONE)
            for n in range(engines)
        )
        group = UpstreamGroup(
            kind=UpstreamKind.ENGINE,
            members=members,
            max_streams=STREAMS_PER_ENGINE,
            cache_tokens=200_000,
        )
        document = ServiceDocument(
            service="drafters",
            upstreams=(group,),
            tiers=tuple(TierEntry(name=f"t{n}", max_waiting=1_000_000) for n in range(TIER_COUNT)),
            client_accounts=tuple(
                AccountEntry(name=f"a{n}", key_sha256=f"{n:064x}") for n in range(ACCOUNT_COUNT)
            ),
        )
        settings = SchedulerSettings(max_tickets=10 * max(WAITING_COUNTS))
        self.scheduler = ShardScheduler(
            ShardId("drafters/0"), document, settings, self._rng, self.now_s
        )
        for member in members:
            upstream = Upstream(UpstreamId(member.name), "", ZONE, UpstreamKind.ENGINE)
            self.scheduler.add_upstream(upstream, group, self.now_s)
        while len(self.running) < engines * STREAMS_PER_ENGINE // 2:
            before = len(self.running)
            self.dispatch_grants(self.scheduler.submit(self.create_ticket(), self.now_s))
            if len(self.running) == before:
                break
        tracemalloc.start()
        bytes_before = tracemalloc.get_traced_memory()[0]
        for _ in range(waiting):
            self.dispatch_grants(self.scheduler.submit(self.create_ticket(), self.now_s))
        allocated_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
        tracemalloc.stop()
        self.ticket_bytes = allocated_bytes / waiting

    def create_ticket(self) -> Ticket:
        """Return a new ticket whose prompt begins with one of 200 shared prefixes."""
        number = next(self._numbers)
        first_shared = self._rng.randrange(200) * PROMPT_BLOCKS
        shared_blocks = tuple(BlockHash(first_shared + n) for n in range(PROMPT_BLOCKS // 2))
        first_unique = 1_000_000 + number * PROMPT_BLOCKS
        unique_blocks = tuple(BlockHash(first_unique + n) for n in range(PROMPT_BLOCKS // 2))
        return Ticket(
            RequestId(f"i{number % 9}.a/{number}"),
            Attempt(1),
            InstanceId(f"i{number % 9}"),
            ZONE,
            ServiceName("drafters"),
            Tier(self._rng.randrange(TIER_COUNT)),
            ClientAccountId(f"a{self._rng.randrange(ACCOUNT_COUNT)}"),
            1e9,
            PROMPT_BLOCKS * 64,
            200,
            ModelName("m"),
            Fingerprint(str(number)),
            shared_blocks + unique_blocks,
        )

    def dispatch_grants(self, decisions: list[Decision]) -> None:
        """Report the dispatch and the first token of each granted request."""
        for decision in decisions:
            if isinstance(decision, Grant):
                self.running.append(decision)
                self.scheduler.dispatched(
                    decision.request_id, decision.attempt, decision.upstream, self.now_s
                )
                self.scheduler.progress(decision.request_id, 1, self.now_s)

    def run_round(self) -> None:
        """Run one round and record its time per call, assuming one grant."""
        self.now_s += 0.01
        ticket = self.create_ticket()
        position = self._rng.randrange(len(self.running))
        ended = self.running.pop(position)
        started = time.perf_counter()
        decisions = self.scheduler.submit(ticket, self.now_s)
        decisions += self.scheduler.ended(ended.request_id, EndState.COMPLETE, 0, self.now_s)
        self.dispatch_grants(decisions)
        self.times_us.append(1e6 * (time.perf_counter() - started) / CALLS_PER_ROUND)


def measure_cost(engines: int, waiting: int) -> Cost:
    """Measure the cost with a number of engines and of further tickets."""
    shard = LoadedShard(engines, waiting)
    gc.collect()
    gc.disable()
    for _ in range(ROUNDS):
        shard.run_round()
    gc.enable()
    mean_us = sum(shard.times_us) / ROUNDS
    return Cost(engines, waiting, mean_us, max(shard.times_us), shard.ticket_bytes)


def main() -> None:
    """Print a table of the costs."""
    print(f"{'engines':>8}{'waiting':>9}{'us/decision':>13}{'slowest us':>12}{'bytes/ticket':>14}")
    for engines in ENGINE_COUNTS:
        for waiting in WAITING_COUNTS:
            cost = measure_cost(engines, waiting)
            print(
                f"{cost.engines:8d}{cost.waiting:9d}{cost.decision_us:13.1f}"
                f"{cost.slowest_us:12.1f}{cost.ticket_bytes:14.0f}"
            )


if __name__ == "__main__":
    main()
