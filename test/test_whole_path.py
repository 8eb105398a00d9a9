"""End-to-end tests with processes: three nodes, five engines, a plain service and the platform."""

import itertools
import json
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

from lentilchute import ui
from lentilchute.errors import ExitCode
from lentilchute.http.client import HttpAnswer
from lentilchute.http.messages import header_value
from lentilchute.node_context import wait_until
from lentilchute.operators.api import operator_key

ZONES = {"entry-1": "tunis-a", "entry-2": "tunis-b", "entry-3": "bizerte"}
ENGINES = [f"engine-{number}" for number in range(1, 5)]
OTHER_ENGINE = "engine-5"
DIRECT_IDS = itertools.count()
CHAT_PATH = "/services/drafters/v1/chat/completions"
BOOKING_PATH = "/services/agenda/bookings"


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory):  # type: ignore[no-untyped-def]
    """Start all processes once and wait until every node has loaded both services."""
    with Deployment(Path(tmp_path_factory.mktemp("nodes"))) as running:
        running.standin("platform", "platform")
        for number, engine in enumerate(ENGINES):
            rate = str(400 + 400 * (number % 3))
            running.standin(engine, "engine", "--decode-tokens-per-s", rate, "--name", engine)
        running.standin(OTHER_ENGINE, "engine", "--model", "other", "--name", OTHER_ENGINE)
        running.standin("agenda-1", "plain")
        trio.run(_accept_documents, running)
        running.nodes(ZONES)
        trio.run(_wait_all_ready, running)
        yield running


async def _accept_documents(running: Deployment) -> None:
    engines = {engine: running.addresses[engine] for engine in (*ENGINES, OTHER_ENGINE)}
    text = service_document("drafters", "engine", engines)
    await put_document(running.addresses["platform"], "drafters", text)
    agenda = {"agenda-1": running.addresses["agenda-1"]}
    rules = [{"pattern": "/bookings", "idempotent": False}]
    text = service_document("agenda", "plain", agenda, paths=rules)
    await put_document(running.addresses["platform"], "agenda", text)


async def _wait_all_ready(running: Deployment) -> None:
    for entry in ZONES:
        await wait_ready(running.addresses[entry], CHAT_PATH)
        await wait_ready(running.addresses[entry], BOOKING_PATH)


def prompt(text: str, *, stream: bool) -> dict[str, object]:
    return {
        "model": "model",
        "stream": stream,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": text}],
    }


async def call_engine(running: Deployment, body: dict[str, object]) -> bytes:
    """Return the answer of an engine to the same body, without a node in between."""
    direct_id = f"direct/{next(DIRECT_IDS)}"
    path = "/v1/chat/completions"
    answer = await call(running.addresses["engine-1"], path, body, request_id=direct_id)
    return content_of(answer.body)


def content_of(body: bytes) -> bytes:
    """Return the text of a streamed or plain completion."""
    if not body.startswith(b"{"):
        events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: ")]
        assert events[-1] == b"[DONE]"
        deltas = [json.loads(event)["choices"][0] for event in events[:-1]]
        return "".join(delta["delta"].get("content", "") for delta in deltas).encode()
    return str(json.loads(body)["choices"][0]["message"]["content"]).encode()


def test_answers_of_all_tiers_through_all_entries_are_whole(deployment: Deployment) -> None:
    answers: dict[tuple[str, str, bool], tuple[HttpAnswer, bytes]] = {}

    async def call_entry_and_engine(entry: str, tier: str, stream: bool) -> None:
        body = prompt(f"deed of {entry} for {tier}", stream=stream)
        answer = await call(deployment.addresses[entry], CHAT_PATH, body, tier=tier)
        answers[entry, tier, stream] = answer, await call_engine(deployment, body)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for entry in ZONES:
                for tier in ("signing", "summary", "sorting"):
                    for stream in (True, False):
                        nursery.start_soon(call_entry_and_engine, entry, tier, stream)

    trio.run(main)
    assert len(answers) == 18
    for answer, expected in answers.values():
        assert answer.status == 200
        assert header_value(answer.headers, "lentilchute-outcome") == "ran"
        assert content_of(answer.body) == expected


def test_a_booking_sent_again_to_another_entry_runs_once(deployment: Deployment) -> None:
    async def main() -> tuple[HttpAnswer, HttpAnswer, HttpAnswer]:
        booking = {"notary": "Sfax", "hour": 9}
        first = await call(deployment.addresses["entry-1"], BOOKING_PATH, booking, key="heirs-1")
        again = await call(deployment.addresses["entry-2"], BOOKING_PATH, booking, key="heirs-1")
        record = await call(deployment.addresses["agenda-1"], "/record", method="GET")
        return first, again, record

    first, again, record = trio.run(main)
    assert first.status == 200, first.body
    assert (again.status, again.body) == (first.status, first.body)
    assert len(json.loads(record.body)["received"]) == 1


