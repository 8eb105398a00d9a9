"""Starts nodes and stand-ins as processes on loopback, for tests that need real processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any

import trio

from lentilchute.http.client import ClientRequest, HttpAnswer, HttpClient
from lentilchute.ids import DocumentVersion, ServiceName
from lentilchute.settings import PlatformSettings
from lentilchute.state.configuration_apply import ApplyState, DocumentChange
from lentilchute.state.document_changes import apply_change
from lentilchute.state.platform_http import HttpPlatform
from lentilchute.util.reserved_address import AddressReservations

ROOT = Path(__file__).parent.parent
SHARED_KEY = "a-shared-key-for-tests"
ACCOUNT_KEY = "key-of-sfax"
START_TIMEOUT_S = 20.0
POLL_S = 0.02


@dataclass
class Deployment:
    """The processes of one test, killed when the ``with`` block exits."""

    directory: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    """The address for callers of each node, and the address of each stand-in."""
    operators: dict[str, str] = field(default_factory=dict)
    _peers: dict[str, str] = field(default_factory=dict)
    _reservations: AddressReservations = field(default_factory=AddressReservations)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self._reservations.close()

    def standin(self, name: str, kind: str, *arguments: str) -> None:
        """Start a stand-in without waiting for it; see ``wait_for``."""
        address = self.addresses.setdefault(name, self._reservations.reserve())
        self._start(name, "standin", kind, "--listen", address, *arguments)

    def wait_for(self, *names: str) -> None:
        """Wait until these processes accept connections."""
        for name in names:
            wait_for_port(self.addresses[name])

    def nodes(self, zones: dict[str, str]) -> None:
        """Start one node per name, in the given availability zones, and wait for all of them."""
        for name in zones:
            self.addresses[name] = self._reservations.reserve()
            self.operators[name] = self._reservations.reserve()
            self._peers[name] = self._reservations.reserve()
        for name, zone in zones.items():
            self.start_node(name, zone)
        self.wait_for(*zones)

    def start_node(self, name: str, zone: str) -> None:
        """Start one node, or restart it at the same addresses."""
        platform = self.addresses["platform"]
        settings = {
            "instance": name,
            "availability_zone": zone,
            "listen": {
                "callers": self.addresses[name],
                "peers": self._peers[name],
                "operators": self.operators[name],
            },
            "peers": [
                {"instance": peer, "address": address}
                for peer, address in self._peers.items()
                if peer != name
            ],
            "platform": {"table": platform, "objects": platform, "instances": platform},
            "shared_key": SHARED_KEY,
            "entry": {"answer_lifetime_s": 1.0},
        }
        # JSON is valid YAML.
        path = self.directory / f"{name}.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = self.directory / f"{name}.log"
        self._start(name, "serve", "--settings", str(path), "--log", str(log))

    def stop(self, name: str, timeout_s: float = 30.0) -> int:
        """Request a planned stop with SIGTERM and return the exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(timeout_s)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Return the parsed lines of a node's log."""
        text = (self.directory / f"{name}.log").read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]

    def _start(self, name: str, *arguments: str) -> None:
        output = (self.directory / f"{name}.out").open("ab")
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m", "lentilchute", *arguments]
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=output, stderr=output, env=environment
        )
        output.close()


def wait_for_port(address: str) -> None:
    """Wait until an address accepts connections."""
    host, port = address.split(":")
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with socket.socket() as probe:
            if probe.connect_ex((host, int(port))) == 0:
                return
        time.sleep(POLL_S)
    raise TimeoutError(f"no process listens at {address}")


def service_document(service: str, kind: str, upstreams: dict[str, str], **more: Any) -> str:
    """Return a service document as text, with three tiers and one client account."""
    members = [
        {"name": name, "address": address, "availability_zone": "tunis-a"}
        for name, address in upstreams.items()
    ]
    document = {
        "service": service,
        "upstreams": [{"kind": kind, "members": members, "initial_decode_tokens_per_s": 200}],
        "tiers": [{"name": "signing"}, {"name": "summary"}, {"name": "sorting"}],
        "client_accounts": [
            {"name": "sfax", "key_sha256": sha256(ACCOUNT_KEY.encode()).hexdigest()}
        ],
        **more,
    }
    return json.dumps(document)


async def put_document(platform: str, service: str, text: str, version: int = 0) -> None:
    """Apply a document as the successor of ``version``."""
    adapter = HttpPlatform(PlatformSettings(table=platform, objects=platform, instances=platform))
    change = DocumentChange(
        service=ServiceName(service),
        expected_version=DocumentVersion(version),
        change_id=f"{service}-{version + 1:08}",
        author="test",
        text=text,
    )
    operation = await apply_change(adapter.table, change, 10.0)
    assert operation.state is ApplyState.ACCEPTED
    await adapter.aclose()


async def call(
    address: str,
    path: str,
    body: dict[str, Any] | None = None,
    *,
    tier: str = "signing",
    key: str | None = None,
    method: str = "POST",
    bearer: str = ACCOUNT_KEY,
    deadline_s: float = 20.0,
    request_id: str | None = None,
) -> HttpAnswer:
    """Send one request to an entry and return the complete answer; raise if there is none."""
    headers = [
        ("authorization", f"Bearer {bearer}"),
        ("lentilchute-tier", tier),
        ("lentilchute-deadline-s", str(deadline_s)),
        ("content-type", "application/json"),
    ]
    if request_id is not None:
        headers.append(("x-request-id", request_id))
    if key is not None:
        headers.append(("idempotency-key", key))
    client = HttpClient(address)
    data = b"" if body is None else json.dumps(body).encode()
    answer = await client.call(ClientRequest(method, path, tuple(headers), data))
    await client.aclose()
    return answer.unwrap()


async def wait_ready(address: str, path: str, bearer: str = ACCOUNT_KEY) -> None:
    """Wait until an entry has loaded a service.

    Until then it answers 404 or that it is not ready; afterwards it rejects a wrong key with 401.
    """
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            answer = await call(address, path, method="GET", bearer="wrong")
            if answer.status == 401:
                return
            await trio.sleep(POLL_S)
