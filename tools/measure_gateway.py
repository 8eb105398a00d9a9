"""Measures what a gateway node costs: its start, its idle time and its requests.

    .venv/bin/python tools/measure_gateway.py [--nodes 18] [--seconds 10] [--check]
        [--profile DIRECTORY]

The nodes run as processes; the platform's store, the upstreams and the callers run in this one. All
figures are processor time of the nodes alone. The same requests also pass through a proxy of the
bare libraries (``bare_proxy.py``), and a start is compared with the import of these libraries: the
ratios depend less on the machine than the times do. With ``--profile`` each node runs under
cProfile and writes its figures to the directory; the processor times then include the profiler's
own. With ``--check`` the tool fails when a figure is above its bound in ``BOUNDS``.
"""

import argparse
import compileall
import itertools
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from pathlib import Path
from statistics import mean
from typing import Protocol

import trio

sys.path.insert(0, str(Path(__file__).parent.parent / "test"))

from gateway_samples import config_row
from gateway_world import HOST, KEY, GatewayWorld, node_settings
from measure_path import cpu_s, rss_mb

from lentilchute.http.client import ClientRequest, HttpAnswer, HttpClient
from lentilchute.platform import headers, rows
from lentilchute.util.reserved_address import AddressReservations

ROOT = Path(__file__).parents[1]
CALLERS = 8
ENTRIES = 4
"""Nodes that get the requests, and proxies beside them."""
EVENTS = 55
POLL_S = 0.02
START_LIMIT_S = 60.0
STREAM_TOKENS = "600,330"
LIBRARIES = "eliot, h11, pydantic, result, thriftpy2.protocol.cybin, trio, xxhash"
BARE_STARTS = 3
PROFILED = """
import cProfile, runpy, sys, time
profile = cProfile.Profile(time.process_time)
try:
    profile.runcall(runpy.run_module, "lentilchute.gateway", run_name="__main__", alter_sys=True)
finally:
    profile.dump_stats(sys.argv[-1])
"""
"""Runs a node and writes what took its processor time."""

BOUNDS = {
    "start": 0.4,
    "idle": 0.008,
    "plain request": 0.0025,
    "event of a stream": 0.00025,
}
"""Processor seconds that each may take: a start, a second of an idle node, a request, an event."""

_reservations = AddressReservations()


class Server(Protocol):
    """A process whose processor time is measured while it serves callers."""

    @property
    def callers(self) -> str:
        """Address for callers."""
        ...

    @property
    def cpu_s(self) -> float:
        """Processor time used so far."""
        ...


class NodeProcess:
    """One gateway node in a process of its own."""

    def __init__(
        self, name: str, directory: Path, store_address: str, profiles: Path | None
    ) -> None:
        settings = node_settings(name, store_address)
        self.listen = settings.listen
        path = directory / f"{name}.yaml"
        path.write_text(json.dumps(settings.model_dump(mode="json", exclude_none=True)))
        profiled = ["-c", PROFILED, str(profiles / name)] if profiles is not None else []
        self._log = (directory / f"{name}.log").open("wb")
        self._process = subprocess.Popen(
            [sys.executable, *(profiled or ["-m", "lentilchute.gateway"])],
            cwd=ROOT,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "LENTILCHUTE_CONFIG": str(path)},
        )

    @property
    def callers(self) -> str:
        """Address for callers."""
        return self.listen.callers

    @property
    def cpu_s(self) -> float:
        """Processor time used so far."""
        return cpu_s(self._process.pid)

    @property
    def memory_mb(self) -> float:
        """Resident memory."""
        return rss_mb(self._process.pid)

    def stop(self) -> None:
        """Stop the node as planned, and wait for its end."""
        self._process.send_signal(signal.SIGTERM)
        self._process.wait()
        self._log.close()


