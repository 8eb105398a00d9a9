"""Decodes rows of the platform's store into the gateway's types; encodes those that nodes write.

Other programs write to the store as well: a row with a missing or mistyped field yields an error
message, never a partial value.
"""

import json
from dataclasses import field
from typing import Any

from result import Result

from ..gateway.fleet import UpstreamListing, UpstreamState
from ..gateway.routes import (
    Account,
    CallerLimits,
    ModelProfile,
    RequestKind,
    Route,
    RoutingConfig,
    ServiceProfile,
    WeightedService,
)
from ..ids import (
    AvailabilityZone,
    ClientAccountId,
    Fingerprint,
    InstanceId,
    PromptPartId,
    ServiceName,
    SoftwareVersion,
    Tier,
    UpstreamId,
)
from ..peers.heartbeats import PeerAddress
from ..util.lean_dataclasses import dataclass
from .row_fields import address, decode_row, integer, number, string

CONFIG_TABLE = "op"
"""The table with the operator's configuration."""
CONFIG_KEY = "config"
UPSTREAMS_TABLE = "servers"
"""The table in which upstreams register themselves."""
NODES_TABLE = "lentilchute-nodes"
"""The table in which nodes of this system register themselves."""

QUOTAS_TABLE = "lentilchute-quotas"
"""The table in which the coordinator stores the quota usage of accounts."""
QUOTAS_KEY = "used"
PROMPT_PARTS_TABLE = "lentilchute-prompt-parts"
"""The table in which the coordinator stores the requests and parts of prompts that crash
upstreams."""
PROMPT_PARTS_KEY = "blocked"
CRASHING_REQUESTS_KEY = "requests"
"""The row of the same table with the crashes of requests that are refused; earlier builds pass it
over."""

_REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
_UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}


def decode_config(value: bytes) -> Result[RoutingConfig, str]:
    """Decode the operator's configuration."""
    return decode_row(value, _config)


def decode_upstream(key: str, value: bytes) -> Result[UpstreamListing, str]:
    """Decode the row of an upstream; ``key`` is its id."""
    return decode_row(value, lambda row: _upstream(key, row))


def decode_node(key: str, value: bytes) -> Result[PeerAddress, str]:
    """Decode the row of a node of this system; ``key`` is its instance."""
    return decode_row(value, lambda row: PeerAddress(InstanceId(key), address(row["peers"])))


@dataclass(frozen=True, slots=True)
class QuotaUsage:
    """Quota usage of all accounts in the last window, timed by the store's clock."""

    at_s: float
    used: dict[ClientAccountId, list[float]]
    """Usage in each part of the window, oldest first."""
    reserved: dict[ClientAccountId, float] = field(default_factory=dict)
    """Further usage that the row allows for."""


def decode_quota_usage(value: bytes) -> Result[QuotaUsage, str]:
    """Decode the row with the quota usage."""
    return decode_row(value, _quota_usage)


def _quota_usage(row: Any) -> QuotaUsage:
    used = {
        ClientAccountId(string(account)): [number(part) for part in parts]
        for account, parts in row["used"].items()
    }
    reserved = {
        ClientAccountId(string(account)): number(amount)
        for account, amount in (row.get("reserved") or {}).items()
    }
    for account, amount in reserved.items():
        if used.get(account):
            # Earlier builds read the last part alone, which therefore holds both.
            used[account][-1] = max(0.0, used[account][-1] - amount)
    return QuotaUsage(at_s=number(row["at-s"]), used=used, reserved=reserved)


def encode_quota_usage(usage: QuotaUsage) -> bytes:
    """Return the value of the row with the quota usage."""
    used = {account: [round(part) for part in parts] for account, parts in usage.used.items()}
    reserved = {account: round(amount) for account, amount in usage.reserved.items()}
    for account, parts in used.items():
        parts[-1] += reserved.get(account, 0)
    return json.dumps({"at-s": usage.at_s, "used": used, "reserved": reserved}).encode()


def decode_blocked_parts(value: bytes) -> Result[dict[PromptPartId, float], str]:
    """Decode the row with the blocked parts of prompts: the time of each one's last crash, by the
    store's clock."""
    return decode_row(
        value,
        lambda row: {
            PromptPartId(string(part)): number(at_s) for part, at_s in row["parts"].items()
        },
    )


def encode_blocked_parts(last_crash_s: dict[PromptPartId, float]) -> bytes:
    """Return the value of the row with the blocked parts of prompts."""
    return json.dumps(
        {"parts": {part: round(at_s, 3) for part, at_s in last_crash_s.items()}}
    ).encode()


@dataclass(frozen=True, slots=True)
class StoredCrash:
    """A crash of an upstream that speaks against requests, timed by the store's clock."""

    upstream: UpstreamId
    started_ms: int
    at_s: float
    contents: tuple[Fingerprint, ...]
    begun: tuple[Fingerprint, ...]
    """Those of the requests whose first events had come."""


