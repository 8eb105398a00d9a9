"""Complete gateways on loopback: forwarding of requests, and behaviour under faults."""

import json
from collections import Counter

import pytest
import trio
from gateway_samples import config_row
from gateway_world import GatewayWorld, run_world
from result import Result

from lentilchute.gateway import peering
from lentilchute.gateway.coordinator import CoordinatorController
from lentilchute.gateway.crash_guard import fingerprint
from lentilchute.gateway.crash_reports import CrashReportController
from lentilchute.gateway.messages import CrashNotice
from lentilchute.gateway.placement_client import PlacementClient
from lentilchute.gateway.tickets import Decision, Ticket
from lentilchute.http.client import ClientRequest, HttpClient
from lentilchute.http.messages import header_value
from lentilchute.ids import ServiceName, UpstreamId
from lentilchute.platform import endpoints, rows
from lentilchute.platform.store import StoreClient, StoreFault, TablePage
from lentilchute.standins.routed_upstream import event
from lentilchute.standins.store import StoreFaultMode

MAX_DRAFTS = 40
"""Which of two like upstreams a draft goes to is drawn at random; so many reach both."""
DRAFT = {"method": "POST", "tokens": "1000,60", "body": b"prompt"}


def complete_stream(events: int) -> bytes:
    return b"".join(event(number) for number in range(1, events + 1))


def test_each_kind_of_request_is_served_through_every_node() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for node in range(2):
            view = await world.call("/view/1", node)
            assert view is not None and view.status == 200 and view.body.startswith(b"answer of a")
            booking = await world.call("/book/1", node, method="POST", body=b"x")
            assert booking is not None and booking.status == 200
            draft = await world.call("/drafts/1", node, **DRAFT)
            assert draft is not None and draft.body == complete_stream(5)
            assert header_value(draft.headers, "lentilchute-engine-stamp") is not None

    run_world(scenario)


def test_tickets_have_the_tier_of_their_account(monkeypatch: pytest.MonkeyPatch) -> None:
    # The sample configuration's account has tier 1, its routes 0 and 2.
    tiers = []
    place = PlacementClient.place

    async def record(client: PlacementClient, ticket: Ticket) -> Decision:
        tiers.append(ticket.tier)
        return await place(client, ticket)

    monkeypatch.setattr(PlacementClient, "place", record)

    async def scenario(world: GatewayWorld) -> None:
        await world.call("/view/1")
        await world.call("/drafts/1", **DRAFT)

    run_world(scenario)
    assert tiers == [1, 1]


def test_requests_reach_upstreams_unchanged() -> None:
    async def scenario(world: GatewayWorld) -> None:
        await world.call("/book/1?a=%20b", method="POST", body=b"body", attempt="one")
        seen = [
            request
            for upstream in world.upstreams.values()
            for request in upstream.standin.received
        ]
        (request,) = seen
        assert (request.method, request.path, request.body) == ("POST", "/book/1?a=%20b", b"body")
        assert header_value(request.headers, "lentilchute-attempt-id") == "one"
        assert header_value(request.headers, "lentilchute-tenant-name") == "notary"
        assert header_value(request.headers, "lentilchute-key") is None
        left_ms = int(header_value(request.headers, "lentilchute-deadline-ms") or 0)
        assert 1500 < left_ms <= 2000

    run_world(scenario)


def test_unknown_routes_and_keys_are_refused() -> None:
    async def scenario(world: GatewayWorld) -> None:
        missing = await world.call("/nowhere/1")
        assert missing is not None and missing.status == 404
        stranger = await world.call("/view/1", headers=(("lentilchute-key", "other"),))
        # With two key headers the first one counts, so this request still carries the valid key.
        assert stranger is not None
        client = HttpClient(world.nodes[0].callers)
        answer = await client.call(
            ClientRequest("GET", "/view/1", (("host", "a.example"), ("lentilchute-key", "x")))
        )
        assert answer.unwrap().status == 401
        await client.aclose()

    run_world(scenario)


def test_a_broken_stream_is_resumed_without_gap_or_repeat() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for upstream in world.upstreams.values():
            upstream.standin.behaviour.aborts_after_event = 2
        for number in range(4):
            draft = await world.call(f"/drafts/{number}", **DRAFT)
            assert draft is not None and draft.body == complete_stream(5)

    run_world(scenario)


