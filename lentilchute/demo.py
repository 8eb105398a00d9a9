"""A complete deployment on embedded stand-ins, in one process on loopback, with four tiers.

Three nodes serve three engines of different speeds and a plain service. The callers send more than
the engines can process, so that the effect of the tiers is visible.
"""

import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from hashlib import sha256

import trio
from prometheus_client.parser import text_string_to_metric_families

from .caller.client import CallerClient, CallerSettings, CallRequest, CallResult, CallState
from .errors import UserError
from .http.client import ClientRequest, HttpClient
from .ids import DocumentVersion, ServiceName
from .metrics_catalogue import Metric
from .node import Node
from .operators.api import operator_key
from .settings import Listen, NodeSettings, PeerSeed, PlatformSettings
from .standins import engine, plain, platform
from .standins.engine_settings import EngineStandinSettings
from .state.configuration_apply import ApplyState, DocumentChange
from .state.document_changes import apply_change
from .state.platform_services import platform_for
from .util.reserved_address import AddressReservations

TIERS = ("signing", "client-answer", "summary", "sorting")
CALLERS_BY_TIER = {"signing": 4, "client-answer": 8, "summary": 16, "sorting": 24}
DEADLINES_S = {"signing": 5.0, "client-answer": 5.0, "summary": 8.0, "sorting": 3.0}
PROMPT_WORDS_BY_TIER = {"signing": 300, "client-answer": 120, "summary": 1_500, "sorting": 20}
OUTPUT_TOKENS = 24
ZONES = ("zone-a", "zone-b", "zone-c")
ENGINE_SPEEDS = (1.0, 2.0, 5.0)
PREFILL_TOKENS_PER_S = 2_000.0
DECODE_TOKENS_PER_S = 30.0
ENGINE_BATCH = 4
SHARED_KEY = "demo-shared-key-0001"
ACCOUNT_KEY = "demo-account-key"
MODEL_SERVICE = ServiceName("drafts")
PLAIN_SERVICE = ServiceName("bookings")
READY_TIMEOUT_S = 20.0
READY_CHECK_S = 0.05
BOOKING_INTERVAL_S = 0.2

ProgressCallback = Callable[[str], None]


@dataclass(slots=True)
class TierTally:
    """Results of the calls of one tier."""

    sent: int = 0
    complete: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    broken: int = 0
    first_byte_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class DemoResult:
    """Results of the demo: by tier for the model service, and for the plain booking service."""

    tiers: dict[str, TierTally]
    bookings: TierTally
    wasted_prefill_tokens: dict[str, int]
    """By reason, from the nodes' metrics."""
    prefill_tokens: int
    """Prompt tokens of all complete answers."""


@dataclass(slots=True)
class _Deployment:
    nodes: list[Node]
    engines: dict[str, str]
    plain: str
    platform: str


async def run_demo(duration_s: float, seed: int, report: ProgressCallback) -> DemoResult:
    """Start the deployment, run callers for ``duration_s``, stop, and return the results."""
    async with trio.open_nursery() as nursery:
        report("starting the stand-ins and three nodes")
        deployment = await _start(nursery)
        await _wait_until_ready(deployment)
        report(f"sending requests of four tiers for {duration_s:g} s")
        result = await _run_callers(deployment, duration_s, random.Random(seed))
        result.wasted_prefill_tokens = await _sum_wasted_prefill(deployment)
        nursery.cancel_scope.cancel()
    return result


async def _start(nursery: trio.Nursery) -> _Deployment:
    platform_address = await nursery.start(platform.serve, platform.PlatformStandinSettings())
    plain_address = await nursery.start(plain.serve, plain.PlainStandinSettings())
    engines = {}
    for number, speed in enumerate(ENGINE_SPEEDS, 1):
        settings = EngineStandinSettings(
            name=f"engine-{number}",
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S * speed,
            decode_tokens_per_s=DECODE_TOKENS_PER_S * speed,
            max_batch=ENGINE_BATCH,
        )
        engines[settings.name] = await nursery.start(engine.serve, settings)
    await _submit_documents(platform_address, engines, plain_address)
    reservations = AddressReservations()
    nodes = [Node(settings) for settings in _node_settings(platform_address, reservations)]
    for node in nodes:
        await nursery.start(node.run)
    reservations.close()
    return _Deployment(nodes, engines, plain_address, platform_address)


