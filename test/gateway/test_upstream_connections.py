"""Tests of the kept connections to upstreams that come and go."""

import trio
from gateway_samples import listing
from trio.testing import MockClock

from lentilchute.gateway.fleet import Fleet
from lentilchute.gateway.upstream_connections import SWEEP_INTERVAL_S, UpstreamConnections


def test_a_pause_of_the_process_during_a_sweep_does_not_end_the_node() -> None:
    """Guards against a sweep that removes a client which the end of a pause has removed meanwhile:
    the error ended the whole process."""

    async def main() -> None:
        connections, fleet = UpstreamConnections(), Fleet()
        staying, gone = listing("a"), listing("b")
        fleet.replace([staying], 0.0, after_outage=False)
        # The sweep awaits while it closes what has expired; the pause ends meanwhile.
        connections.client(staying).close_expired = connections.close_idle  # type: ignore[method-assign]
        connections.client(gone)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connections.run, fleet)
            await trio.sleep(2.5 * SWEEP_INTERVAL_S)
            kept = connections.client(staying)
            await trio.sleep(SWEEP_INTERVAL_S)
            assert connections.client(staying) is kept, "the sweep goes on and keeps what is listed"
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
