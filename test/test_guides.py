"""Runs every command in the operator guides, in order, against nodes in separate processes."""

import contextlib
import os
import re
import shlex
import shutil
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from processes import ROOT, SHARED_KEY, Deployment, wait_for_port

from lentilchute import ui
from lentilchute.operators.api import operator_key
from lentilchute.ui.nodes import KEY_FILE_VARIABLE, NODES_VARIABLE

GUIDES = ROOT / "docs/guides/operators"
GUIDE_NODE = "10.20.1.101:7102"
COMMAND_TIMEOUT_S = 60.0


def commands(page: Path) -> list[str]:
    """Return the lines that start with ``$`` in a page's console blocks."""
    blocks = re.findall(r"```console\n(.*?)```", page.read_text(), re.DOTALL)
    return [line[2:] for block in blocks for line in block.splitlines() if line.startswith("$ ")]


class Shell:
    """Runs a page's commands in one directory; ``lentilchute`` commands run in this process."""

    def __init__(self, running: Deployment, directory: Path) -> None:
        self._running = running
        self._directory = directory

    def run(self, line: str) -> int:
        line = line.replace(GUIDE_NODE, self._running.operators["entry-1"])
        words = shlex.split(line, comments=True)
        if words[0] == "export":
            name, value = words[1].split("=", 1)
            os.environ[name] = value
            return 0
        if words[:2] == ["lentilchute", "serve"]:
            return self._serve(words[1:])
        if words[0] == "lentilchute":
            return self._command(words[1:])
        return subprocess.run(["bash", "-c", line], timeout=COMMAND_TIMEOUT_S).returncode

    def _command(self, words: list[str]) -> int:
        if ">" not in words:
            return ui.run(words)
        at = words.index(">")
        with open(words[at + 1], "w") as file, contextlib.redirect_stdout(file):
            return ui.run(words[:at])

    def _serve(self, words: list[str]) -> int:
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m", "lentilchute", *words]
        process = subprocess.Popen(command, cwd=self._directory, env=environment)
        try:
            wait_for_port(self._running.operators["entry-3"])
            process.send_signal(signal.SIGTERM)
            return process.wait(COMMAND_TIMEOUT_S)
        finally:
            process.kill()
            process.wait()


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Start two nodes and the platform stand-in once for all pages."""
    with Deployment(tmp_path_factory.mktemp("nodes")) as running:
        running.standin("platform", "platform")
        running.wait_for("platform")
        running.nodes({"entry-1": "tunis-a", "entry-2": "tunis-b", "entry-3": "bizerte"})
        # The third node's settings are used by the page that starts a node.
        running.kill("entry-3")
        for name in ("entry-1", "entry-2"):
            wait_for_port(running.operators[name])
        yield running


@pytest.fixture
def shell(deployment: Deployment, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Shell:
    """Create a working directory like a reader's."""
    shutil.copytree(ROOT / "examples", tmp_path / "examples")
    shutil.copy(deployment.directory / "entry-3.yaml", tmp_path / "node.yaml")
    (tmp_path / "operator.key").write_text(operator_key(SHARED_KEY))
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv(KEY_FILE_VARIABLE, "operator.key")
    monkeypatch.setenv(NODES_VARIABLE, deployment.operators["entry-1"])
    return Shell(deployment, tmp_path)


def pages() -> list[Path]:
    """Return the pages, first the one that expects the initial versions of a new service."""
    found = [page for page in GUIDES.glob("*.md") if page.stem != "README"]
    return sorted(found, key=lambda page: (page.stem != "service-document", page.stem))


@pytest.mark.parametrize("page", pages(), ids=lambda page: page.stem)
def test_every_command_returns_the_documented_exit_code(page: Path, shell: Shell) -> None:
    lines = commands(page)
    assert lines, "the page contains no command"
    for line in lines:
        expected = re.search(r"# exit code (\d+)$", line)
        assert shell.run(line) == (int(expected.group(1)) if expected else 0), line


def test_links_between_pages_resolve() -> None:
    for page in (ROOT / "docs").rglob("*.md"):
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page}: {target}"