def test_a_stream_that_cannot_be_resumed_is_visibly_broken() -> None:
    async def scenario(world: GatewayWorld) -> None:
        world.upstreams["d0"].standin.behaviour.aborts_after_event = 2
        assert await world.call("/drafts/1", **DRAFT) is None

    run_world(scenario, drafters=1)


def test_a_silent_stream_is_taken_up_elsewhere() -> None:
    async def scenario(world: GatewayWorld) -> None:
        standin = world.upstreams["d0"].standin
        standin.behaviour.stalls_after_event = 2
        for number in range(MAX_DRAFTS):
            draft = await world.call(f"/drafts/{number}", **DRAFT)
            assert draft is not None and draft.body == complete_stream(5)
            if standin.received:
                break
        assert standin.abandoned

    run_world(scenario)


def test_a_stream_that_only_drips_bytes_is_taken_up_elsewhere() -> None:
    async def scenario(world: GatewayWorld) -> None:
        standin = world.upstreams["d0"].standin
        standin.behaviour.drips_after_event = 2
        for number in range(MAX_DRAFTS):
            draft = await world.call(f"/drafts/{number}", **DRAFT)
            assert draft is not None and draft.body == complete_stream(5)
            if standin.received:
                break
        assert standin.abandoned

    run_world(scenario)


def test_a_slow_but_sound_stream_is_not_cut() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for name in ("d0", "d1"):
            # Half as long again as the longest pause of the route, over and over.
            world.upstreams[name].standin.behaviour.event_pause_s = 0.6
        draft = await world.call("/drafts/slow", attempt="slow", **DRAFT)
        assert draft is not None and draft.body == complete_stream(5)
        assert world.runs("slow") == 1

    run_world(scenario)


def test_a_booking_whose_answer_is_lost_is_not_sent_again() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.drops_answer = True
        answer = await world.call("/book/1", method="POST", body=b"x", attempt="lost")
        assert answer is not None and answer.status == 502
        assert world.runs("lost") == 1

    run_world(scenario)


def test_a_view_whose_answer_is_lost_is_retried_at_another_upstream() -> None:
    async def scenario(world: GatewayWorld) -> None:
        world.upstreams["a0"].standin.behaviour.drops_answer = True
        for number in range(6):
            answer = await world.call(f"/view/{number}")
            assert answer is not None and answer.status == 200

    run_world(scenario)


def test_a_shedding_upstream_gives_an_honest_refusal() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for upstream in world.upstreams.values():
            upstream.standin.behaviour.sheds = True
        answer = await world.call("/book/1", method="POST", body=b"x", attempt="shed")
        assert answer is not None and answer.status == 503
        assert float(header_value(answer.headers, "retry-after") or 0) > 0
        assert world.runs("shed") == 0

    run_world(scenario)


def test_spoiled_answers_do_not_reach_callers() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.omits_signature = True
        answer = await world.call("/view/1")
        assert answer is not None and answer.status == 502
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.omits_signature = False
            world.upstreams[name].standin.behaviour.wrong_id = True
        answer = await world.call("/book/1", method="POST", attempt="mixed")
        assert answer is not None and answer.status == 502
        assert world.runs("mixed") == 1

    run_world(scenario)


def test_an_unsaid_503_of_an_upstream_is_not_passed_on_as_a_promise() -> None:
    """The upstream may have executed the request: its 503 does not declare otherwise, but a caller
    would take a relayed 503 as a guarantee that the request was not executed."""

    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.status = 503
        answer = await world.call("/book/1", method="POST", attempt="ran")
        assert answer is not None and answer.status == 502
        assert world.runs("ran") == 1

    run_world(scenario)


def test_an_upstreams_own_failure_keeps_its_status_and_signature() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.status = 500
        answer = await world.call("/book/1", method="POST")
        assert answer is not None and answer.status == 500
        assert header_value(answer.headers, "lentilchute-engine-stamp") is not None

    run_world(scenario)