def _node_settings(platform_address: str, reservations: AddressReservations) -> list[NodeSettings]:
    names = [f"entry-{number}" for number in range(1, len(ZONES) + 1)]
    peers = {name: reservations.reserve() for name in names}
    return [
        NodeSettings(
            instance=name,
            availability_zone=zone,
            listen=Listen(
                callers=reservations.reserve(),
                peers=peers[name],
                operators=reservations.reserve(),
            ),
            peers=tuple(
                PeerSeed(instance=other, address=address)
                for other, address in peers.items()
                if other != name
            ),
            platform=PlatformSettings(
                table=platform_address, objects=platform_address, instances=platform_address
            ),
            shared_key=SHARED_KEY,
        )
        for name, zone in zip(names, ZONES, strict=True)
    ]


async def _submit_documents(platform_address: str, engines: dict[str, str], plain: str) -> None:
    adapter = platform_for(
        PlatformSettings(
            table=platform_address, objects=platform_address, instances=platform_address
        )
    )
    for service, text in (
        (MODEL_SERVICE, _document(MODEL_SERVICE, "engine", engines)),
        (PLAIN_SERVICE, _document(PLAIN_SERVICE, "plain", {"bookings-1": plain})),
    ):
        change = DocumentChange(service, text, DocumentVersion(0), f"demo-{service}", "demo")
        operation = await apply_change(adapter.table, change, READY_TIMEOUT_S)
        if operation.state is not ApplyState.ACCEPTED:
            raise UserError(f"the document of {service} was not accepted")
    await adapter.aclose()


def _document(service: ServiceName, kind: str, upstreams: dict[str, str]) -> str:
    members = [
        {"name": name, "address": address, "availability_zone": ZONES[number % len(ZONES)]}
        for number, (name, address) in enumerate(upstreams.items())
    ]
    group = {"kind": kind, "members": members, "max_streams": ENGINE_BATCH}
    tiers = [{"name": name, "max_waiting": 8 if name == "sorting" else 64} for name in TIERS]
    account = {"name": "demo", "key_sha256": sha256(ACCOUNT_KEY.encode()).hexdigest()}
    # JSON is valid YAML.
    return json.dumps(
        {
            "service": service,
            "upstreams": [group],
            "tiers": tiers,
            "client_accounts": [account],
            "paths": [{"pattern": "/book", "idempotent": False}],
        }
    )


async def _wait_until_ready(deployment: _Deployment) -> None:
    with trio.move_on_after(READY_TIMEOUT_S):
        for node in deployment.nodes:
            await _wait_until_node_is_ready(node)
        return
    raise UserError(f"the nodes were not ready within {READY_TIMEOUT_S:g} s")


async def _wait_until_node_is_ready(node: Node) -> None:
    client = HttpClient(node.settings.listen.operators)
    while True:
        if await _is_ready(client):
            break
        await trio.sleep(READY_CHECK_S)
    await client.aclose()


async def _is_ready(client: HttpClient) -> bool:
    answer = await client.call(ClientRequest("GET", "/status", _operator_headers()))
    if answer.is_err():
        return False
    status = json.loads(answer.unwrap().body)
    return bool(status["ready"]) and len(status["documents"]) == 2 and len(status["peers"]) == 2


def _operator_headers() -> tuple[tuple[str, str], ...]:
    return (("authorization", f"Bearer {operator_key(SHARED_KEY)}"),)