def test_a_call_goes_only_to_an_engine_that_holds_its_model(deployment: Deployment) -> None:
    async def main() -> list[int]:
        statuses = []
        for number in range(6):
            entry = deployment.addresses[f"entry-{number % 3 + 1}"]
            body = prompt(f"deed {number}", stream=False) | {"model": "other"}
            statuses.append((await call(entry, CHAT_PATH, body)).status)
        return statuses

    assert trio.run(main) == [200] * 6


def test_callers_learn_which_entries_to_use(deployment: Deployment) -> None:
    answer = trio.run(lambda: call(deployment.addresses["entry-2"], "/entries", method="GET"))
    named = json.loads(answer.body)
    assert {entry["instance"] for entry in named["entries"]} == set(ZONES)
    assert named["entries"][0]["availability_zone"] == "tunis-b"
    assert named["keep_s"] == 1.0


@pytest.mark.parametrize(
    ("path", "bearer", "body", "status"),
    [
        ("/services/unknown/v1/chat/completions", "key-of-sfax", {}, 404),
        (CHAT_PATH, "wrong", {}, 401),
        (CHAT_PATH, "key-of-sfax", {"messages": 3}, 400),
        (BOOKING_PATH, "key-of-sfax", {}, 400),
    ],
)
def test_bad_input_gets_its_error_and_a_not_run_outcome(
    deployment: Deployment, path: str, bearer: str, body: dict[str, object], status: int
) -> None:
    answer = trio.run(lambda: call(deployment.addresses["entry-1"], path, body, bearer=bearer))
    assert answer.status == status
    assert header_value(answer.headers, "lentilchute-outcome") == "not-run"
    assert int(header_value(answer.headers, "retry-after") or 0) >= 1


def test_the_call_command_prints_the_whole_answer(
    deployment: Deployment,
    monkeypatch: pytest.MonkeyPatch,
    capfdbinary: pytest.CaptureFixture[bytes],
) -> None:
    monkeypatch.setenv("LENTILCHUTE_KEY", ACCOUNT_KEY)
    body = prompt("called from the command line", stream=True)
    entry = deployment.addresses["entry-3"]
    argv = ["call", "drafters", "--entry", entry, "--data", json.dumps(body), "--text"]
    assert ui.run(argv) == ExitCode.OK
    expected = trio.run(call_engine, deployment, body)
    assert capfdbinary.readouterr().out == expected + b"\n"


def test_keys_prompts_and_bodies_are_not_in_any_log(deployment: Deployment) -> None:
    marker = "marker-5b1e-of-a-deed"

    async def main() -> list[str]:
        entry = deployment.addresses["entry-1"]
        answers = [
            await call(entry, CHAT_PATH, prompt(marker, stream=True)),
            await call(entry, BOOKING_PATH, {"deed": marker}, key=marker),
            await call(entry, BOOKING_PATH, {"deed": marker, "hour": 1}, key=marker),
            await call(entry, CHAT_PATH, {"messages": marker}),
            await call(entry, f"/services/{marker}/x", {"deed": marker}, bearer=marker),
        ]
        ids = [header_value(answer.headers, "lentilchute-request-id") for answer in answers]
        with trio.fail_after(10):
            await wait_until(
                lambda: all(name in log_text(deployment) for name in ids if name), 0.05
            )
        return [name for name in ids if name]

    assert len(trio.run(main)) >= 2
    assert marker not in log_text(deployment)
    assert ACCOUNT_KEY not in log_text(deployment)
    assert SHARED_KEY not in log_text(deployment)


def log_text(running: Deployment) -> str:
    """Return the logs of all nodes."""
    return "".join((running.directory / f"{entry}.log").read_text() for entry in ZONES)


def test_the_metrics_pages_show_goodput_added_latency_and_table_operations(
    deployment: Deployment,
) -> None:
    async def pages() -> str:
        key = operator_key(SHARED_KEY)
        text = ""
        for address in deployment.operators.values():
            text += (await call(address, "/metrics", method="GET", bearer=key)).body.decode()
        return text

    page = trio.run(pages)
    assert 'lentilchute_goodput_requests_total{service="drafters",tier="0"}' in page
    assert 'lentilchute_added_latency_seconds_count{service="drafters",tier="0"}' in page
    assert 'lentilchute_table_operations_total{operation="commit",result="ok"}' in page
    assert 'lentilchute_config_version{service="agenda"} 1.0' in page
    assert 'lentilchute_tier_info{name="signing",service="drafters",tier="0"} 1.0' in page
    refused = "lentilchute_refusals_total{reason="
    assert refused + '"unknown-client-account",service="drafters",tier=""}' in page
    assert refused + '"unknown-service",service="unknown",tier=""}' in page