def test_a_leaving_upstream_gets_nothing_new() -> None:
    async def scenario(world: GatewayWorld) -> None:
        world.list_upstream("a0", state="draining")
        await trio.sleep(1.6)
        before = len(world.upstreams["a0"].standin.received)
        for number in range(10):
            answer = await world.call(f"/view/{number}", number % 2)
            assert answer is not None and answer.status == 200
        assert len(world.upstreams["a0"].standin.received) == before

    run_world(scenario)


def test_an_upstream_that_says_that_it_is_leaving_gets_nothing_new_from_any_node() -> None:
    async def scenario(world: GatewayWorld) -> None:
        leaving = world.upstreams["a0"].standin
        leaving.behaviour.says_leaving = True
        while not leaving.received:
            await world.call("/view/first")
        await world.until(
            lambda: all("a0" in node.node.context.fleet.announced_leaving() for node in world.nodes)
        )
        # Its row goes on to say that it is ready.
        world.list_upstream("a0")
        await trio.sleep(1.2)
        received = len(leaving.received)
        for number in range(12):
            answer = await world.call(f"/view/{number}", number % 2)
            assert answer is not None and answer.status == 200
        assert len(leaving.received) == received
        world.add_node("late")
        late = world.nodes[-1].node.context
        await world.until(lambda: late.is_ready and "a0" in late.fleet.announced_leaving())

    run_world(scenario)


def test_an_upstream_that_asks_for_a_pause_gets_nothing_from_any_node_meanwhile() -> None:
    async def scenario(world: GatewayWorld) -> None:
        busy = world.upstreams["a0"].standin
        busy.behaviour.sheds, busy.behaviour.retry_after_s = True, 1.5
        while not busy.received:
            await world.call("/view/first")
        paused_s = trio.current_time()
        await trio.sleep(0.1)
        received, number = len(busy.received), 0
        while trio.current_time() < paused_s + 1.3:
            number += 1
            answer = await world.call(f"/view/{number}", number % 2)
            assert answer is not None and answer.status == 200
        assert len(busy.received) == received
        busy.behaviour.sheds = False
        with trio.fail_after(5):
            while len(busy.received) == received:
                number += 1
                await world.call(f"/view/{number}", number % 2)

    run_world(scenario)


def test_callers_are_refused_at_once_when_every_upstream_asks_for_a_pause() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            behaviour = world.upstreams[name].standin.behaviour
            behaviour.sheds, behaviour.retry_after_s = True, 60.0
        for number in range(3):
            await world.call(f"/view/{number}")
        received = sum(len(each.standin.received) for each in world.upstreams.values())
        answer = await world.call("/book/1", method="POST", attempt="refused")
        assert answer is not None and answer.status == 503
        assert float(header_value(answer.headers, "retry-after") or 0) > 30.0
        assert sum(len(each.standin.received) for each in world.upstreams.values()) == received

    run_world(scenario)


def test_every_node_follows_a_new_configuration_and_none_goes_back() -> None:
    async def scenario(world: GatewayWorld) -> None:
        routes = json.loads(config_row())["routes"]
        added = {**routes[2], "name": "added", "path-prefix": "/added/"}
        newer = config_row(version=9, routes=[*routes, added])
        world.store.state.put(rows.CONFIG_TABLE, rows.CONFIG_KEY, newer)
        await trio.sleep(1.5)
        for node in range(3):
            answer = await world.call("/added/1", node)
            assert answer is not None and answer.status == 200
        world.store.state.put(rows.CONFIG_TABLE, rows.CONFIG_KEY, config_row())
        await trio.sleep(1.5)
        for node in range(3):
            answer = await world.call("/added/1", node)
            assert answer is not None and answer.status == 200

    run_world(scenario, nodes=3)


def test_a_truncated_change_history_causes_a_full_read() -> None:
    async def scenario(world: GatewayWorld) -> None:
        world.list_upstream("a0", state="draining")
        world.store.state.put(rows.UPSTREAMS_TABLE, "a1", None)
        world.store.state.compact()
        world.store.state.put("other", "row", b"x")
        world.store.state.compact()
        await trio.sleep(1.6)
        answer = await world.call("/view/1")
        assert answer is not None and answer.status == 503

    run_world(scenario)


