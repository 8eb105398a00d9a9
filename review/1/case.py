"""Open connections between the machines go silent for good, while new ones work."""

import asyncio
import sys
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import Engine, Machine, Request, World, call, has_trouble, new_id

FOLDER = Path(__file__).resolve().parent
HOST = "read.example"
KEY = "k7f3a9"
MACHINES = 4
WARM_S = 8.0
AFTER_S = 45.0
PER_S = 60.0
"""Requests a second that the tenant sends, to all machines in turn."""
TOKENS = 10_000
RATE_PER_S = 100_000
BURST = 100_000
WINDOW_S = 8.0
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 140_000

world = World(FOLDER, MACHINES, has_links=True)
sent_s: dict[str, float] = {}
runs: list[tuple[float, float]] = []
"""Times at which requests were sent, and arrived at an engine that ran them."""
served: dict[int, int] = {}


async def run(engine: Engine, request: Request, writer: asyncio.StreamWriter) -> None:
    """Run one request at an engine."""
    attempt = request.headers["lentilchute-attempt-id"]
    runs.append((sent_s[attempt], world.record.now_s()))
    world.record.write(f"{engine.name} runs {attempt}")
    await asyncio.sleep(0.02)
    await engine.answer(writer, 200, attempt, b"x" * 200)


async def ask(machine: Machine) -> None:
    """Send one client attempt to a machine."""
    attempt = new_id()
    headers = {
        "Host": HOST,
        "Lentilchute-Attempt-Id": attempt,
        "Lentilchute-Deadline-Ms": "3000",
        "Lentilchute-Key": KEY,
        "Lentilchute-Token-Counts": f"{TOKENS - 1000},1000",
    }
    sent_s[attempt] = world.record.now_s()
    answer = await call(machine.front, "GET", "/items/1", headers, timeout_s=3.0)
    world.record.write(f"{attempt} by {machine.name}: {answer.status} {answer.error}")
    served[answer.status] = served.get(answer.status, 0) + 1


async def main() -> int:
    """Play the case; return the exit code of the script."""
    for number in range(1, 7):
        world.engine(f"i-{number:02d}", "items-app", run)
    config = {
        "version": 3,
        "routes": [
            {
                "name": "items",
                "host": HOST,
                "path-prefix": "/items/",
                "service": "items-app",
                "kind": "safe",
                "max-attempts": 2,
                "timeout-ms": 3000,
                "target-latency-ms": 300,
                "priority": 1,
            }
        ],
        "services": [{"name": "items-app", "health-path": "/healthz", "slots": 8}],
        "tenants": [
            {
                "name": "dealer",
                "api-keys": [KEY],
                "rate-per-s": RATE_PER_S,
                "burst": BURST,
                "unit": "token_count",
                "plain-tokens": 200,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
    if not await world.start(config):
        return 2
    tasks: set[asyncio.Task[None]] = set()
    end_s = world.record.now_s() + WARM_S + AFTER_S
    silent_s = world.record.now_s() + WARM_S
    number = 0
    while world.record.now_s() < end_s:
        number += 1
        if has_trouble() and world.record.now_s() >= silent_s:
            silent_s = float("inf")
            world.silence_links()
        task = asyncio.create_task(ask(world.machines[number % MACHINES]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    waiting = [link.unread_bytes() for link in world.links.values()]
    world.record.write(f"bytes unread on one connection between machines, at most: {max(waiting)}")
    for link in world.links.values():
        link.close()
    await asyncio.sleep(0.1)
    return judge()


def judge() -> int:
    """Apply the rule to what the engines saw."""
    world.record.write(f"answers by status: {served}")
    if len(runs) < 100:
        return 2
    most, at_s = 0, 0.0
    window: deque[tuple[float, float]] = deque()
    for item in sorted(runs):
        window.append(item)
        while item[0] - window[0][0] > WINDOW_S:
            window.popleft()
        # Both the sending and the arrival lie in the window.
        used = TOKENS * sum(1 for _, ran_s in window if ran_s - window[0][0] <= WINDOW_S)
        if used > most:
            most, at_s = used, window[0][0]
    world.record.write(
        f"at most {most} tokens were sent and run in {WINDOW_S} s, from {at_s:.3f}; "
        f"allowed {ALLOWED:.0f}"
    )
    return 1 if most > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(world.play(main))
