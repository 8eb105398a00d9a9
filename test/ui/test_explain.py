"""Tests of ``lentilchute explain`` on logs written by gateway nodes."""

import json
from pathlib import Path

import eliot
import pytest
from gateway_world import GatewayWorld, run_world

from lentilchute import ui
from lentilchute.errors import ExitCode
from lentilchute.logs import format_json_line

DRAFT = {"method": "POST", "tokens": "1000,60", "body": b"prompt"}


@pytest.fixture
def log(tmp_path: Path):  # type: ignore[no-untyped-def]
    """Collect the log lines of a test's nodes, to be written to one file."""
    path = tmp_path / "nodes.log"
    lines: list[str] = []

    def collect_line(message: dict[str, object]) -> None:
        lines.append(format_json_line(message))

    eliot.add_destinations(collect_line)
    yield path, lines
    eliot.remove_destination(collect_line)


def explain(log, *argv: str, capsys: pytest.CaptureFixture[str]) -> str:  # type: ignore[no-untyped-def]
    path, lines = log
    path.write_text("".join(lines))
    assert ui.run(["explain", *argv, str(path)]) == ExitCode.OK
    return capsys.readouterr().out


def test_a_refusal_while_all_upstreams_were_draining(log, capsys) -> None:  # type: ignore[no-untyped-def]
    async def scenario(world: GatewayWorld) -> None:
        world.list_upstream("a0", state="draining")
        world.list_upstream("a1", state="draining")
        await world.until(
            lambda: not world.nodes[0].node.context.placements.dispatchers["agenda"].models()
        )
        answer = await world.call("/view/1", attempt="refused")
        assert answer is not None and answer.status == 503

    run_world(scenario)
    timeline = explain(log, "refused", capsys=capsys)
    assert "request_refused" in timeline and "config_version=7" in timeline
    assert "Cause: it was answered 503: no upstream of its service was known" in timeline


def test_a_502_after_a_lost_answer(log, capsys) -> None:  # type: ignore[no-untyped-def]
    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.drops_answer = True
        await world.call("/book/1", method="POST", attempt="lost")

    run_world(scenario)
    timeline = explain(log, "lost", capsys=capsys)
    assert "attempt_started" in timeline and "running=" in timeline
    assert "Cause: it was answered 502: an upstream may have run it" in timeline
    assert "where the attempt ended broken" in timeline


def test_a_failure_of_the_upstream_itself(log, capsys) -> None:  # type: ignore[no-untyped-def]
    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.status = 500
        answer = await world.call("/book/1", method="POST", attempt="failed")
        assert answer is not None and answer.status == 500

    run_world(scenario)
    timeline = explain(log, "failed", capsys=capsys)
    assert "Cause: its upstream failed it with 500; sent to 1 upstream(s), last a" in timeline


def test_a_late_stream(log, capsys) -> None:  # type: ignore[no-untyped-def]
    async def scenario(world: GatewayWorld) -> None:
        world.upstreams["d0"].standin.behaviour.first_event_s = 0.9
        await world.call("/drafts/1", attempt="late", **DRAFT)
        # The node logs the end after the caller has received its answer; wait for that line.
        await world.until(lambda: any("request_finished" in line for line in log[1]))

    run_world(scenario, drafters=1)
    timeline = json.loads(explain(log, "late", "--json", capsys=capsys))
    assert "first event at 0.9" in timeline["cause"]
    assert [line["event"] for line in timeline["lines"]] == ["attempt_started", "request_finished"]


def test_an_unknown_id_and_unreadable_lines_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "broken.log"
    path.write_text('other program\n{"message_type": "lentilchute:request_fin\n')
    assert ui.run(["explain", "x", str(path)]) == ExitCode.FAILED
    error = capsys.readouterr().err
    assert "no event of request x found; 1 lines cannot be read, the first at broken:2" in error
    assert ui.run(["explain", "x", str(tmp_path / "missing.log")]) == ExitCode.FAILED
    assert "cannot read" in capsys.readouterr().err
