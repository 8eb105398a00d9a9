"""Stand-ins for the users' platform, engines and clients, and the gateways under test.

The platform's store and the engines follow PROTOCOL.md. They live in the process of the script;
each gateway is a process of its own, started with the command of the deploy file. All addresses are
loopback addresses.
"""

import asyncio
import base64
import fcntl
import json
import os
import random
import re
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import termios
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
"""``contact-ms`` of the small deployments."""

LONGEST_S = 110.0
"""A script ends after this long, whatever happens."""

Headers = dict[str, str]


@dataclass
class Request:
    """One request as a server reads it."""

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass
class Answer:
    """One answer as a client reads it; status 0 stands for none."""

    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Record:
    """What was sent, answered and run, one line for each event."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Return the seconds since the script started."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and return its whole answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                fields = {**headers, "Connection": "close"}
                if body or method == "POST":
                    fields["Content-Length"] = str(len(body))
                lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
                writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rest = head.decode("latin-1").split("\r\n")
                found = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in rest if line)
                }
                if "content-length" in found:
                    data = await reader.readexactly(int(found["content-length"]))
                else:
                    data = await reader.read()
                return Answer(int(first.split(" ")[1]), found, data)
            finally:
                writer.close()
    except TimeoutError:
        return Answer(0, error="time is up")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, error=type(error).__name__)


class Store:
    """The platform's store: rows in tables, with one counter of versions."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_silent = False
        """While set, the store does nothing and answers nothing."""
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, table: str, key: str, value: Any) -> int:
        """Set a row, or remove it with ``None``, and return the store's version."""
        self._version += 1
        data = None if value is None else json.dumps(value).encode()
        self._rows[table, key] = (data, self._version)
        return self._version

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if self.is_silent:
                    # The call is lost with its connection; nothing was done.
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                status, body = self._perform(request)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _perform(self, request: Request) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        tail = {"ver": self._version, "now-ms": round(time.monotonic() * 1000)}
        if url.path == "/api/rows-get":
            rows = [
                self._body(table, key)
                for table, key in sorted(self._rows)
                if table == query["table"]
                and key >= query.get("from", "")
                and self._rows[table, key][0] is not None
            ]
            return 200, {"rows": rows, "truncated": False, **tail}
        if url.path == "/api/rows-feed":
            after = int(query["start-after"])
            changed = [
                name
                for name, (_, version) in self._rows.items()
                if name[0] == query["table"] and version > after
            ]
            changed.sort(key=lambda name: self._rows[name][1])
            return 200, {"rows": [self._body(*name) for name in changed], **tail}
        if url.path == "/api/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _body(self, table: str, key: str) -> dict[str, Any]:
        value, version = self._rows[table, key]
        row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for item in body.get("expected-rev", ()):
            value, version = self._rows.get((item["table"], item["key"]), (None, 0))
            if (0 if value is None else version) != item["ver"]:
                return 412, {"rows": []}
        if any(item["table"] in ("op", "servers") for item in body.get("set-keys", ())):
            return 403, {}
        self._version += 1
        for item in body.get("set-keys", ()):
            value = base64.b64decode(item["value"])
            self._rows[item["table"], item["key"]] = (value, self._version)
        for item in body.get("remove", ()):
            self._rows[item["table"], item["key"]] = (None, self._version)
        return 200, {"ver": self._version, "now-ms": round(time.monotonic() * 1000)}


Handler = Callable[["Engine", Request, asyncio.StreamWriter], Awaitable[None]]