class BareProcess:
    """A proxy of the bare libraries before one upstream."""

    def __init__(self, upstream: str, address: str) -> None:
        self.callers = _reservations.reserve()
        self._expected = (headers.EXPECTED_UPSTREAM, upstream)
        program = str(ROOT / "tools" / "bare_proxy.py")
        self._process = subprocess.Popen([sys.executable, program, self.callers, address], cwd=ROOT)

    @property
    def cpu_s(self) -> float:
        """Processor time used so far."""
        return cpu_s(self._process.pid)

    def request(self, request: ClientRequest) -> ClientRequest:
        """Return a caller's request with the header that a node would add."""
        return replace(request, headers=(*request.headers, self._expected))

    def stop(self) -> None:
        """End the proxy."""
        self._process.kill()
        self._process.wait()


async def answer_of(
    address: str, request: ClientRequest, client: HttpClient | None = None
) -> HttpAnswer | None:
    """Return the answer to a request, or ``None`` if there is no whole one."""
    own = client or HttpClient(address)
    answer = await own.call(request)
    if client is None:
        await own.aclose()
    return answer.ok()


def plain_request(number: int) -> ClientRequest:
    return caller_request("/view/slot", number)


def stream_request(number: int) -> ClientRequest:
    return caller_request("/drafts/deed", number, ("lentilchute-token-counts", STREAM_TOKENS))


def caller_request(path: str, number: int, *headers: tuple[str, str]) -> ClientRequest:
    own = (
        ("host", HOST),
        ("lentilchute-key", KEY),
        ("lentilchute-attempt-id", f"call-{number}"),
        ("lentilchute-deadline-ms", "4000"),
    )
    return ClientRequest("GET", path, (*own, *headers))


async def until_served(is_served: Callable[[], Awaitable[bool]]) -> None:
    with trio.fail_after(START_LIMIT_S):
        while not await is_served():  # noqa: ASYNC110
            await trio.sleep(POLL_S)


async def measure_start(nodes: list[NodeProcess]) -> float:
    """Print the processor time until each node's directory answers and a request is served; return
    the latter."""
    directory_s: list[float] = []
    served_s: list[float] = []
    numbers = itertools.count()

    async def watch(node: NodeProcess) -> None:
        async def lists_nodes() -> bool:
            request = ClientRequest("GET", "/api/resolve")
            answer = await answer_of(node.listen.directory, request)
            return answer is not None and answer.status == 200

        async def serves() -> bool:
            request = plain_request(-next(numbers))
            answer = await answer_of(node.listen.callers, request)
            return answer is not None and answer.status == 200

        await until_served(lists_nodes)
        directory_s.append(node.cpu_s)
        await until_served(serves)
        served_s.append(node.cpu_s)

    async with trio.open_nursery() as nursery:
        for node in nodes:
            nursery.start_soon(watch, node)
    print(f"start to the first directory answer: {mean(directory_s):.2f} s a node")
    print(f"start to the first served request: {mean(served_s):.2f} s a node")
    started_s, bare_s = mean(served_s), await trio.to_thread.run_sync(bare_start_s)
    print(f"import of the libraries: {bare_s:.2f} s: ratio {started_s / bare_s:.2f}")
    return started_s


async def measure_idle(nodes: list[NodeProcess], seconds: float) -> float:
    """Print and return the share of a core that a node takes without requests."""
    await trio.sleep(seconds)
    before_s = [node.cpu_s for node in nodes]
    await trio.sleep(seconds)
    shares = [(node.cpu_s - before) / seconds for node, before in zip(nodes, before_s, strict=True)]
    print(f"idle: {mean(shares):.4f} of a core a node on average, {max(shares):.4f} at most")
    return mean(shares)


async def request_cost_s(
    servers: Sequence[Server],
    entries: Sequence[Server],
    build: Callable[[int], ClientRequest],
    seconds: float,
    idle_share: float = 0.0,
) -> float:
    """Return the processor time that all servers together take for a request to one of the
    entries, in addition to ``idle_share``."""
    numbers = itertools.count(1)
    served = 0

    async def call_repeatedly(address: str) -> None:
        nonlocal served
        client = HttpClient(address)
        while True:
            answer = await answer_of(address, build(next(numbers)), client)
            served += answer is not None and answer.status == 200

    before_s = sum(server.cpu_s for server in servers)
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for caller in range(CALLERS):
                nursery.start_soon(call_repeatedly, entries[caller % len(entries)].callers)
    idle_s = idle_share * seconds * len(servers)
    return (sum(server.cpu_s for server in servers) - before_s - idle_s) / max(served, 1)


