"""Requests, settings and helpers for the tests of the entry's decision code."""

import random
from dataclasses import replace
from typing import Any, TypeVar

from lentilchute.entry.actions import AcceptedRequest, EntryAction
from lentilchute.entry.requests import EntryRequests
from lentilchute.ids import (
    Attempt,
    ClientAccountId,
    Fingerprint,
    IdempotencyKey,
    IncarnationId,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    Tier,
    UpstreamId,
    shard_id,
)
from lentilchute.scheduler.tickets import Grant
from lentilchute.settings import EntrySettings, Listen, NodeSettings, PlatformSettings
from lentilchute.state.claim_answers import ClaimAnswer, ClaimState

SERVICE = ServiceName("agenda-core")
SHARD = shard_id(SERVICE)
FIRST = InstanceId("entry-1")
SECOND = InstanceId("entry-2")
ENGINE = UpstreamId("engine-1")
OTHER_ENGINE = UpstreamId("engine-2")

REQUEST = AcceptedRequest(
    service=SERVICE,
    method="POST",
    path="/v1/chat/completions",
    headers=(),
    body=b"{}",
    streaming=True,
    tier=Tier(1),
    client_account=ClientAccountId("notary-1"),
    deadline_s=30.0,
    prompt_tokens=100,
    max_output_tokens=50,
    model=ModelName("m"),
    fingerprint=Fingerprint("f"),
)
BOOKING = replace(REQUEST, idempotent=False, idempotency_key=IdempotencyKey("k-1"))
CLAIMED = ClaimAnswer(ClaimState.GRANTED)

ActionT = TypeVar("ActionT")


def node_settings(instance: str = "entry-1", **entry: Any) -> NodeSettings:
    """Return settings of a node, with the given entry settings in place of the defaults."""
    address = "127.0.0.1:1"
    return NodeSettings(
        instance=instance,
        availability_zone="tunis-a",
        listen=Listen(callers=address, peers=address, operators=address),
        platform=PlatformSettings(table=address, objects=address, instances=address),
        shared_key="0123456789abcdef",
        entry=EntrySettings(**entry),
    )


def new_entry(**entry: Any) -> EntryRequests:
    """Return an entry whose shard has the scheduler candidates ``FIRST`` and ``SECOND``."""
    requests = EntryRequests(IncarnationId("entry-1.aa"), node_settings(**entry), random.Random(1))
    requests.set_scheduler_order(SHARD, (FIRST, SECOND), 0.0)
    return requests


def grant(
    request: RequestId, attempt: int = 1, upstream: UpstreamId = ENGINE, expires_s: float = 5.0
) -> Grant:
    """Return a grant for an attempt."""
    return Grant(request, Attempt(attempt), FIRST, upstream, expires_s)


def only(actions: list[EntryAction], kind: type[ActionT]) -> ActionT:
    """Return the one action of a kind."""
    found = [action for action in actions if isinstance(action, kind)]
    assert len(found) == 1, actions
    return found[0]


def has(actions: list[EntryAction], kind: type) -> bool:
    """Return whether there is an action of a kind."""
    return any(isinstance(action, kind) for action in actions)


def dispatched(requests: EntryRequests, request: AcceptedRequest = REQUEST) -> RequestId:
    """Take a request through grant, claim and dispatch at time 0."""
    request_id, _ = requests.accept(request, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    if not request.idempotent:
        requests.claim_resolved(request_id, CLAIMED, 0.0)
    assert requests.may_send(request_id, Attempt(1), 0.0)
    requests.take_actions()
    return request_id