async def _run_callers(
    deployment: _Deployment, duration_s: float, rng: random.Random
) -> DemoResult:
    addresses = tuple(node.settings.listen.callers for node in deployment.nodes)
    client = CallerClient(CallerSettings(addresses, ACCOUNT_KEY, max_attempts=1), rng)
    result = DemoResult({name: TierTally() for name in TIERS}, TierTally(), {}, 0)
    end_s = trio.current_time() + duration_s
    async with trio.open_nursery() as nursery:
        for tier, count in CALLERS_BY_TIER.items():
            for number in range(count):
                name = f"{tier} {number}"
                nursery.start_soon(_call_model_service, client, result, tier, name, end_s, rng)
        nursery.start_soon(_call_booking_service, client, result, end_s)
    await client.aclose()
    return result


async def _call_model_service(
    client: CallerClient,
    result: DemoResult,
    tier: str,
    name: str,
    end_s: float,
    rng: random.Random,
) -> None:
    """Call in a loop; all prompts of one caller share a prefix."""
    words = PROMPT_WORDS_BY_TIER[tier]
    shared_prefix = " ".join(f"{name}-{number}" for number in range(words * 3 // 4))
    count = 0
    while trio.current_time() < end_s:
        count += 1
        unique_suffix = " ".join(f"{count}-{number}" for number in range(words // 4))
        body = {
            "model": "model",
            "stream": True,
            "max_tokens": OUTPUT_TOKENS,
            "messages": [{"role": "user", "content": f"{shared_prefix} {unique_suffix}"}],
        }
        request = CallRequest(
            MODEL_SERVICE,
            "/v1/chat/completions",
            body=json.dumps(body).encode(),
            tier=tier,
            deadline_s=DEADLINES_S[tier],
        )
        call = await _call_and_count(client, request, result.tiers[tier])
        if call.state is CallState.COMPLETE:
            result.prefill_tokens += words
        elif call.retry_after_s is not None:
            remaining_s = max(end_s - trio.current_time(), 0.0)
            await trio.sleep(min(call.retry_after_s * rng.uniform(1.0, 1.2), remaining_s))


async def _call_booking_service(client: CallerClient, result: DemoResult, end_s: float) -> None:
    count = 0
    while trio.current_time() < end_s:
        count += 1
        request = CallRequest(
            PLAIN_SERVICE,
            "/book",
            body=json.dumps({"hour": count}).encode(),
            tier=TIERS[0],
            deadline_s=DEADLINES_S[TIERS[0]],
            idempotency_key=f"booking-{count}",
        )
        await _call_and_count(client, request, result.bookings)
        await trio.sleep(BOOKING_INTERVAL_S)


async def _call_and_count(
    client: CallerClient, request: CallRequest, tally: TierTally
) -> CallResult:
    started_s = trio.current_time()
    tally.sent += 1
    call = await client.call(request, _first_byte_timer(started_s, tally))
    if call.state is CallState.COMPLETE:
        tally.complete += 1
    elif call.state is CallState.REFUSED:
        tally.refused[call.reason] = tally.refused.get(call.reason, 0) + 1
    else:
        tally.broken += 1
    return call


def _first_byte_timer(started_s: float, tally: TierTally) -> Callable[[bytes], Awaitable[None]]:
    is_first = True

    async def deliver(data: bytes) -> None:
        nonlocal is_first
        if is_first:
            is_first = False
            tally.first_byte_s.append(trio.current_time() - started_s)

    return deliver


async def _sum_wasted_prefill(deployment: _Deployment) -> dict[str, int]:
    """Return the wasted prefill tokens by reason, summed over the nodes' metrics pages."""
    totals: Counter[str] = Counter()
    for node in deployment.nodes:
        client = HttpClient(node.settings.listen.operators)
        page = await client.call(ClientRequest("GET", "/metrics", _operator_headers()))
        await client.aclose()
        if page.is_err():
            raise UserError("a node's metrics could not be read")
        for family in text_string_to_metric_families(page.unwrap().body.decode()):
            for sample in family.samples:
                if sample.name == Metric.WASTED_PREFILL_TOKENS.value.exposed_name:
                    totals[sample.labels["reason"]] += int(sample.value)
    return dict(totals)