def decode_crashes(value: bytes) -> Result[tuple[StoredCrash, ...], str]:
    """Decode the row with the crashes of requests that are refused."""
    return decode_row(value, lambda row: tuple(_crash(item) for item in row["crashes"]))


def _crash(item: Any) -> StoredCrash:
    return StoredCrash(
        upstream=UpstreamId(string(item["id"])),
        started_ms=integer(item["born"]),
        at_s=number(item["at-s"]),
        contents=tuple(Fingerprint(string(content)) for content in item["requests"]),
        begun=tuple(Fingerprint(string(content)) for content in item["begun"]),
    )


def encode_crashes(crashes: tuple[StoredCrash, ...]) -> bytes:
    """Return the value of the row with the crashes of requests that are refused."""
    items = [
        {
            "id": crash.upstream,
            "born": crash.started_ms,
            "at-s": round(crash.at_s, 3),
            "requests": list(crash.contents),
            "begun": list(crash.begun),
        }
        for crash in crashes
    ]
    return json.dumps({"crashes": items}).encode()


def encode_node(peers_address: str) -> bytes:
    """Return the value of this node's row."""
    return json.dumps({"peers": peers_address}).encode()


def _config(row: Any) -> RoutingConfig:
    tenants = row.get("tenants")
    return RoutingConfig(
        version=integer(row["version"]),
        routes=tuple(_route(item) for item in row["routes"]),
        services={item["name"]: _service(item) for item in row["services"]},
        accounts=tuple(_account(item) for item in tenants or ()),
        needs_key=bool(tenants),
        limits=_limits(row.get("limits") or {}),
    )


def _route(item: Any) -> Route:
    return Route(
        name=string(item["name"]),
        host=string(item["host"]).lower(),
        path_prefix=string(item["path-prefix"]),
        kind=_REQUEST_KINDS[item["kind"]],
        timeout_s=number(item["timeout-ms"]) / 1000,
        objective_s=number(item.get("target-latency-ms") or item["timeout-ms"]) / 1000,
        tier=Tier(integer(item.get("priority") or 0)),
        targets=_targets(item),
        max_attempts=max(1, integer(item.get("max-attempts") or 1)),
        is_public=bool(item.get("public")),
        is_resumable=bool(item.get("resumable")),
        # "gap-target-ms" limits the pause between events of a stream, not between requests.
        max_pause_s=number(item.get("gap-target-ms") or 0) / 1000 or None,
    )


def _targets(item: Any) -> tuple[WeightedService, ...]:
    split = item.get("traffic-split")
    if not split:
        return (WeightedService(ServiceName(string(item["service"])), 1.0),)
    return tuple(
        WeightedService(ServiceName(string(part["service"])), number(part["weight"]))
        for part in split
    )


def _service(item: Any) -> ServiceProfile:
    engine = item.get("engine")
    return ServiceProfile(
        name=ServiceName(string(item["name"])),
        model=None if not engine else _model(engine),
    )


def _model(engine: Any) -> ModelProfile:
    return ModelProfile(
        slots=max(1, integer(engine["slots"])),
        # "stride" is the number of tokens per event of a stream.
        tokens_per_event=max(1, integer(engine.get("stride") or 1)),
        kv_tokens=max(0, integer(engine.get("kv-tokens") or 0)),
    )


def _account(item: Any) -> Account:
    return Account(
        name=ClientAccountId(string(item["name"])),
        keys=frozenset(string(key) for key in item["api-keys"]),
        # "rate-per-s" and "burst" are in the account's unit: requests, or prompt and output tokens.
        quota_per_s=number(item.get("rate-per-s") or 0) or None,
        quota_burst=number(item.get("burst") or 0),
        counts_tokens=item.get("unit") == "token_count",
        plain_request_tokens=number(item.get("plain-tokens") or 1),
        tier=None if item.get("priority") is None else Tier(integer(item["priority"])),
    )


def _limits(item: Any) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=integer(item.get("max-header-bytes") or 32_768),
        max_body_bytes=integer(item.get("max-body-bytes") or 4_194_304),
        header_timeout_s=number(item.get("header-timeout-ms") or 3_000) / 1000,
        idle_timeout_s=number(item.get("idle-timeout-ms") or 15_000) / 1000,
    )


def _upstream(key: str, row: Any) -> UpstreamListing:
    return UpstreamListing(
        upstream=UpstreamId(key),
        service=ServiceName(string(row["service"])),
        address=address(row["address"]),
        zone=AvailabilityZone(string(row["zone"])),
        slots=max(1, integer(row["slots"])),
        state=_UPSTREAM_STATES[row["state"]],
        # Start time of the upstream; the same id with another start time is another incarnation.
        started_ms=integer(row.get("born") or 0),
        version=SoftwareVersion(string(row["version"])),
        sequence=None if row.get("sequence") is None else integer(row["sequence"]),
    )
