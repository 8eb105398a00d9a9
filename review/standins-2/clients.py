"""Clients that ask the directory where to connect, as the platform's do."""

import asyncio
import json
import random
import secrets
import time
from dataclasses import dataclass, field

from http1 import Answer, call
from nodes import Node

LOOKUPS = 3
CLIENTS = 36


@dataclass
class Resolved:
    """What the directory told one client, and until when the client keeps it."""

    addresses: list[str] = field(default_factory=list)
    until_s: float = 0.0


@dataclass
class Tried:
    """One request of a client and its answer."""

    sent_s: float
    attempt: str
    target: str
    key: str
    node: str
    status: int
    body: bytes
    took_s: float


class Clients:
    """Sends requests to the addresses that the directory names."""

    def __init__(self, nodes: list[Node], host: str) -> None:
        self.nodes = nodes
        self.tried: list[Tried] = []
        self._host = host
        self._resolved = [Resolved() for _ in range(CLIENTS)]
        self._tasks: set[asyncio.Task[None]] = set()

    async def address(self) -> str | None:
        """Return an address for one of the clients, at random among those that it was told."""
        known = random.choice(self._resolved)
        if time.monotonic() >= known.until_s:
            for node in random.sample(self.nodes, min(LOOKUPS, len(self.nodes))):
                target = f"/api/resolve?name={self._host}&region=north&zone=z1"
                answer = await call(
                    node.directory, "GET", target, {"Host": self._host}, timeout_s=1.0
                )
                if answer.status == 200:
                    found = json.loads(answer.body)
                    known.addresses = found["addresses"]
                    known.until_s = time.monotonic() + min(found["ttl-s"], 5.0)
                    break
        return random.choice(known.addresses) if known.addresses else None

    async def send(
        self,
        method: str,
        target: str,
        key: str,
        *,
        tokens: str = "",
        deadline_ms: int = 4000,
        body: bytes = b"",
        address: str | None = None,
    ) -> Answer:
        """Send one request once, and record what came of it."""
        attempt = secrets.token_hex(8)
        headers = {
            "Host": self._host,
            "Lentilchute-Attempt-Id": attempt,
            "Lentilchute-Deadline-Ms": str(deadline_ms),
            "Lentilchute-Key": key,
        }
        if tokens:
            headers["Lentilchute-Model-Name"] = "m"
            headers["Lentilchute-Token-Counts"] = tokens
            headers["Lentilchute-Prompt-Prefix"] = f"{secrets.token_hex(4)}:{tokens.split(',')[0]}"
        sent_s = time.monotonic()
        to = address or await self.address()
        if to is None:
            return Answer(0)
        answer = await call(to, method, target, headers, body, deadline_ms / 1000)
        took_s = time.monotonic() - sent_s
        self.tried.append(
            Tried(sent_s, attempt, target, key, to, answer.status, answer.body, took_s)
        )
        return answer

    def start_sending(
        self, per_s: float, method: str, target: str, key: str, tokens: str
    ) -> asyncio.Task[None]:
        """Send requests at a steady rate until the task is cancelled."""

        async def send_one() -> None:
            await self.send(method, target, key, tokens=tokens)

        async def run() -> None:
            due_s = time.monotonic()
            while True:
                due_s += 1 / per_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                task = asyncio.create_task(send_one())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

        return asyncio.create_task(run())
