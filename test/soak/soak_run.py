"""One run of the soak: calls under faults, then recovery without faults, then the checks."""

import itertools
import random
import signal
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType

import trio
from soak_builds import Build, BuildWalk
from soak_callers import Caller
from soak_checks import find_violations
from soak_faults import inject_faults, release_while_cut_off
from soak_nodes import EXIT_MARGIN_S, POLL_S, RESTART_S, STOP_GRACE_S
from soak_orders import ORDER_SETTINGS, give_orders, note_state
from soak_records import CallEnd
from soak_unruly import MEMORY_SETTINGS, press_nodes
from soak_world import SoakWorld

from lentilchute.node_context import wait_until

STARTUP_S = 4.0
"""Time for processes to import their libraries and discover each other."""
BACK_WITHIN_S = STOP_GRACE_S + EXIT_MARGIN_S + RESTART_S + POLL_S
"""How soon a node that was asked to stop by the last fault has ended and started again."""
RECOVERY_S = 6.0
"""Time without new faults, from when all processes are back (platform).

Longer than any fault, a start and the time until peers are confirmed alive.
"""
SERVED_WINDOW_S = 2.0
"""Service must have recovered for this last part of the recovery time."""
MIN_SERVED_SHARE = 0.25
"""Share of the calls in that part that must be served; set by the platform."""
CALLERS = 6
SCENARIOS = {
    "orders": give_orders,
    "releases": release_while_cut_off,
    "unruly": press_nodes,
}
"""What may go on beside the faults that are drawn."""


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a run."""

    seed: int
    calls: Counter[str]
    faults: Counter[str]
    starts: Counter[str]
    findings: list[str]
    orders: dict[str, str]
    """What became of the orders, by version."""

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.calls.items()))
        faults = ", ".join(f"{name} {count}" for name, count in sorted(self.faults.items()))
        starts = ", ".join(f"{name} {count}" for name, count in sorted(self.starts.items()))
        orders = "".join(f"; {version} {state}" for version, state in self.orders.items())
        return [
            f"seed {self.seed}: {sum(self.calls.values())} calls ({counts}); faults: {faults}; "
            f"starts: {starts}{orders}",
            *(f"seed {self.seed}: BROKEN {finding}" for finding in self.findings),
        ]


def run_soak(
    seed: int,
    seconds: float,
    nodes: int,
    directory: Path,
    earlier: Build | None = None,
    pinned: Mapping[str, Build] = MappingProxyType({}),
    also: Sequence[str] = (),
) -> SoakReport:
    """Run one soak; the nodes' settings and logs are written to ``directory``.

    Each start of a node that is not ``pinned`` draws between the present build and ``earlier``.
    ``also`` names ``SCENARIOS``; with orders, both builds must know the settings for roll-outs.
    """
    # A generator of its own leaves the faults of a seed as they were.
    builds = BuildWalk(random.Random(f"builds-{seed}"), earlier, pinned)
    if "orders" in also:
        builds.settings = {**builds.settings, **ORDER_SETTINGS}
    if "unruly" in also:
        builds.settings = {**builds.settings, **MEMORY_SETTINGS}
    return trio.run(_run, seed, seconds, nodes, directory, builds, also)


async def _run(
    seed: int,
    seconds: float,
    nodes: int,
    directory: Path,
    builds: BuildWalk,
    also: Sequence[str],
) -> SoakReport:
    rng = random.Random(seed)
    faults: Counter[str] = Counter()
    async with trio.open_nursery() as nursery:
        world = SoakWorld(nursery, directory, nodes, builds)
        try:
            await world.start()
            await trio.sleep(STARTUP_S)
            numbers = itertools.count(1)
            async with trio.open_nursery() as callers:
                for _ in range(CALLERS):
                    caller_rng = random.Random(rng.getrandbits(64))
                    callers.start_soon(Caller(world.nodes, world.records, caller_rng, numbers).run)
                callers.start_soon(_walk, builds, seconds)
                for name in also:
                    callers.start_soon(SCENARIOS[name], world, random.Random(f"{name}-{seed}"))
                with trio.move_on_after(seconds):
                    await inject_faults(world, rng, faults)
                await _check_recovery(world)
                callers.cancel_scope.cancel()
            await _stop_all(world)
        finally:
            for node in world.nodes:
                node.finish()
        nursery.cancel_scope.cancel()
    note_state(world)
    findings = find_violations(world.records, world.limits)
    ends = Counter(
        call.end.value if call.status is None else f"{call.end.value} {call.status}"
        for call in world.records.calls.values()
    )
    states = {
        f"{order.version} in {order.duration_s:.0f} s": order.state
        for order in world.records.orders
    }
    return SoakReport(seed, ends, faults, world.records.starts, findings, states)


async def _walk(builds: BuildWalk, seconds: float) -> None:
    """Move the walk over the builds on while the faults go on."""
    started_s = trio.current_time()
    while builds.progress < 1:
        await trio.sleep(POLL_S)
        builds.progress = min(1.0, (trio.current_time() - started_s) / seconds)


async def _check_recovery(world: SoakWorld) -> None:
    """Clear the faults that are left, wait, and check that service has recovered."""
    world.undo_faults()
    with trio.move_on_after(BACK_WITHIN_S) as scope:
        await wait_until(lambda: all(node.is_back for node in world.nodes), POLL_S)
    if scope.cancelled_caught:
        missing = [node.name for node in world.nodes if not node.is_back]
        world.records.problems.append(f"{missing} were not back after {BACK_WITHIN_S:.1f} s")
    await trio.sleep(RECOVERY_S)
    since_s = trio.current_time() - SERVED_WINDOW_S
    ends = [call.end for call in world.records.calls.values() if call.ended_s >= since_s]
    statuses = Counter(
        call.status
        for call in world.records.calls.values()
        if call.ended_s >= since_s and call.end is CallEnd.COMPLETE
    )
    if not ends or statuses[200] < MIN_SERVED_SHARE * len(ends):
        world.records.problems.append(
            f"{statuses[200]} of {len(ends)} calls served after the last fault"
        )


async def _stop_all(world: SoakWorld) -> None:
    """Stop all nodes as planned, at the same time."""
    for node in world.nodes:
        node.send(signal.SIGCONT)
    async with trio.open_nursery() as nursery:
        for node in world.nodes:
            nursery.start_soon(node.stop)
