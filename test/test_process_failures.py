"""Planned stops, kills, pauses, platform outages and engine crashes with real processes."""

import json
import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path

import pytest
import trio
from processes import (
    ACCOUNT_KEY,
    SHARED_KEY,
    Deployment,
    call,
    put_document,
    service_document,
    wait_ready,
)

from lentilchute.caller.client import (
    CallerClient,
    CallerSettings,
    CallRequest,
    CallResult,
    CallState,
)
from lentilchute.http.client import HttpAnswer
from lentilchute.http.messages import header_value
from lentilchute.operators.api import operator_key
from lentilchute.scheduler.tickets import Outcome

ZONES = {"entry-1": "tunis-a", "entry-2": "tunis-b", "entry-3": "bizerte"}
ENGINES = ("engine-1", "engine-2", "engine-3")
CHAT_PATH = "/services/drafters/v1/chat/completions"
BOOKING_PATH = "/services/agenda/bookings"


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Start three nodes with a model service and a plain service, and wait until all are ready."""
    with Deployment(tmp_path) as running:
        running.standin("platform", "platform")
        for engine in ENGINES:
            running.standin(engine, "engine", "--decode-tokens-per-s", "200", "--name", engine)
        running.standin("agenda-1", "plain", "--call-s", "0.05")
        running.wait_for("platform", "agenda-1", *ENGINES)
        trio.run(_accept_documents, running)
        running.nodes(ZONES)
        trio.run(_wait_all_ready, running)
        yield running


async def _accept_documents(running: Deployment) -> None:
    platform = running.addresses["platform"]
    engines = {engine: running.addresses[engine] for engine in ENGINES}
    await put_document(platform, "drafters", service_document("drafters", "engine", engines))
    agenda = {"agenda-1": running.addresses["agenda-1"]}
    rules = [{"pattern": "/bookings", "idempotent": False}]
    text = service_document("agenda", "plain", agenda, paths=rules)
    await put_document(platform, "agenda", text)


async def _wait_all_ready(running: Deployment) -> None:
    for entry in ZONES:
        await wait_ready(running.addresses[entry], CHAT_PATH)
        await wait_ready(running.addresses[entry], BOOKING_PATH)


def chat_body(text: str, max_tokens: int = 40) -> dict[str, object]:
    message = {"role": "user", "content": text}
    return {"model": "model", "stream": True, "max_tokens": max_tokens, "messages": [message]}


class Load:
    """Callers that each send one call after another until stopped, and the results."""

    def __init__(self, running: Deployment, attempts: int = 1) -> None:
        addresses = tuple(running.addresses[entry] for entry in ZONES)
        settings = CallerSettings(addresses, ACCOUNT_KEY, max_attempts=attempts)
        self.client = CallerClient(settings, random.Random(1))
        self.results: list[CallResult] = []
        self.is_running = True

    async def run(self, number: int) -> None:
        """Call until stopped; an answer reported as complete must include the end of its stream."""
        count = 0
        while self.is_running:
            count += 1
            body = json.dumps(chat_body(f"deed {number}.{count}")).encode()
            request = CallRequest("drafters", "/v1/chat/completions", body=body, deadline_s=20.0)
            received = bytearray()
            result = await self.client.call(request, _collector(received))
            if result.state is CallState.COMPLETE:
                assert received.endswith(b"data: [DONE]\n\n")
            self.results.append(result)


def _collector(received: bytearray) -> Callable[[bytes], Awaitable[None]]:
    async def deliver(data: bytes) -> None:
        received.extend(data)

    return deliver


def test_nodes_stopped_and_replaced_in_turn_cut_and_refuse_nothing(
    deployment: Deployment,
) -> None:
    load = Load(deployment)
    codes: list[int] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(load.run, number)
            for name, zone in ZONES.items():
                await trio.sleep(0.5)
                codes.append(await trio.to_thread.run_sync(deployment.stop, name))
                deployment.start_node(name, zone)
                await trio.to_thread.run_sync(deployment.wait_for, name)
                await wait_ready(deployment.addresses[name], CHAT_PATH)
            load.is_running = False

    trio.run(main)
    assert codes == [0, 0, 0]
    assert len(load.results) > 30
    bad = [result for result in load.results if result.state is not CallState.COMPLETE]
    assert bad == []


def test_after_a_kill_the_other_nodes_serve_every_request_in_full(
    deployment: Deployment,
) -> None:
    load = Load(deployment)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(load.run, number)
            await trio.sleep(0.5)
            deployment.kill("entry-1")
            # Callers cache their entries for 1 s, and peers suspect a silent node after 1.5 s.
            await trio.sleep(4.0)
            load.results.clear()
            await trio.sleep(1.0)
            load.is_running = False

    trio.run(main)
    assert len(load.results) > 5
    assert {result.state for result in load.results} == {CallState.COMPLETE}


def test_a_node_frozen_past_every_timeout_wakes_without_doing_harm(
    deployment: Deployment,
) -> None:
    answers: list[HttpAnswer] = []

    async def book(entry: str) -> None:
        address = deployment.addresses[entry]
        answers.append(await call(address, BOOKING_PATH, {"notary": "Sfax"}, key="heirs"))

    async def main() -> HttpAnswer:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(book, "entry-1")
            await trio.sleep(0.02)
            deployment.processes["entry-1"].send_signal(signal.SIGSTOP)
            nursery.start_soon(book, "entry-2")
            await trio.sleep(7.0)
            deployment.processes["entry-1"].send_signal(signal.SIGCONT)
        await wait_ready(deployment.addresses["entry-1"], BOOKING_PATH)
        await book("entry-1")
        return await call(deployment.addresses["agenda-1"], "/record", method="GET")

    record = json.loads(trio.run(main).body)
    assert len(answers) == 3
    assert sum(record["posted"].values()) <= 1
    for answer in answers:
        if header_value(answer.headers, "lentilchute-outcome") == "not-run":
            request_id = header_value(answer.headers, "lentilchute-request-id")
            assert request_id not in record["received"]


def test_in_a_platform_outage_idempotent_work_continues_and_bookings_are_refused_as_not_run(
    deployment: Deployment,
) -> None:
    platform = deployment.addresses["platform"]

    async def main() -> None:
        await call(platform, "/control", {"outage": "silent"})
        await trio.sleep(6.0)
        for entry in ZONES:
            answer = await call(deployment.addresses[entry], CHAT_PATH, chat_body("on"))
            assert (entry, answer.status) == (entry, 200)
        started_s = trio.current_time()
        answer = await call(
            deployment.addresses["entry-1"], BOOKING_PATH, {"hour": 9}, key="k", deadline_s=2.0
        )
        assert trio.current_time() - started_s < 3.0
        assert header_value(answer.headers, "lentilchute-outcome") == "not-run"
        record = await call(deployment.addresses["agenda-1"], "/record", method="GET")
        assert json.loads(record.body)["received"] == []
        await call(platform, "/control", {"outage": "none"})
        answer = await call(deployment.addresses["entry-1"], BOOKING_PATH, {"hour": 9}, key="k")
        assert (answer.status, header_value(answer.headers, "lentilchute-outcome")) == (200, "ran")

    trio.run(main)


def test_cut_streams_are_resumed_without_gap_or_repeat(deployment: Deployment) -> None:
    async def main() -> None:
        expected = await call(deployment.addresses["entry-1"], CHAT_PATH, chat_body("deed", 100))
        for engine in ENGINES:
            await call(deployment.addresses[engine], "/control", {"cut_after_events": 30})
        cut = await call(deployment.addresses["entry-2"], CHAT_PATH, chat_body("deed", 100))
        assert _contents(cut.body) == _contents(expected.body)

    trio.run(main)


def test_an_engine_crash_breaks_its_answers_visibly(deployment: Deployment) -> None:
    results: list[CallResult] = []

    async def one(client: CallerClient, number: int) -> None:
        body = json.dumps(chat_body(f"long deed {number}", 400)).encode()
        request = CallRequest("drafters", "/v1/chat/completions", body=body, deadline_s=20.0)
        results.append(await client.call(request, _collector(bytearray())))

    async def main() -> None:
        addresses = tuple(deployment.addresses[entry] for entry in ZONES)
        client = CallerClient(
            CallerSettings(addresses, ACCOUNT_KEY, max_attempts=1), random.Random(1)
        )
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(partial(one, client, number))
            await trio.sleep(1.0)
            await call(deployment.addresses["engine-1"], "/control", {"crash": True})

    trio.run(main)
    broken = [result for result in results if result.state is not CallState.COMPLETE]
    assert len(results) == 6
    assert 1 <= len(broken) < 6
    assert {result.outcome for result in broken} == {Outcome.MAY_HAVE_RUN}


def test_a_leaving_or_drained_engine_gets_nothing_new_until_it_returns(
    deployment: Deployment,
) -> None:
    async def ran_on() -> set[str]:
        """Send requests and return the engines that ran them."""
        before = [await _received(deployment, engine) for engine in ENGINES]
        async with trio.open_nursery() as nursery:
            for number in range(12):
                entry = deployment.addresses[f"entry-{number % 3 + 1}"]
                nursery.start_soon(call, entry, CHAT_PATH, chat_body(f"deed {number}"))
        after = [await _received(deployment, engine) for engine in ENGINES]
        return {name for name, old, new in zip(ENGINES, before, after, strict=True) if new > old}

    async def main() -> None:
        assert await ran_on() == set(ENGINES)
        await call(deployment.addresses["engine-1"], "/control", {"leaving": True})
        with trio.fail_after(60):
            await trio.sleep(3.0)
            assert await ran_on() == {"engine-2", "engine-3"}
            bearer = operator_key(SHARED_KEY)
            operators = deployment.operators["entry-2"]
            answer = await call(operators, "/upstreams/engine-2/drain", {}, bearer=bearer)
            assert answer.status == 200
            assert await ran_on() == {"engine-3"}
            await call(deployment.addresses["engine-1"], "/control", {"leaving": False})
            answer = await call(operators, "/upstreams/engine-2/undrain", {}, bearer=bearer)
            assert answer.status == 200
            while True:
                if await ran_on() == set(ENGINES):
                    return

    trio.run(main)


async def _received(deployment: Deployment, engine: str) -> int:
    record = await call(deployment.addresses[engine], "/record", method="GET")
    return len(json.loads(record.body)["received"])


def _contents(body: bytes) -> list[str]:
    lines = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    return [json.loads(line)["choices"][0]["delta"].get("content", "") for line in lines]
