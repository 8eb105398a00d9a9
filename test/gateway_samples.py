"""Sample values for the gateway's tests."""

import json
from typing import Any

from lentilchute.gateway.fleet import UpstreamListing, UpstreamState
from lentilchute.gateway.routes import RequestKind, Route, WeightedService
from lentilchute.gateway.settings import DispatchSettings, ReadingSettings
from lentilchute.gateway.tickets import Ticket, TicketKey
from lentilchute.ids import (
    AvailabilityZone,
    ClientAccountId,
    IncarnationId,
    ServiceName,
    SoftwareVersion,
    Tier,
    UpstreamId,
)

SERVICE = ServiceName("drafters")
ZONE = AvailabilityZone("zone-1")

DISPATCH = DispatchSettings(
    reply_timeout_s=0.12,
    report_interval_s=0.02,
    refresh_interval_s=2.0,
    digest_interval_s=1.0,
    hold_share=0.5,
    retry_after_min_s=0.2,
    retry_after_max_s=5.0,
)
READING = ReadingSettings(
    leaving_within_s=2.0,
    config_within_s=2.0,
    outage_after_s=1.0,
    outage_memory_s=2.0,
)


def listing(
    name: str,
    *,
    state: UpstreamState = UpstreamState.READY,
    started_ms: int = 1,
    slots: int = 4,
    zone: AvailabilityZone = ZONE,
    address: str = "127.0.0.1:9",
    version: str = "v1",
) -> UpstreamListing:
    """Return an upstream's listing."""
    return UpstreamListing(
        upstream=UpstreamId(name),
        service=SERVICE,
        address=address,
        zone=zone,
        slots=slots,
        state=state,
        started_ms=started_ms,
        version=SoftwareVersion(version),
    )


def route(
    kind: RequestKind = RequestKind.IDEMPOTENT,
    *,
    max_attempts: int = 2,
    is_resumable: bool = False,
    path_prefix: str = "/a/",
    host: str = "a.example",
) -> Route:
    """Return a route."""
    return Route(
        name="route",
        host=host,
        path_prefix=path_prefix,
        kind=kind,
        timeout_s=5.0,
        objective_s=0.4,
        tier=Tier(0),
        targets=(WeightedService(SERVICE, 1.0),),
        max_attempts=max_attempts,
        is_public=False,
        is_resumable=is_resumable,
        max_pause_s=0.4 if kind is RequestKind.STREAM else None,
    )


def key(number: int, node: str = "node-1.1") -> TicketKey:
    """Return a ticket's key."""
    return TicketKey(IncarnationId(node), number)


def ticket(
    number: int,
    *,
    node: str = "node-1.1",
    account: str | None = None,
    cost: float = 0.0,
    is_repeat: bool = False,
    arrived_s: float = 0.0,
    tier: int = 0,
    prompt_tokens: int = 1_000,
    expected_events: float = 0.0,
    max_events: float = 0.0,
    deadline_s: float | None = None,
    may_repeat: bool = True,
) -> Ticket:
    """Return a ticket."""
    return Ticket(
        key=key(number, node),
        zone=ZONE,
        service=SERVICE,
        tier=Tier(tier),
        prompt_tokens=prompt_tokens,
        expected_events=expected_events,
        max_events=max_events,
        arrived_s=arrived_s,
        objective_s=0.4,
        deadline_s=arrived_s + 5.0 if deadline_s is None else deadline_s,
        may_repeat=may_repeat,
        account=None if account is None else ClientAccountId(account),
        cost=cost,
        is_repeat=is_repeat,
    )


def upstream_row(
    service: str,
    address: str,
    *,
    state: str = "ready",
    started_ms: int = 1,
    slots: int = 4,
    version: str = "v1",
) -> bytes:
    """Return an upstream's row in the platform's format."""
    row = {
        "service": service,
        "address": address,
        "zone": "zone-1",
        "version": version,
        "slots": slots,
        "state": state,
        "cold-remaining-ms": 0,
        "born": started_ms,
    }
    return json.dumps(row).encode()


def config_row(**changes: Any) -> bytes:
    """Return the operator's configuration in the platform's format."""
    row: dict[str, Any] = {
        "version": 7,
        "routes": [
            {
                "name": "drafts",
                "host": "a.example",
                "path-prefix": "/drafts/",
                "kind": "streaming",
                "timeout-ms": 4000,
                "target-latency-ms": 800,
                "priority": 0,
                "service": "drafters",
                "max-attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap-target-ms": 400,
            },
            {
                "name": "book",
                "host": "a.example",
                "path-prefix": "/book/",
                "kind": "unsafe",
                "timeout-ms": 2000,
                "target-latency-ms": 400,
                "priority": 2,
                "service": "agenda",
                "max-attempts": 1,
                "public": False,
            },
            {
                "name": "view",
                "host": "a.example",
                "path-prefix": "/view/",
                "kind": "safe",
                "timeout-ms": 2000,
                "target-latency-ms": 400,
                "priority": 2,
                "service": "agenda",
                "max-attempts": 2,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "drafters",
                "health-path": "/healthz",
                "max-conns": 100,
                "engine": {"slots": 4, "kv-tokens": 100000, "stride": 6},
            },
            {"name": "agenda", "health-path": "/healthz", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1000000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {
                "name": "notary",
                "api-keys": ["key-1"],
                "priority": 1,
                "unit": "token_count",
                "plain-tokens": 200,
                "rate-per-s": 100000,
                "burst": 100000,
            }
        ],
    }
    return json.dumps({**row, **changes}).encode()