def test_rows_by_other_writers_change_nothing() -> None:
    async def scenario(world: GatewayWorld) -> None:
        state = world.store.state
        state.put(rows.UPSTREAMS_TABLE, "foreign", b'{"service": 3}')
        state.put(rows.CONFIG_TABLE, rows.CONFIG_KEY, b"\xff not json")
        state.put(rows.NODES_TABLE, "foreign", b"{}")
        await trio.sleep(1.5)
        answer = await world.call("/view/1")
        assert answer is not None and answer.status == 200

    run_world(scenario)


def test_an_outage_of_the_store_stops_no_request() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for mode in (StoreFaultMode.BUSY, StoreFaultMode.SILENT, StoreFaultMode.LOSE_ANSWERS):
            world.store.mode = mode
            await trio.sleep(1.2)
            answer = await world.call("/view/1")
            assert answer is not None and answer.status == 200

    run_world(scenario)


def test_a_node_without_a_configuration_answers_503_and_is_not_ready() -> None:
    async def scenario(world: GatewayWorld) -> None:
        world.store.mode = StoreFaultMode.BUSY
        late = world.add_node("late")
        await trio.sleep(0.5)
        answer = await world.call("/view/1", node=2)
        assert answer is not None and answer.status == 503
        assert await status_of(late.settings.listen.readiness, endpoints.READY_PATH) == 503
        world.store.mode = StoreFaultMode.NONE
        await world.until(lambda: late.node.context.is_ready)
        assert await status_of(late.settings.listen.readiness, endpoints.READY_PATH) == 200

    run_world(scenario)


def test_killing_the_coordinator_stops_no_request() -> None:
    async def scenario(world: GatewayWorld) -> None:
        coordinator = world.nodes[0].node.context.choice.coordinator
        index = next(
            number
            for number, node in enumerate(world.nodes)
            if node.node.context.instance == coordinator
        )
        others = [number for number in range(3) if number != index]
        world.nodes[index].scope.cancel()
        for number in range(20):
            answer = await world.call(f"/view/{number}", others[number % 2])
            assert answer is not None and answer.status == 200
        await world.until(
            lambda: all(
                world.nodes[number].node.context.choice.coordinator != coordinator
                for number in others
            )
        )

    run_world(scenario, nodes=3)


def test_a_crashed_upstream_costs_no_repeatable_request() -> None:
    async def scenario(world: GatewayWorld) -> None:
        world.upstreams["a0"].scope.cancel()
        for number in range(10):
            answer = await world.call(f"/view/{number}")
            assert answer is not None and answer.status == 200

    run_world(scenario)


def test_another_upstream_behind_an_address_gets_no_request_run() -> None:
    """An address may have been taken over by an upstream other than the listed one."""

    async def scenario(world: GatewayWorld) -> None:
        world.upstreams["a0"].standin.upstream = "someone-else"
        for number in range(6):
            answer = await world.call(f"/book/{number}", method="POST", attempt=f"b{number}")
            assert answer is not None and answer.status in (200, 503)
            assert world.upstreams["a0"].standin.runs[f"b{number}"] == 0

    run_world(scenario)


def test_the_work_ends_when_the_caller_leaves() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for name in ("d0", "d1"):
            world.upstreams[name].standin.behaviour.first_event_s = 5.0
        with trio.move_on_after(0.3):
            await world.call("/drafts/1", attempt="left", **DRAFT)
        await world.until(
            lambda: any(
                "left" in upstream.standin.abandoned for upstream in world.upstreams.values()
            ),
            0.5,
        )

    run_world(scenario)


def test_a_planned_stop_cuts_nothing_and_leaves_the_answers_at_once() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for name in ("d0", "d1"):
            world.upstreams[name].standin.behaviour.events = 40
        answers = []

        async def draft() -> None:
            answers.append(await world.call("/drafts/1", node=1, **DRAFT))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft)
            await trio.sleep(0.1)
            world.nodes[1].node.stop()
            await trio.sleep(0.2)
            directory = world.nodes[0].settings.listen.directory
            body = await body_of(directory, f"{endpoints.RESOLVE_PATH}?name=a&zone=zone-1")
            assert json.loads(body)["addresses"] == [world.nodes[0].callers]
        (answer,) = answers
        assert answer is not None and answer.body == complete_stream(40)

    run_world(scenario)


