"""Stand-ins for engines of one service: each serves plain answers or streams at its own address.

An engine writes its row to the store on its heartbeat, echoes the attempt id, signs its answers,
and answers 421 to a request that expects another instance.
"""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http1 import Answer, Listener, Request, serve
from store import Store

HEARTBEAT_S = 1.2
CRASH_S = 2.0
"""A crashed engine is back after this."""


@dataclass
class Run:
    """One request that an engine ran."""

    at_s: float
    engine: str
    service: str
    attempt: str
    method: str
    target: str
    tenant: str
    tokens: int


class Engine:
    """One engine."""

    def __init__(
        self,
        store: Store,
        service: str,
        address: str,
        zone: str,
        runs: list[Run],
        *,
        slots: int = 12,
        work_s: float = 0.03,
        events: int = 0,
        memory_tokens: int = 0,
    ) -> None:
        self.id = f"i-{secrets.token_hex(5)}"
        self.service = service
        self.address = address
        self.state = "ready"
        self.hears: Callable[[Request], None] = lambda request: None
        """Called with each request, also one that isn't run."""
        self.crashes_on = ""
        """A request for this target crashes the engine as it begins to run it."""
        self._restart: asyncio.Task[None] | None = None
        self._store = store
        self._zone = zone
        self._runs = runs
        self._slots = slots
        self._work_s = work_s
        self._events = events
        self._memory_tokens = memory_tokens
        """A larger request is rejected as if the engine were full; 0 for any size."""
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._running = 0
        self._listener: Listener | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve, and register in the store."""
        host, _, port = self.address.rpartition(":")
        self._listener = await serve(host, int(port), self.handle)
        self._beats = asyncio.create_task(self._beat())

    def write(self) -> int:
        """Write the row of this engine; return the store's version."""
        self._sequence += 1
        return self._store.put("servers", self.id, self._row())

    def _row(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    async def _beat(self) -> None:
        while True:
            if not self._store.is_away:
                self.write()
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self) -> None:
        """Stop serving and writing; the row stays."""
        if self._beats is not None:
            self._beats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._beats
        if self._listener is not None and self._listener.server is not None:
            self._listener.server.close()

    async def crash(self) -> None:
        """Break off all work, and start again under the same id some seconds later."""
        assert self._listener is not None and self._beats is not None
        self._beats.cancel()
        self._listener.crash()
        await asyncio.sleep(CRASH_S)
        self._born_ms, self._sequence = int(time.time() * 1000), 0
        await self.start()

    async def handle(self, request: Request) -> Answer | None:
        """Answer a request."""
        self.hears(request)
        if request.target == "/healthz":
            return Answer(200, {"Lentilchute-Instance-Id": self.id})
        expected = request.headers.get("lentilchute-expect-instance", self.id)
        attempt = request.headers.get("lentilchute-attempt-id", "")
        if expected != self.id:
            return Answer(421, {"Lentilchute-Instance-Id": self.id})
        echo = {"Lentilchute-Attempt-Id": attempt} if attempt else {}
        counts = request.headers.get("lentilchute-token-counts", "0,0").split(",")
        tokens = sum(int(count) for count in counts)
        is_too_large = 0 < self._memory_tokens < tokens
        if is_too_large or self._running >= 2 * self._slots:
            return Answer(503, {**echo, "Lentilchute-Not-Executed": "1"})
        run = Run(
            time.monotonic(),
            self.id,
            self.service,
            attempt,
            request.method,
            request.target,
            request.headers.get("lentilchute-tenant-name", ""),
            tokens,
        )
        self._runs.append(run)
        if self.crashes_on and request.target == self.crashes_on:
            self._restart = asyncio.create_task(self.crash())
            await asyncio.sleep(CRASH_S)
            return None
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        headers = {**echo, "Lentilchute-Engine-Stamp": f"{self.id}.{secrets.token_hex(4)}"}
        headers["Lentilchute-Engine-Load"] = f"{self._running},0,{self._slots}"
        if not self._events:
            return Answer(200, headers, f"{self.service} {request.target}".encode())
        headers["Content-Type"] = "text/event-stream"
        chunks = [f"id: {n}\ndata: {attempt}\n\n".encode() for n in range(1, self._events + 1)]
        return Answer(200, headers, chunks=chunks, gap_s=0.005)