class Engine:
    """One engine of a plain service; it lists itself in the store while it runs."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, address: str, handler: Handler
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.record = record
        self.is_up = False
        self.sequence = 0
        self.running = 0
        self.slots = 8
        self._born_ms = 0
        self._store = store
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and list this incarnation."""
        host, _, port = self.address.rpartition(":")
        self._born_ms = round(time.time() * 1000)
        self.sequence = 0
        self.is_up = True
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beat = asyncio.create_task(self._keep_listed())
        self.record.write(f"engine {self.name} starts at {self.address}")

    def crash(self) -> None:
        """End without a word: connections are reset, nothing listens, the entry stays for now."""
        self.is_up = False
        assert self._server is not None and self._beat is not None
        self._server.close()
        self._beat.cancel()
        for writer in list(self._writers):
            reset(writer)
        self.record.write(f"engine {self.name} crashes")

    async def _keep_listed(self) -> None:
        while True:
            self.sequence += 1
            if not self._store.is_silent:
                self._store.put(
                    "servers",
                    self.name,
                    {
                        "service": self.service,
                        "address": self.address,
                        "zone": "zone-a",
                        "version": "1",
                        "slots": self.slots,
                        "state": "ready",
                        "cold-remaining-ms": 0,
                        "sequence": self.sequence,
                        "born": self._born_ms,
                    },
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None and self.is_up:
                attempt = request.headers.get("lentilchute-attempt-id", "")
                expected = request.headers.get("lentilchute-expect-instance")
                if expected not in (None, self.name):
                    await self.answer(writer, 421, attempt, b"", executed=False)
                elif request.target == "/healthz":
                    await self.answer(writer, 200, attempt, b"")
                elif not attempt:
                    await self.answer(writer, 400, attempt, b"", executed=False)
                else:
                    self.running += 1
                    try:
                        await self._handler(self, request, writer)
                    finally:
                        self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        attempt: str,
        body: bytes,
        *,
        executed: bool = True,
    ) -> None:
        """Write a whole answer."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            f"Lentilchute-Attempt-Id: {attempt}",
            f"Lentilchute-Instance-Id: {self.name}",
            f"Lentilchute-Engine-Load: {self.running},0,{self.slots}",
            "Keep-Alive: timeout=15",
        ]
        lines.append(
            f"Lentilchute-Engine-Stamp: {self.name}.{self._born_ms}.{attempt}"
            if executed
            else "Lentilchute-Not-Executed: 1"
        )
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()


class Link:
    """A proxy before the port of one machine that other machines connect to."""

    def __init__(self, record: Record, address: str, target: str) -> None:
        self.address = address
        self._record = record
        self._target = target
        self._pumps: set[asyncio.Task[None]] = set()
        self._kept: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=4096)

    def silence(self) -> None:
        """Let the open connections go silent for good; they stay open."""
        self._record.write(f"{len(self._kept)} open connections at {self.address} go silent")
        for pump in list(self._pumps):
            pump.cancel()

    def unread_bytes(self) -> int:
        """Return the most bytes that wait unread on an open connection."""
        most = 0
        for writer in self._kept:
            descriptor = writer.get_extra_info("socket").fileno()
            if descriptor >= 0:
                waiting = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
                most = max(most, int.from_bytes(waiting, sys.byteorder))
        return most

    def close(self) -> None:
        """Close all connections."""
        for pump in list(self._pumps):
            pump.cancel()
        for writer in self._kept:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port), limit=4096)
        except OSError:
            writer.close()
            return
        pair = [writer, far_writer]
        self._kept += pair
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            pump = asyncio.create_task(self._pump(source, sink, pair))
            self._pumps.add(pump)
            pump.add_done_callback(self._pumps.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        pair: list[asyncio.StreamWriter],
    ) -> None:
        try:
            while data := await source.read(4096):
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            pass
        for writer in pair:
            writer.close()
            if writer in self._kept:
                self._kept.remove(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Machine:
    """One gateway process at an IP address of its own."""

    def __init__(self, world: "World", number: int, ip: str) -> None:
        self.name = f"edge-{number}"
        self.front = f"{ip}:8221"
        self.ready = f"{ip}:8224"
        self._world = world
        self._ip = ip
        self._settings = world.folder / f"{self.name}.yaml"
        self._log = world.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.disturbed_s = float("-inf")
        """When something was last done to this machine, by the record's time."""

    def start(self) -> None:
        """Start the process, as the deploy file says."""
        self._settings.write_text(self._world.settings(self.name, self._ip), encoding="utf-8")
        env = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "JAVA_HOME", "LANG")
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["LENTILCHUTE_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "lentilchute.gateway"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.disturbed_s = self._world.record.now_s()
        self._world.record.write(f"{self.name} is started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.disturbed_s = self._world.record.now_s()
        self._world.record.write(f"{self.name} gets {number.name}")

    async def ended(self, within_s: float) -> int | None:
        """Wait for the end of the process; return its exit code, or ``None`` if it still runs."""
        assert self.process is not None
        end_s = time.monotonic() + within_s
        while self.process.poll() is None and time.monotonic() < end_s:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        code = self.process.poll()
        self._world.record.write(f"{self.name} has ended with {code}")
        return code

    async def is_ready(self) -> bool:
        """Ask what the platform asks once a second."""
        answer = await call(self.ready, "GET", "/api/readyz", {"Host": "ready"}, timeout_s=1.0)
        return answer.status == 200

    async def wait_ready(self, within_s: float) -> bool:
        """Wait until the machine counts as ready."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                self._world.record.write(f"{self.name} is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def is_in_touch(self) -> bool:
        """Whether nothing has been done to this machine for ``contact-ms``."""
        return self._world.record.now_s() - self.disturbed_s > CONTACT_S


class World:
    """A small deployment: a store, engines and some machines."""

    def __init__(
        self,
        folder: Path,
        machines: int,
        bounds: dict[str, Any] | None = None,
        *,
        has_links: bool = False,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = Store(f"{self._net}.1:8225")
        self.engines: list[Engine] = []
        self.machines = [Machine(self, n, f"{self._net}.{100 + n}") for n in range(1, machines + 1)]
        self.links: dict[str, Link] = {}
        """Proxies before the ports for traffic between machines, by the machine's IP address."""
        for n in range(1, machines + 1) if has_links else ():
            ip = f"{self._net}.{100 + n}"
            self.links[ip] = Link(self.record, f"{self._net}.{180 + n}:7600", f"{ip}:7600")
        self.bounds = {
            "drain-ms": 2000,
            "config-ms": 2000,
            "retry-budget-ratio": 0.2,
            "budget-window-s": 10,
            "retry-slack": 52,
            "quota-window-s": 8,
            "quota-overrun": 0.1,
            "quota-slack": 140000,
            "grace-s": 8,
            **(bounds or {}),
        }

    def settings(self, name: str, ip: str) -> str:
        """Return the settings of a process, from the template of the deploy file."""
        values: dict[str, Any] = {
            "node": name,
            "zone": "zone-a",
            "region": "region-a",
            "ip": ip,
            "listen.front": f"{ip}:8221",
            "listen.ready": f"{ip}:8224",
            "listen.directory": f"{ip}:8220",
            "port-range.0": 7600,
            "provider.address": self.store.address,
            "limits.cores": 2,
            "limits.cpu-share": 0.537,
            "limits.memory-mb": 150,
            **{f"bounds.{key}": value for key, value in self.bounds.items()},
        }
        text = (ROOT / "deploy" / "gateway.yaml.template").read_text(encoding="utf-8")
        # There is no section for roll-outs, as these deployments have none.
        text = re.sub(r"\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}\n?", "", text, flags=re.DOTALL)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda match: str(values[match[1]]), text)
        if ip in self.links:
            advertised = f'  peers_advertised: "{self.links[ip].address}"\n'
            text = text.replace("listen:\n", f"listen:\n{advertised}")
        return text

    def silence_links(self) -> None:
        """Let all open connections between machines go silent for good; new ones work."""
        for link in self.links.values():
            link.silence()
        for machine in self.machines:
            machine.disturbed_s = self.record.now_s()

    def engine(self, name: str, service: str, handler: Handler) -> Engine:
        """Add an engine."""
        address = f"{self._net}.{10 + len(self.engines)}:8300"
        engine = Engine(self.store, self.record, name, service, address, handler)
        self.engines.append(engine)
        return engine

    async def start(self, config: dict[str, Any]) -> bool:
        """Start everything; return whether all machines are ready."""
        await self.store.start()
        for link in self.links.values():
            await link.start()
        self.store.put("op", "config", config)
        for engine in self.engines:
            await engine.start()
        for machine in self.machines:
            machine.start()
        ready = await asyncio.gather(*(machine.wait_ready(20.0) for machine in self.machines))
        return all(ready)

    def play(self, main: Callable[[], Awaitable[int]]) -> int:
        """Play a case and end all processes; return the exit code of its script."""

        async def play_in_time() -> int:
            try:
                async with asyncio.timeout(LONGEST_S):
                    return await main()
            except TimeoutError:
                self.record.write("the case took too long")
                return 2

        # Without this, the end of the script would leave the gateways running.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        try:
            return asyncio.run(play_in_time())
        finally:
            self.end()

    def end(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def new_id() -> str:
    """Return the id of a new client attempt."""
    return secrets.token_hex(8)


def has_trouble() -> bool:
    """Whether the disruption of the case is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"