async def measure_requests(
    nodes: list[NodeProcess],
    proxies: list[BareProcess],
    build: Callable[[int], ClientRequest],
    seconds: float,
    idle_share: float,
) -> tuple[float, float]:
    """Return the processor time of a request of one kind through a node, without that of idle
    nodes, and through a bare proxy."""

    for bare in proxies:

        async def is_served(bare: BareProcess = bare) -> bool:
            answer = await answer_of(bare.callers, bare.request(build(0)))
            return answer is not None and answer.status == 200

        await until_served(is_served)
    bare_s = await request_cost_s(
        proxies, proxies, lambda number: proxies[0].request(build(number)), seconds
    )
    entries = nodes[: len(proxies)]
    return await request_cost_s(nodes, entries, build, seconds, idle_share), bare_s


def print_cost(kind: str, costs_s: tuple[float, float]) -> None:
    node_s, bare_s = costs_s
    print(f"{kind}: {1000 * node_s:.2f} ms, bare {1000 * bare_s:.2f}: ratio {node_s / bare_s:.2f}")


def bare_start_s() -> float:
    """Return the processor time of a process that only imports the libraries."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    for _ in range(BARE_STARTS):
        subprocess.run([sys.executable, "-c", f"import {LIBRARIES}"], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return spent_s / BARE_STARTS


async def measure(
    node_count: int, seconds: float, directory: Path, profiles: Path | None
) -> dict[str, float]:
    """Measure all kinds of cost; return those that have a bound."""
    found: dict[str, float] = {}
    async with trio.open_nursery() as nursery:
        world = GatewayWorld(nursery)
        await world.open(nodes=0, drafters=4, agendas=4)
        tenants = json.loads(config_row())["tenants"]
        unlimited = [{**tenants[0], "rate-per-s": 1e9, "burst": 1e9}]
        world.store.state.put(
            rows.CONFIG_TABLE, rows.CONFIG_KEY, config_row(version=8, tenants=unlimited)
        )
        for upstream in world.upstreams.values():
            upstream.standin.behaviour.events = EVENTS
        nodes = [
            NodeProcess(f"node-{number}", directory, world.store_address, profiles)
            for number in range(node_count)
        ]
        try:
            found["start"] = await measure_start(nodes)
            idle_share = found["idle"] = await measure_idle(nodes, seconds)
            for kind, name, build, parts in (
                ("plain request", "a0", plain_request, 1),
                ("event of a stream", "d0", stream_request, EVENTS),
            ):
                address = world.upstreams[name].address
                proxies = [BareProcess(name, address) for _ in nodes[:ENTRIES]]
                try:
                    costs_s = await measure_requests(nodes, proxies, build, seconds, idle_share)
                finally:
                    for bare in proxies:
                        bare.stop()
                found[kind] = costs_s[0] / parts
                print_cost(kind, (found[kind], costs_s[1] / parts))
            print(f"memory: {max(node.memory_mb for node in nodes):.0f} MB at most")
        finally:
            async with trio.open_nursery() as stopping:
                for node in nodes:
                    stopping.start_soon(trio.to_thread.run_sync, node.stop)
        nursery.cancel_scope.cancel()
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=18)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--profile", type=Path)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    if arguments.profile is not None:
        arguments.profile.mkdir(parents=True, exist_ok=True)
    # As a deployment's build does; without it each start compiles the package.
    compileall.compile_dir(ROOT / "lentilchute", quiet=1)
    with tempfile.TemporaryDirectory() as directory:
        found = trio.run(
            measure, arguments.nodes, arguments.seconds, Path(directory), arguments.profile
        )
    above = [kind for kind, bound_s in BOUNDS.items() if found[kind] >= bound_s]
    for kind in above:
        print(f"{kind}: {found[kind]:.5f} s, must be under {BOUNDS[kind]} s")
    if arguments.check and above:
        sys.exit(1)


if __name__ == "__main__":
    main()
