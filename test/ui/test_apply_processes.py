"""Tests of ``lentilchute apply`` against node processes, with faults of the platform's table."""

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
import trio
from processes import SHARED_KEY, Deployment, service_document, wait_for_port

from lentilchute import ui
from lentilchute.errors import ExitCode
from lentilchute.http.client import ClientRequest, HttpClient
from lentilchute.operators.api import operator_key
from lentilchute.ui.nodes import KEY_FILE_VARIABLE, NODES_VARIABLE


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("nodes")) as running:
        running.standin("platform", "platform")
        running.wait_for("platform")
        running.nodes({"entry-1": "tunis-a", "entry-2": "tunis-b"})
        for address in running.operators.values():
            wait_for_port(address)
        yield running


@pytest.fixture(autouse=True)
def options(deployment: Deployment, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (tmp_path / "key").write_text(operator_key(SHARED_KEY))
    monkeypatch.setenv(KEY_FILE_VARIABLE, str(tmp_path / "key"))
    monkeypatch.setenv(NODES_VARIABLE, deployment.operators["entry-1"])


@pytest.fixture
def faults(deployment: Deployment) -> Iterator[Any]:
    """Yield a function that injects faults into the platform; they are reset afterwards."""

    def switch(**switches: object) -> None:
        async def post() -> None:
            client = HttpClient(deployment.addresses["platform"])
            body = json.dumps(switches).encode()
            (await client.call(ClientRequest("POST", "/control", (), body))).unwrap()
            await client.aclose()

        trio.run(post)

    yield switch
    switch(outage="none", lost_answers=0, lost_writes=0, delay_s=0)


def document_file(directory: Path, service: str, tier: str = "signing") -> Path:
    text = service_document(service, "plain", {"a-1": "127.0.0.1:1"}, tiers=[{"name": tier}])
    path = directory / f"{service}-{tier}.yaml"
    path.write_text(text)
    return path


def versions(service: str, capsys: pytest.CaptureFixture[str]) -> list[int]:
    capsys.readouterr()
    assert ui.run(["history", "--json", service]) == ExitCode.OK
    return [entry["version"] for entry in json.loads(capsys.readouterr().out)["entries"]]


@pytest.mark.parametrize("fault", ["lost_answers", "lost_writes"])
def test_retries_after_lost_answers_and_writes_make_one_version(
    faults: Any, fault: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    service = fault.replace("_", "-")
    faults(**{fault: 1})
    assert ui.run(["apply", str(document_file(tmp_path, service))]) == ExitCode.OK
    assert versions(service, capsys) == [1]


def test_of_two_concurrent_changes_one_is_accepted_and_the_other_gets_a_conflict(
    deployment: Deployment, faults: Any, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert ui.run(["apply", str(document_file(tmp_path, "race"))]) == ExitCode.OK
    # The delay lets each node read the version in force before the other one writes.
    faults(delay_s=0.3)
    commands = [
        [
            "apply",
            "--expected-version",
            "1",
            "--node",
            node,
            str(document_file(tmp_path, "race", t)),
        ]
        for t, node in zip(("first", "second"), deployment.operators.values(), strict=True)
    ]
    with ThreadPoolExecutor(max_workers=2) as pool:
        codes = sorted(pool.map(ui.run, commands))
    assert codes == [ExitCode.OK, ExitCode.CONFLICT]
    faults(delay_s=0)
    assert versions("race", capsys) == [2, 1]


def test_apply_changes_nothing_during_a_table_outage(
    faults: Any, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = document_file(tmp_path, "outage")
    faults(outage="refusing", services=["table"])
    assert ui.run(["apply", "--timeout-s", "0.1", str(file)]) == ExitCode.UNREACHABLE
    assert "nothing was changed" in capsys.readouterr().err
    faults(outage="none")
    assert ui.run(["apply", str(file)]) == ExitCode.OK
    assert versions("outage", capsys) == [1]


def test_an_accepted_version_is_in_force_on_all_nodes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = document_file(tmp_path, "everywhere")
    assert ui.run(["apply", "--json", str(file)]) == ExitCode.OK
    result = json.loads(capsys.readouterr().out)
    assert result["in_force"] == ["entry-1", "entry-2"]
    assert (result["behind"], result["silent"]) == ([], [])
