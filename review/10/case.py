"""A configuration that lacks a tenant by mistake, and the next one that has it again."""

import asyncio
import os
import time

from deployment import DRAFTING, KEY, OTHER_KEY, Deployment, config, route, tenant
from nodes import BOUNDS
from runner import run_case

RATE_PER_S, BURST = 60_000, 60_000
TOKENS = "6000,400"
DEMAND_PER_S = 39.0
"""4.16 times the tenant's rate, which is 7.5 times its usual where the quota is 1.8 times that."""
SETTLED_S = 10.0
"""A window and a little more after the start of the nodes."""
REMOVED_AFTER_S = 3.0
RESTORED_AFTER_S = 2.5
WATCHED_S = 12.0


def most_in_a_window(deployment: Deployment) -> float:
    """Return the most tokens of the tenant that ran in any window."""
    runs = sorted((run.at_s, run.tokens) for run in deployment.runs if run.tenant == "alpha")
    best, total, first = 0, 0, 0
    for run_s, tokens in runs:
        total += tokens
        while runs[first][0] < run_s - float(BOUNDS["quota-window-s"]):
            total -= runs[first][1]
            first += 1
        best = max(best, total)
    return best


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Send more than a quota allows while the tenant goes from the configuration and returns."""
    routes = [route("r-draft", "/draft/", "streaming", DRAFTING, **{"gap-target-ms": 400})]
    alpha = tenant("alpha", [KEY], RATE_PER_S, BURST)
    beta = tenant("beta", [OTHER_KEY], RATE_PER_S, BURST)
    deployment.store.put("op", "config", config(3, routes, [alpha, beta]))
    await deployment.add_engines(DRAFTING, 4, events=4, slots=12)
    await deployment.start_nodes(3)
    await asyncio.sleep(SETTLED_S)
    began_s = time.monotonic()
    deployment.note("the tenant begins to send")
    sending = deployment.clients.start_sending(DEMAND_PER_S, "POST", "/draft/1", KEY, TOKENS)
    await asyncio.sleep(REMOVED_AFTER_S)
    if trouble:
        deployment.store.put("op", "config", config(5, routes, [beta]))
        deployment.note("configuration 5, without the tenant, acknowledged")
        await asyncio.sleep(RESTORED_AFTER_S)
        deployment.store.put("op", "config", config(6, routes, [alpha, beta]))
        deployment.note("configuration 6, with the tenant as before, acknowledged")
    await asyncio.sleep(WATCHED_S)
    sending.cancel()
    statuses = [item.status for item in deployment.clients.tried]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    deployment.note(f"answers by status: {counts}")
    for second in range(int(time.monotonic() - began_s)):
        low_s = began_s + second
        ran = sum(run.tokens for run in deployment.runs if low_s <= run.at_s < low_s + 1)
        deployment.note(f"second {second} after the beginning: {ran} tokens ran")
    quota = RATE_PER_S * float(BOUNDS["quota-window-s"]) + BURST
    bound = quota * (1 + float(BOUNDS["quota-overrun"])) + float(BOUNDS["quota-slack"])
    most = most_in_a_window(deployment)
    deployment.note(f"most in a window: {most:.0f} tokens, bound {bound:.0f}")
    return [f"QUOTA {most:.0f} tokens in 8 s, bound {bound:.0f}"] if most > bound else []


run_case(play, os.getcwd())
