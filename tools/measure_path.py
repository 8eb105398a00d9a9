"""Measures the overhead of one node, compared with direct calls to the same stand-in engine.

    .venv/bin/python tools/measure_path.py [--calls 400] [--seconds 10]

Prints the added time to the first token (p50, p95) and the requests and tokens per second that one
node handles for each busy core. This process generates the load, and the engines run in separate
processes; the node's processor time is read from /proc.
"""

import argparse
import json
import os
import statistics
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).parent.parent / "test"))

from processes import (
    ACCOUNT_KEY,
    Deployment,
    put_document,
    service_document,
    wait_ready,
)

from lentilchute.http.client import ClientRequest, HttpClient

CHAT = "/v1/chat/completions"
SERVICE_CHAT = f"/services/drafters{CHAT}"
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CALLERS = 32


@dataclass(frozen=True)
class RequestSize:
    """Size of one request."""

    prompt_words: int
    output_tokens: int


def build_request(path: str, number: str, size: RequestSize) -> ClientRequest:
    words = " ".join(f"{number}-{word}" for word in range(size.prompt_words))
    body = {
        "model": "model",
        "stream": True,
        "max_tokens": size.output_tokens,
        "messages": [{"role": "user", "content": words}],
    }
    headers = (
        ("authorization", f"Bearer {ACCOUNT_KEY}"),
        ("lentilchute-tier", "signing"),
        ("lentilchute-deadline-s", "60"),
        ("x-request-id", f"direct/{number}"),
        ("content-type", "application/json"),
    )
    return ClientRequest("POST", path, headers, json.dumps(body).encode())


async def first_token_s(client: HttpClient, request: ClientRequest) -> float:
    """Read a response and return the time to the first part of its body."""
    started_s = trio.current_time()
    async with client.exchange(request) as exchange:
        response_head = (await exchange.head()).unwrap()
        assert response_head.status == 200, response_head
        first_s = None
        while True:
            chunk = (await exchange.part()).unwrap()
            if chunk is None:
                break
            first_s = first_s or trio.current_time()
    assert first_s is not None
    return first_s - started_s


async def measure_latency(deployment: Deployment, calls: int) -> dict[str, float]:
    """Measure direct calls and calls through the node alternately, one at a time."""
    size = RequestSize(64, 4)
    direct = HttpClient(deployment.addresses["engine-1"])
    via_node = HttpClient(deployment.addresses["entry-1"])
    direct_s, via_node_s = [], []
    for number in range(calls):
        direct_s.append(await first_token_s(direct, build_request(CHAT, f"d{number}", size)))
        via_node_s.append(
            await first_token_s(via_node, build_request(SERVICE_CHAT, f"t{number}", size))
        )
    return {
        "direct_p50_ms": percentile(direct_s, 50) * 1000,
        "direct_p95_ms": percentile(direct_s, 95) * 1000,
        "through_p50_ms": percentile(via_node_s, 50) * 1000,
        "through_p95_ms": percentile(via_node_s, 95) * 1000,
        "added_p50_ms": (percentile(via_node_s, 50) - percentile(direct_s, 50)) * 1000,
        "added_p95_ms": (percentile(via_node_s, 95) - percentile(direct_s, 95)) * 1000,
    }


async def measure_throughput(
    deployment: Deployment, seconds: float, size: RequestSize
) -> dict[str, float]:
    """Keep ``CALLERS`` requests in flight and return the throughput per node core."""
    pid = deployment.processes["entry-1"].pid
    done = 0
    end_s = trio.current_time() + seconds

    async def caller(number: int) -> None:
        nonlocal done
        client = HttpClient(deployment.addresses["entry-1"])
        count = 0
        while trio.current_time() < end_s:
            count += 1
            await first_token_s(client, build_request(SERVICE_CHAT, f"{number}x{count}", size))
            done += 1

    cpu_before_s, started_s = cpu_s(pid), trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(caller, number)
    used_cpu_s, wall_s = cpu_s(pid) - cpu_before_s, trio.current_time() - started_s
    return {
        "requests_per_s": done / wall_s,
        "node_cores": used_cpu_s / wall_s,
        "requests_per_core_s": done / used_cpu_s,
        "tokens_per_core_s": done * size.output_tokens / used_cpu_s,
        "node_rss_mb": rss_mb(pid),
    }


def cpu_s(pid: int) -> float:
    """Return the user and system processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the resident set size of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile of values."""
    return statistics.quantiles(values, n=100)[percent - 1]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory, Deployment(Path(directory)) as deployment:
        deployment.standin("platform", "platform")
        for engine in ENGINES:
            rates = ("--prefill-tokens-per-s", "1000000", "--decode-tokens-per-s", "2000")
            deployment.standin(engine, "engine", "--name", engine, *rates)
        deployment.wait_for("platform", *ENGINES)
        engines = {engine: deployment.addresses[engine] for engine in ENGINES}
        text = service_document("drafters", "engine", engines)
        trio.run(put_document, deployment.addresses["platform"], "drafters", text)
        deployment.nodes({"entry-1": "tunis-a"})
        trio.run(wait_ready, deployment.addresses["entry-1"], SERVICE_CHAT)
        results: dict[str, object] = {
            "latency": trio.run(measure_latency, deployment, arguments.calls)
        }
        for name, size in (("short", RequestSize(64, 4)), ("long", RequestSize(64, 200))):
            results[name] = trio.run(measure_throughput, deployment, arguments.seconds, size)
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
