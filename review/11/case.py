"""Uploads inside the limits, one after another, beside callers that keep their connections."""

import asyncio
import os
import re
import secrets
import time
from pathlib import Path

from deployment import BOOKING, HOST, KEY, READING, Deployment, config, route, tenant
from http1 import read_body, read_head
from nodes import Node
from runner import run_case

NODES = 2
KEPT_EACH = 8
"""Clients of each node that keep their connections."""
UPLOAD_BYTES = 3_000_000
"""The configuration allows 4,194,304."""
USUAL_BYTES = 3_000
PAUSE_S = 0.1
"""Between two uploads of a caller."""
MEMORY_BYTES = 150_000_000
"""The limit of a machine, as the settings of the nodes state it."""
RESTART_S = 0.5
ENDS = 3
"""Processes that end by themselves so often make a fault."""
LAST_S = 75.0
WORK_S = 1.0
LOST_ALLOWED = 3
ROUTES = [
    route("r-views", "/views/", "safe", READING, **{"max-attempts": 2}),
    route("r-book", "/book/", "unsafe", BOOKING),
]


class Caller:
    """Sends one request after the other on a connection, and connects anew when that has ended."""

    def __init__(
        self, node: Node, method: str, prefix: str, body: bytes = b"", pause_s: float = 0.0
    ) -> None:
        self.node = node
        self.answered = 0
        self.refused = 0
        self.cut: list[str] = []
        """Attempts whose connection ended without an answer."""
        self._method = method
        self._prefix = prefix
        self._body = body
        self._pause_s = pause_s

    async def run(self, until_s: float) -> None:
        """Send requests until a time."""
        while time.monotonic() < until_s:
            host, _, port = self.node.front.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            is_open = True
            while is_open and time.monotonic() < until_s:
                is_open = await self._send(reader, writer)
                await asyncio.sleep(self._pause_s)
            writer.close()

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request; return whether the connection can be used again."""
        attempt = secrets.token_hex(8)
        lines = [
            f"{self._method} {self._prefix}{attempt} HTTP/1.1",
            f"Host: {HOST}",
            f"Lentilchute-Attempt-Id: {attempt}",
            "Lentilchute-Deadline-Ms: 4000",
            f"Lentilchute-Key: {KEY}",
        ]
        if self._body:
            lines.append(f"Content-Length: {len(self._body)}")
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + self._body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError
            _, is_complete = await read_body(reader, head[1], until_close=False)
            if not is_complete:
                raise ConnectionResetError
        except OSError:
            self.cut.append(attempt)
            return False
        if head[0].split(" ")[1] == "200":
            self.answered += 1
        else:
            self.refused += 1
            await asyncio.sleep(0.1)
        return head[1].get("connection") != "close"


class Machine:
    """Kills a node's process that takes more memory than its machine has, and starts it again."""

    def __init__(self, deployment: Deployment, node: Node, uploads: Caller) -> None:
        self.node = node
        self.killed = 0
        self.ended = 0
        """Ends without a kill."""
        self.most_bytes = 0
        self.faulted = asyncio.Event()
        """Set when the process has been killed as often as makes a fault."""
        self._deployment = deployment
        self._uploads = uploads

    async def run(self) -> None:
        """Watch the process until cancelled."""
        answered = 0
        while True:
            await asyncio.sleep(0.05)
            process = self.node.process
            assert process is not None
            held = resident_bytes(process.pid)
            self.most_bytes = max(self.most_bytes, held)
            if process.poll() is not None:
                self.ended += 1
            elif held > MEMORY_BYTES:
                self.killed += 1
                uploads, answered = self._uploads.answered - answered, self._uploads.answered
                self._deployment.note(
                    f"{self.node.name}: {held / 1e6:.0f} MB after {uploads} uploads: killed"
                )
                process.kill()
                process.wait()
                if self.killed >= ENDS:
                    self.faulted.set()
            else:
                continue
            await asyncio.sleep(RESTART_S)
            self.node.start()
            await self.node.wait_ready()


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return 1024 * int(found[1]) if found else 0


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Send uploads of 3 MB, or of 3 kB without the disruption, one after another to each node."""
    deployment.store.put("op", "config", config(3, ROUTES, [tenant("alpha", [KEY])]))
    await deployment.add_engines(READING, 4, slots=12, work_s=WORK_S)
    await deployment.add_engines(BOOKING, 2, slots=12, work_s=0.02)
    nodes = await deployment.start_nodes(NODES)
    await asyncio.sleep(6.0)
    body = secrets.token_bytes(UPLOAD_BYTES if trouble else USUAL_BYTES)
    uploads = [Caller(node, "POST", "/book/", body, PAUSE_S) for node in nodes]
    kept = [Caller(node, "GET", "/views/") for node in nodes for _ in range(KEPT_EACH)]
    machines = [Machine(deployment, *each) for each in zip(nodes, uploads, strict=True)]
    watching = [asyncio.create_task(machine.run()) for machine in machines]
    until_s = time.monotonic() + LAST_S
    running = [asyncio.create_task(caller.run(until_s)) for caller in (*uploads, *kept)]
    faults = [asyncio.create_task(machine.faulted.wait()) for machine in machines]
    await asyncio.wait(faults, timeout=LAST_S - 5.0)
    tasks = [*faults, *watching, *running]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    broken = []
    ran = {run.attempt for run in deployment.runs}
    for machine, uploading in zip(machines, uploads, strict=True):
        name = machine.node.name
        callers = [caller for caller in kept if caller.node is machine.node]
        cut = [attempt for caller in (*callers, uploading) for attempt in caller.cut]
        lost = [attempt for attempt in cut if attempt in ran]
        deployment.note(
            f"{name}: {uploading.answered} uploads of {len(body)} B answered 200,"
            f" {uploading.refused} refused; {sum(item.answered for item in callers)} other requests"
            f" answered 200; at most {machine.most_bytes / 1e6:.0f} MB; killed {machine.killed}"
            f" times, ended {machine.ended} times; {len(lost)} requests cut that engines ran"
        )
        if len(lost) > LOST_ALLOWED:
            broken.append(f"LOST {len(lost)} requests that engines ran, on connections of {name}")
    if sum(machine.killed + machine.ended >= ENDS for machine in machines) >= NODES:
        broken.append(f"Fault: on {NODES} machines processes ended by themselves {ENDS} times")
    return broken


run_case(play, os.getcwd())
