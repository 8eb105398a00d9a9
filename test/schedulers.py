"""Builders for scheduler tests."""

import random
from typing import Any

from lentilchute.document import (
    AccountEntry,
    ServiceDocument,
    TierEntry,
    UpstreamEntry,
    UpstreamGroup,
    UpstreamKind,
)
from lentilchute.ids import (
    Attempt,
    AvailabilityZone,
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
from lentilchute.scheduler.policy import FULL_POLICY, Policy
from lentilchute.scheduler.shard import ShardScheduler
from lentilchute.scheduler.tickets import Decision, Grant, Refusal, Ticket
from lentilchute.settings import SchedulerSettings
from lentilchute.upstream.adapters import Upstream

ZONE = AvailabilityZone("tunis-a")


def group(names: list[str], **fields: Any) -> UpstreamGroup:
    members = tuple(
        UpstreamEntry(name=name, address="127.0.0.1:1", availability_zone=ZONE) for name in names
    )
    return UpstreamGroup(kind=UpstreamKind.ENGINE, members=members, **fields)


def document(
    upstreams: UpstreamGroup, tiers: tuple[TierEntry, ...] | None = None
) -> ServiceDocument:
    tiers = tiers or tuple(TierEntry(name=f"tier-{rank}") for rank in range(3))
    accounts = tuple(AccountEntry(name=f"acct-{n}", key_sha256=f"{n:064x}") for n in range(3))
    return ServiceDocument(
        service="drafts", upstreams=(upstreams,), tiers=tiers, client_accounts=accounts
    )


def upstream(name: str) -> Upstream:
    return Upstream(UpstreamId(name), "127.0.0.1:1", ZONE, UpstreamKind.ENGINE)


def scheduler(
    doc: ServiceDocument, policy: Policy = FULL_POLICY, **settings: Any
) -> ShardScheduler:
    shard_scheduler = ShardScheduler(
        ShardId("drafts/0"),
        doc,
        SchedulerSettings(**settings),
        random.Random(1),
        0.0,
        policy=policy,
    )
    for one in doc.upstreams:
        for member in one.members:
            shard_scheduler.add_upstream(upstream(member.name), one, 0.0)
    return shard_scheduler


def ticket(name: str, tier: int = 0, **fields: Any) -> Ticket:
    values: dict[str, Any] = {
        "request_id": RequestId(f"i1.a/{name}"),
        "attempt": Attempt(1),
        "entry": InstanceId("i1"),
        "zone": ZONE,
        "service": ServiceName("drafts"),
        "tier": Tier(tier),
        "client_account": ClientAccountId("acct-0"),
        "deadline_s": 60.0,
        "prompt_tokens": 100,
        "max_output_tokens": 10,
        "model": ModelName("m"),
        "fingerprint": Fingerprint(f"f-{name}"),
    }
    return Ticket(**(values | fields))


def grants(decisions: list[Decision]) -> list[Grant]:
    return [decision for decision in decisions if isinstance(decision, Grant)]


def refusals(decisions: list[Decision]) -> list[Refusal]:
    return [decision for decision in decisions if isinstance(decision, Refusal)]