# A request that crashed an upstream again and again, which came back each time, was never refused.
@pytest.mark.parametrize(
    "second", [("a1", 1), ("a0", 4_001)], ids=["two upstreams", "one upstream twice"]
)
def test_a_request_that_crashes_upstreams_is_refused_everywhere(second: tuple[str, int]) -> None:
    async def scenario(world: GatewayWorld) -> None:
        first_node = world.nodes[0].node
        content_path = "/book/poison"

        content = fingerprint("POST", content_path, "key-1", b"x")
        crash_reports = first_node.context.controller(CrashReportController)
        crash_reports.report_crash(CrashNotice(UpstreamId("a0"), (content,), 1, ()))
        upstream, started_ms = second
        crash_reports.report_crash(CrashNotice(UpstreamId(upstream), (content,), started_ms, ()))
        await trio.sleep(0.2)
        for node in range(2):
            answer = await world.call(content_path, node, method="POST", body=b"x")
            assert answer is not None and answer.status == 503
            other = await world.call(content_path, node, method="POST", body=b"y")
            assert other is not None and other.status == 200

    run_world(scenario)


# A stream that crashed each upstream after its first event was cleared by the next first event.
def test_a_stream_that_crashes_upstreams_after_its_first_event_is_refused_everywhere() -> None:
    async def scenario(world: GatewayWorld) -> None:
        context = world.nodes[0].node.context
        content = fingerprint("POST", "/drafts/poison", "key-1", b"x")
        crash_reports = context.controller(CrashReportController)
        for started_ms in range(1, 4):
            notice = CrashNotice(UpstreamId("d0"), (content,), started_ms, (), (content,))
            crash_reports.report_crash(notice)
            # The stream begins at the next upstream.
            crash_reports.report_begun(())
        await trio.sleep(0.2)
        for node in range(2):
            answer = await world.call(
                "/drafts/poison", node, method="POST", tokens="400,60", body=b"x"
            )
            assert answer is not None and answer.status == 503

    run_world(scenario)


# A request whose answer is complete must not be held against its caller.
def test_a_suspected_request_that_completes_is_cleared_everywhere() -> None:
    async def scenario(world: GatewayWorld) -> None:
        context = world.nodes[0].node.context
        for path, tokens in (("/view/1", None), ("/drafts/1", "400,60")):
            method = "GET" if tokens is None else "POST"
            content = fingerprint(method, path, "key-1", b"")
            notice = CrashNotice(UpstreamId("gone"), (content,), 1, ())
            context.controller(CrashReportController).report_crash(notice)
            answer = await world.call(path, 0, method=method, tokens=tokens)
            assert answer is not None and answer.status == 200
            await trio.sleep(0.2)
            guards = [node.node.context.crash_guard for node in world.nodes]
            now_s = context.now_s()
            assert not any(guard.record_completion(content, now_s) for guard in guards)

    run_world(scenario)


def test_nodes_that_start_together_share_quotas_before_they_see_each_other() -> None:
    """Otherwise each node would spend the whole quota after all nodes were killed."""

    async def scenario(world: GatewayWorld) -> None:
        for node in world.nodes:
            node.scope.cancel()
        world.nodes.clear()
        late = world.add_node("node-0")
        assert late.node.context.placements.scope.share < 0.2
        await world.until(lambda: late.node.context.is_ready)
        await world.until(lambda: late.node.context.listed_nodes == 3)
        await trio.sleep(0.5)
        assert late.node.context.placements.scope.share == 1 / 3

    run_world(scenario, nodes=3)


def test_the_coordinator_counts_quota_that_a_node_used_locally() -> None:
    async def scenario(world: GatewayWorld) -> None:
        other = next(
            index
            for index, node in enumerate(world.nodes)
            if not node.node.context.choice.is_coordinator
        )
        context = world.nodes[other].node.context
        coordinator = next(
            node.node.context for node in world.nodes if node.node.context.choice.is_coordinator
        )
        account = coordinator.config.accounts[0].name  # type: ignore[union-attr]
        used = coordinator.placements.quotas.totals(coordinator.now_s())[account]
        # As after a timeout of the coordinator: the node decides locally for a while.
        context.choice.mark_unresponsive(context.choice.coordinator, context.now_s())
        answer = await world.call("/drafts/1", other, method="POST", tokens="900,100")
        assert answer is not None and answer.status == 200
        totals = coordinator.placements.quotas.totals
        await world.until(lambda: totals(coordinator.now_s())[account] >= used + 1_000, 1.0)

    run_world(scenario, nodes=2)


