"""A request that crashes engines comes again, and each time reaches the engine that is fastest."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import (
    CONTACT_S,
    Engine,
    Machine,
    Request,
    World,
    call,
    has_trouble,
    new_id,
)

FOLDER = Path(__file__).resolve().parent
HOST = "shop.example"
KEY = "k7f3a9"
MACHINES = 3
RETRIES = 8
PAUSE_S = 4.0
"""Time between two client attempts: the engine is back by then."""
POISON = "/items/lot-1187"
BACK_AFTER_S = 2.0
"""Engines are back some seconds after a crash."""
ALLOWED = 3
WORK_S = {"till-1": 0.02, "till-2": 0.12, "till-3": 0.12}
"""Engines of one service differ in speed."""

world = World(FOLDER, MACHINES)
poisoned: list[tuple[float, str, str]] = []
"""Time, attempt and engine of each run of the request that crashes engines."""


async def run(engine: Engine, request: Request, writer: asyncio.StreamWriter) -> None:
    """Run one request at an engine."""
    attempt = request.headers["lentilchute-attempt-id"]
    world.record.write(f"{engine.name} runs {attempt} {request.target}")
    if request.target == POISON and has_trouble():
        poisoned.append((world.record.now_s(), attempt, engine.name))
        await asyncio.sleep(0.02)
        if engine.is_up:
            engine.crash()
            asyncio.get_running_loop().call_later(
                BACK_AFTER_S, lambda: asyncio.ensure_future(engine.start())
            )
        return
    await asyncio.sleep(WORK_S[engine.name])
    await engine.answer(writer, 200, attempt, b"x" * 800)


async def ask(machine: Machine, path: str) -> int:
    """Send one client attempt to a machine."""
    attempt = new_id()
    headers = {
        "Host": HOST,
        "Lentilchute-Attempt-Id": attempt,
        "Lentilchute-Deadline-Ms": "4000",
        "Lentilchute-Key": KEY,
    }
    if path == POISON:
        touch = "in touch" if machine.is_in_touch() else "not in touch"
        world.record.write(f"client sends {attempt} {path} to {machine.name}, {touch}")
        in_touch[attempt] = machine.is_in_touch()
    body = b'{"lot": "' + path.encode() + b'"}'
    answer = await call(machine.front, "POST", path, headers, body, timeout_s=4.0)
    if path == POISON:
        world.record.write(f"client gets {answer.status} {answer.error} for {attempt}")
    return answer.status


in_touch: dict[str, bool] = {}
served: dict[int, int] = {}


async def usual() -> None:
    """Send usual requests to ready machines, ten a second."""
    number = 0
    while True:
        number += 1
        machine = world.machines[number % MACHINES]
        if machine.is_in_touch():
            task = asyncio.create_task(ask(machine, f"/items/{number}"))
            task.add_done_callback(lambda done: done.cancelled() or count(done.result()))
        await asyncio.sleep(0.1)


def count(status: int) -> None:
    """Count an answer to a usual request."""
    served[status] = served.get(status, 0) + 1


async def main() -> int:
    """Play the case; return the exit code of the script."""
    for number in range(1, 4):
        world.engine(f"till-{number}", "items-app", run)
    config = {
        "version": 3,
        "routes": [
            {
                "name": "items",
                "host": HOST,
                "path-prefix": "/items/",
                "service": "items-app",
                "kind": "unsafe",
                "max-attempts": 1,
                "timeout-ms": 4000,
                "target-latency-ms": 300,
                "priority": 1,
            }
        ],
        "services": [{"name": "items-app", "health-path": "/healthz", "slots": 8}],
        "tenants": [
            {
                "name": "dealer",
                "api-keys": [KEY],
                "rate-per-s": 0,
                "burst": 0,
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
    task = asyncio.create_task(usual())
    await asyncio.sleep(6.0)
    for number in range(RETRIES + 1):
        await ask(world.machines[number % MACHINES], POISON)
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(1.0)
    task.cancel()
    return judge()


def judge() -> int:
    """Apply the rule to what the engines saw."""
    world.record.write(f"usual requests by status: {served}")
    if served.get(200, 0) < 0.9 * sum(served.values()):
        return 2
    if len(poisoned) < 3:
        world.record.write(f"{len(poisoned)} runs of {POISON} in all: the rule is kept")
        return 0
    third_s = poisoned[2][0]
    later = [
        item for item in poisoned if item[0] > third_s + CONTACT_S and in_touch.get(item[1], False)
    ]
    retries = {attempt for _, attempt, _ in later}
    world.record.write(
        f"{len(poisoned)} engines crashed; later than {CONTACT_S} s after the third crash, "
        f"{len(retries)} retries by machines in touch reached {len(later)} engines; "
        f"allowed {ALLOWED}"
    )
    return 1 if len(retries) > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(world.play(main))
