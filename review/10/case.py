"""A request that crashes engines comes again while all nodes are restarted in turn."""

import asyncio
import os
import signal
import time

from deployment import KEY, READING, Deployment, config, route, tenant
from runner import run_case

NODES = 6
CONTACT_S = 3.0
CALM_S = 4.0
"""After a node is ready, before the request comes to it; longer than ``contact-ms``."""
RETRIES_ALLOWED = 3
POISON = "/views/poison"
ROUTES = [route("r-views", "/views/", "safe", READING, **{"max-attempts": 2})]


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Send the request to each node in turn, right after its restart."""
    deployment.store.put("op", "config", config(3, ROUTES, [tenant("alpha", [KEY])]))
    engines = await deployment.add_engines(READING, 5)
    for engine in engines:
        engine.crashes_on = POISON
    nodes = await deployment.start_nodes(NODES)
    await asyncio.sleep(6.0)
    sending = deployment.clients.start_sending(10.0, "GET", "/views/1", KEY, "")
    await asyncio.sleep(2.0)
    sent: dict[str, float] = {}

    async def come(number: int) -> None:
        before = len(deployment.runs)
        sent_s = time.monotonic()
        answer = await deployment.clients.send("GET", POISON, KEY, address=nodes[number].front)
        sent[deployment.clients.tried[-1].attempt] = sent_s
        ran = [run.engine for run in deployment.runs[before:] if run.target == POISON]
        deployment.note(f"the request at {nodes[number].name}: {answer.status}, crashed {ran}")

    await come(0)
    await asyncio.sleep(CALM_S)
    for number, node in enumerate(nodes):
        if trouble:
            node.send(signal.SIGTERM)
            await node.wait_end()
            node.start()
            if not await node.wait_ready():
                return ["RECOVER the node was not ready again"]
            deployment.note(f"{node.name} was stopped and started")
        await asyncio.sleep(CALM_S)
        await come(number)
    sending.cancel()
    crashes = [run for run in deployment.runs if run.target == POISON]
    deployment.note(f"{len(crashes)} crashes by one request")
    usual = [item.status for item in deployment.clients.tried if item.target != POISON]
    counts = {status: usual.count(status) for status in sorted(set(usual))}
    deployment.note(f"answers to the usual requests by status: {counts}")
    if len(crashes) < 3:
        return []
    late_s = crashes[2].at_s + CONTACT_S
    late = {run.attempt for run in crashes if sent.get(run.attempt, 0.0) > late_s}
    text = f"BUDGET {len(late)} retries reached engines later than {CONTACT_S} s after the third"
    return [f"{text} crash, {RETRIES_ALLOWED} allowed"] if len(late) > RETRIES_ALLOWED else []


run_case(play, os.getcwd())