def test_a_coordinator_decides_for_a_node_that_has_reported_its_usage() -> None:
    async def scenario(world: GatewayWorld) -> None:
        coordinator = next(
            node.node.context for node in world.nodes if node.node.context.choice.is_coordinator
        )
        await world.until(lambda: coordinator.placements.scope.covered == 3, 5.0)
        killed = next(node for node in world.nodes if not node.node.context.choice.is_coordinator)
        killed.scope.cancel()
        await world.until(lambda: coordinator.placements.scope.covered == 2, 5.0)
        assert coordinator.placements.scope.nodes >= 3

    run_world(scenario, nodes=3)


def test_a_coordinator_that_was_replaced_for_a_while_waits_for_new_reports() -> None:
    async def scenario(world: GatewayWorld) -> None:
        context = next(
            node.node.context for node in world.nodes if node.node.context.choice.is_coordinator
        )
        controller = context.controller(CoordinatorController)
        await world.until(lambda: context.placements.scope.covered == 2, 5.0)
        context.choice.update(context.membership.present())
        controller.update_scope()
        assert context.placements.scope.covered == 1
        context.choice.update(context.membership.alive(context.now_s()))
        controller.update_scope()
        assert context.choice.is_coordinator
        assert context.placements.scope.covered == 1
        await world.until(lambda: context.placements.scope.covered == 2, 5.0)

    run_world(scenario, nodes=2)


def test_nodes_that_have_found_each_other_stop_polling_the_node_table(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peering, "INITIAL_DISCOVERY_INTERVAL_S", 0.6)
    reads: Counter[str] = Counter()
    read_table = StoreClient.read_table

    async def counted(store: StoreClient, table: str) -> Result[TablePage, StoreFault]:
        reads[table] += 1
        return await read_table(store, table)

    monkeypatch.setattr(StoreClient, "read_table", counted)

    async def scenario(world: GatewayWorld) -> None:
        await trio.sleep(2.0)
        assert 3 <= reads[rows.NODES_TABLE] <= 6

    run_world(scenario, nodes=3)


def test_the_metrics_page_counts_requests() -> None:
    async def scenario(world: GatewayWorld) -> None:
        for number in range(3):
            await world.call(f"/view/{number}")
        await world.call("/drafts/1", **DRAFT)
        await world.call("/nowhere/1")
        page = (await body_of(world.nodes[0].settings.listen.metrics, "/metrics")).decode()
        served = [line for line in page.splitlines() if "gateway_requests_total{" in line]
        assert any('"delivered"' in line and line.endswith(" 3.0") for line in served)
        assert any('"no-route"' in line and line.endswith(" 1.0") for line in served)
        for name in ("first_event_duration_seconds_bucket", "knowledge_age", "quota_used"):
            assert f"lentilchute_gateway_{name}" in page
        peaks = [
            line for line in page.splitlines() if line.startswith("lentilchute_gateway_memory")
        ]
        # A process with these libraries uses tens of megabytes.
        assert len(peaks) == 1 and 2e7 < float(peaks[0].rpartition(" ")[2]) < 1e10
        assert "key-1" not in page

    run_world(scenario)


def test_reloaded_settings_change_the_limits() -> None:
    async def scenario(world: GatewayWorld) -> None:
        node = world.nodes[0]
        strict = node.settings.retries.model_copy(update={"ratio": 0.0, "slack": 0.0})
        node.node.apply_settings(node.settings.model_copy(update={"retries": strict}))
        placements = node.node.context.placements
        assert not placements.budget.try_spend(ServiceName("agenda"), 1.0, 0.0)

    run_world(scenario)


async def status_of(address: str, path: str) -> int:
    client = HttpClient(address)
    try:
        return (await client.call(ClientRequest("GET", path))).unwrap().status
    finally:
        await client.aclose()


async def body_of(address: str, path: str) -> bytes:
    client = HttpClient(address)
    try:
        return (await client.call(ClientRequest("GET", path))).unwrap().body
    finally:
        await client.aclose()
