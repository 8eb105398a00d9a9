"""Faults of the soak. Each is registered by decorator, runs for its time and undoes itself."""

import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

import trio
from soak_proxy import LinkProxy, LinkState
from soak_world import SoakWorld

from lentilchute.standins.routed_upstream import UpstreamBehaviour
from lentilchute.standins.store import StoreFaultMode

MEAN_PAUSE_S = (0.5, 3.0)
"""Between faults; drawn for each run. Close together most overlap; far apart some nodes stay calm
for long enough to be held to their bounds."""
FAULT_S = (0.3, 3.0)
RESTART_GAP_S = 1.0
MIN_UPSTREAMS = 2
"""A service keeps this many; with none nothing can be shown."""

Fault = Callable[[SoakWorld, random.Random, float], Awaitable[None]]

_faults: dict[str, Fault] = {}


def soak_fault(fault: Fault) -> Fault:
    """Register a fault under its function's name."""
    _faults[fault.__name__] = fault
    return fault


async def inject_faults(world: SoakWorld, rng: random.Random, counts: Counter[str]) -> None:
    """Begin faults at random times until cancelled; those begun go on beside each other."""
    names = sorted(_faults)
    mean_pause_s = rng.uniform(*MEAN_PAUSE_S)
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(rng.expovariate(1 / mean_pause_s))
            name = rng.choice(names)
            counts[name] += 1
            # A generator of its own keeps a fault's draws apart from those of others beside it.
            own = random.Random(rng.getrandbits(64))
            nursery.start_soon(_faults[name], world, own, rng.uniform(*FAULT_S))


@soak_fault
async def kill_node(world: SoakWorld, rng: random.Random, _for_s: float) -> None:
    """Kill one process."""
    node = rng.choice(world.nodes)
    now_s = trio.current_time()
    world.records.trouble(node.name, now_s, now_s)
    node.kill()


@soak_fault
async def kill_all_nodes(world: SoakWorld, rng: random.Random, _for_s: float) -> None:
    """Kill all processes at once, now and then."""
    if rng.random() < 0.7:
        return
    now_s = trio.current_time()
    for node in world.nodes:
        world.records.trouble(node.name, now_s, now_s)
        node.kill()


@soak_fault
async def pause_node(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Stop a process by signal and let it go on."""
    node = rng.choice(world.nodes)
    now_s = trio.current_time()
    world.records.trouble(node.name, now_s, now_s + for_s)
    node.send(signal.SIGSTOP)
    await trio.sleep(for_s)
    node.send(signal.SIGCONT)


@soak_fault
async def stop_node(world: SoakWorld, rng: random.Random, _for_s: float) -> None:
    """Stop one process as planned; it is started again."""
    await rng.choice(world.nodes).stop()


@soak_fault
async def restart_in_turn(world: SoakWorld, _rng: random.Random, _for_s: float) -> None:
    """Stop all processes as planned, one after the other, without waiting for an end."""
    async with trio.open_nursery() as nursery:
        for node in world.nodes:
            nursery.start_soon(node.stop)
            await trio.sleep(RESTART_GAP_S)


@soak_fault
async def reload_settings(world: SoakWorld, rng: random.Random, _for_s: float) -> None:
    """Tell a process that its settings may have changed."""
    rng.choice(world.nodes).send(signal.SIGHUP)


@soak_fault
async def harm_store_link(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Harm one node's path to the store."""
    node = rng.choice(world.nodes)
    await _harm(world, node.store_link, node.name, rng, for_s)


@soak_fault
async def harm_peers_link(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Harm the path on which peers reach one node."""
    node = rng.choice(world.nodes)
    await _harm(world, node.peers_link, node.name, rng, for_s)


@soak_fault
async def harm_upstream_link(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Harm the path to one upstream."""
    upstream = rng.choice(sorted(world.upstreams.values(), key=lambda item: item.name))
    await _harm(world, upstream.proxy, upstream.name, rng, for_s)


@soak_fault
async def crash_upstream(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Crash an upstream; it comes back at its address as another run."""
    upstream = rng.choice(sorted(world.upstreams.values(), key=lambda item: item.name))
    now_s = trio.current_time()
    world.records.trouble(upstream.name, now_s, now_s + for_s)
    upstream.host.crash(for_s)
    await trio.sleep(for_s)
    if upstream.name in world.upstreams and upstream.state == "ready":
        upstream.started_ms += 1
        upstream.register(world.store.state)


@soak_fault
async def replace_upstream(world: SoakWorld, rng: random.Random, _for_s: float) -> None:
    """Have an upstream leave, with another one in its place."""
    staying = sorted(
        (item for item in world.upstreams.values() if item.state == "ready"),
        key=lambda item: item.name,
    )
    chosen = rng.choice(staying)
    if sum(item.service == chosen.service for item in staying) >= MIN_UPSTREAMS:
        await world.replace_upstream(chosen)


@soak_fault
async def spoil_answers(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Have an upstream lose, cut, silence, shed or mix up its answers for a while."""
    upstream = rng.choice(sorted(world.upstreams.values(), key=lambda item: item.name))
    now_s = trio.current_time()
    world.records.trouble(upstream.name, now_s, now_s + for_s)
    upstream.standin.behaviour = rng.choice(
        [
            UpstreamBehaviour(drops_answer=True),
            UpstreamBehaviour(aborts_after_event=rng.randint(1, 4)),
            UpstreamBehaviour(stalls_after_event=rng.randint(1, 4)),
            UpstreamBehaviour(sheds=True),
            UpstreamBehaviour(wrong_id=True),
            UpstreamBehaviour(omits_signature=True),
            UpstreamBehaviour(event_pause_s=0.1, plain_s=0.4),
            UpstreamBehaviour(status=500),
        ]
    )
    await trio.sleep(for_s)
    upstream.standin.behaviour = UpstreamBehaviour()


@soak_fault
async def change_config(world: SoakWorld, _rng: random.Random, _for_s: float) -> None:
    """Write the next version of the configuration."""
    world.change_config()


@soak_fault
async def harm_store(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Have the store refuse, fall silent or lose answers; or drop its history."""
    modes = [mode for mode in StoreFaultMode if mode is not StoreFaultMode.NONE]
    if rng.random() < 0.25:
        now_s = trio.current_time()
        world.records.trouble("store", now_s, now_s)
        world.store.state.compact()
        return
    await world.set_store_mode(rng.choice(modes), for_s)


async def _harm(
    world: SoakWorld, link: LinkProxy, owner: str, rng: random.Random, for_s: float
) -> None:
    now_s = trio.current_time()
    world.records.trouble(owner, now_s, now_s + for_s)
    if rng.random() < 0.25:
        link.reset_connections()
        return
    states = [state for state in LinkState if state is not LinkState.OPEN]
    link.set_state(rng.choice(states), rng.uniform(0.02, 0.3))
    await trio.sleep(for_s)
    link.set_state(LinkState.OPEN)
