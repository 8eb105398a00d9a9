"""Times that the periodic work of a process has in common.

A process that does nothing else spends its time on waking up: work that is due at the same time is
done in one pass of the event loop. Intervals are multiples of a quarter of a second.
"""

import math

import trio


def next_tick_s(interval_s: float) -> float:
    """Return the next whole multiple of an interval on the process's clock."""
    return (math.floor(trio.current_time() / interval_s) + 1) * interval_s


async def sleep_to_tick(interval_s: float) -> None:
    """Sleep until that time, which is at most ``interval_s`` away."""
    await trio.sleep_until(next_tick_s(interval_s))
