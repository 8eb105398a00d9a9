"""Starts gateway processes as the deploy file does, on loopback addresses of their own.

The settings file is the deploy file's template, filled in from the fields of a small deployment.
"""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from http1 import call

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 8.0
BOUNDS = {
    "drain-ms": 2000,
    "config-ms": 2000,
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-slack": 52,
    "quota-window-s": 8,
    "quota-overrun": 0.1,
    "quota-slack": 140000,
}
"""The bounds of the site file ``ntf-ruter.toml``."""


def loopback_net() -> str:
    """Return the first three bytes of a loopback network that this test uses alone."""
    while True:
        net = f"127.{random.randrange(20, 250)}.{random.randrange(0, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{net}.1", 9464))
            return net
        except OSError:
            continue


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template: values, and sections that depend on one being there."""

    def value(name: str) -> Any:
        found: Any = fields
        for step in name.split("."):
            found = found[int(step)] if isinstance(found, list) else found.get(step)
            if found is None:
                return None
        return found

    def section(match: re.Match[str]) -> str:
        return match[2] if value(match[1]) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: str(value(match[1])), text)


class Node:
    """One gateway: its addresses, its settings file and its process."""

    def __init__(
        self, folder: Path, name: str, host: str, zone: str, store: str, *, first: bool = True
    ) -> None:
        self.name = name
        self.front = f"{host}:8221"
        self.directory = f"{host}:8220"
        self.ready = f"{host}:8224"
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.yaml"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["gateway"]
        fields = {
            "node": name,
            "zone": zone,
            "region": "north",
            "ip": host,
            "listen": {"front": self.front, "ready": self.ready, "directory": self.directory},
            "port-range": [7600, 7615],
            "bootstrap": first,
            "provider": {"address": store},
            "limits": {"cores": 2, "cpu-share": 0.537, "memory-mb": 150},
            "bounds": BOUNDS,
        }
        self._settings.write_text(fill((ROOT / self._role["template"]).read_text(), fields))

    def start(self) -> None:
        """Start the deploy file's program."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["LENTILCHUTE_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        command = self._role["run"].split(" ")
        self.starts += 1
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, timeout_s: float = GRACE_S) -> None:
        """Wait for the end, and kill the process after the grace time, as the platform does."""
        deadline_s = time.monotonic() + timeout_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > deadline_s:
                self.process.kill()
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return what the readiness check says."""
        answer = await call(self.ready, "GET", "/api/readyz", {"Host": "x"}, timeout_s=1.0)
        return answer.status == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the node is ready; return whether it is."""
        deadline_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > deadline_s:
                return False
            await asyncio.sleep(0.1)
        return True


class Fleet:
    """The nodes of a test, and their folder; ends every process that it started."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="lentilchute-review-"))
        self.nodes: list[Node] = []

    def add(self, name: str, host: str, zone: str, store: str, *, first: bool = True) -> Node:
        """Add a node, which is not started yet."""
        node = Node(self.folder, name, host, zone, store, first=first)
        self.nodes.append(node)
        return node

    def kill_all(self) -> None:
        """Kill what still runs, by its process id."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()


def is_built() -> bool:
    """Return whether the deploy file's build has run for this Python."""
    if (ROOT / "target/deps").is_dir() and sys.version_info >= (3, 11):
        return True
    print("run the deploy file's build first")
    return False
