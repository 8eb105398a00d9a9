"""A small deployment: a store, engines of two services, nodes and clients."""

import asyncio
import time
from typing import Any

from clients import Clients
from engines import Engine, Run
from http1 import serve
from nodes import Fleet, Node, loopback_net
from store import Store

HOST = "notary.example"
KEY = "k-alpha-1"
OTHER_KEY = "k-beta-1"
READING, BOOKING, DRAFTING = "agenda-views", "agenda-core", "drafters"
ZONES = ("z1", "z2", "z3")


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route in the operator's format."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 4000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "public": False,
        "resumable": False,
        **more,
    }


def tenant(name: str, keys: list[str], rate_per_s: int = 0, burst: int = 0) -> dict[str, Any]:
    """Return a tenant whose quota counts tokens."""
    return {
        "name": name,
        "api-keys": keys,
        "priority": 1,
        "unit": "token_count",
        "plain-tokens": 200,
        "rate-per-s": rate_per_s,
        "burst": burst,
    }


def config(
    version: int, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration in the operator's format."""
    services = sorted({item["service"] for item in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/healthz", "max-conns": 480, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": tenants,
    }


class Deployment:
    """All parts of a test, in this process but for the nodes."""

    def __init__(self, *, first_era: int | None = None) -> None:
        self.net = loopback_net()
        self.store = Store(first_era=first_era)
        self.store_address = f"{self.net}.250:8225"
        self.engines: list[Engine] = []
        self.runs: list[Run] = []
        self.fleet = Fleet()
        self.clients = Clients([], HOST)
        self.started_s = time.monotonic()
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line to the record, with the time since the start."""
        line = f"{time.monotonic() - self.started_s:7.2f}  {text}"
        print(line, flush=True)
        self._lines.append(line)

    async def open_store(self) -> None:
        """Serve the store."""
        host, _, port = self.store_address.rpartition(":")
        await serve(host, int(port), self.store.handle)

    async def add_engines(self, service: str, count: int, **more: Any) -> list[Engine]:
        """Start engines of a service."""
        added = []
        for _ in range(count):
            number = len(self.engines) + 1
            address = f"{self.net}.{150 + number}:8080"
            zone = ZONES[number % len(ZONES)]
            engine = Engine(self.store, service, address, zone, self.runs, **more)
            await engine.start()
            self.engines.append(engine)
            added.append(engine)
        return added

    async def start_nodes(self, count: int) -> list[Node]:
        """Start nodes at once, and wait until all are ready."""
        nodes = [
            self.fleet.add(
                f"edge-{number + 1}",
                f"{self.net}.{number + 1}",
                ZONES[number % len(ZONES)],
                self.store_address,
            )
            for number in range(count)
        ]
        for node in nodes:
            node.start()
        ready = await asyncio.gather(*(node.wait_ready() for node in nodes))
        if not all(ready):
            raise CannotRunError("not all nodes became ready")
        self.clients.nodes = nodes
        return nodes

    def write_record(self, path: str) -> None:
        """Write the record."""
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self._lines) + "\n")


class CannotRunError(Exception):
    """The case cannot run here."""
