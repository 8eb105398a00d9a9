"""Measures the control cost of an idle group: the processor time and memory of its nodes.

    .venv/bin/python tools/measure_idle.py [--nodes 9] [--seconds 15]

The nodes, four stand-in engines and the platform run as processes on the loopback interface. One
call makes a node start scheduling the service, so that it polls the engines' state every second.
"""

import argparse
import sys
import tempfile
import time
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).parent.parent / "test"))

from measure_path import ENGINES, SERVICE_CHAT, cpu_s, rss_mb
from processes import (
    Deployment,
    call,
    put_document,
    service_document,
    wait_ready,
)

ONE_CALL = {"model": "model", "max_tokens": 2, "messages": [{"role": "user", "content": "deed"}]}


def measure(deployment: Deployment, names: list[str], seconds: float) -> None:
    cpu_before_s = {name: cpu_s(deployment.processes[name].pid) for name in names}
    started_s = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    for name in names:
        pid = deployment.processes[name].pid
        share = (cpu_s(pid) - cpu_before_s[name]) / elapsed_s
        print(f"{name}: {share:.1%} of a core, {rss_mb(pid):.0f} MB")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    names = [f"entry-{number}" for number in range(1, arguments.nodes + 1)]
    with tempfile.TemporaryDirectory() as directory, Deployment(Path(directory)) as deployment:
        deployment.standin("platform", "platform")
        for engine in ENGINES:
            deployment.standin(engine, "engine", "--name", engine)
        deployment.wait_for("platform", *ENGINES)
        engines = {engine: deployment.addresses[engine] for engine in ENGINES}
        text = service_document("drafters", "engine", engines)
        trio.run(put_document, deployment.addresses["platform"], "drafters", text)
        deployment.nodes(dict.fromkeys(names, "tunis-a"))
        for name in names:
            trio.run(wait_ready, deployment.addresses[name], SERVICE_CHAT)
        trio.run(call, deployment.addresses[names[0]], SERVICE_CHAT, ONE_CALL)
        measure(deployment, names, arguments.seconds)


if __name__ == "__main__":
    main()
