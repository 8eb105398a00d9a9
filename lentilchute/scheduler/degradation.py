"""Detects upstreams that became slow, by comparing their decode rates.

A slow upstream reports no error. It counts as degraded when its decode rate is below half of the
median for the same hardware, or fell to less than half of its long-term rate while the rates
of the others did not. It then gets a few streams of lower tiers as probes until it has recovered.
Operators see such an upstream as declined.
"""

from collections import defaultdict
from statistics import median

from .upstream_load import UpstreamLoad

DEGRADED_FRACTION = 0.5
RECOVERED_FRACTION = 0.7
"""Hysteresis: above ``DEGRADED_FRACTION``, so that a rate near it does not toggle the mark."""


def mark_degraded(loads: list[UpstreamLoad]) -> None:
    """Compare all upstreams and mark them as degraded or recovered."""
    open_loads = [load for load in loads if load.accepts_work]
    if len(open_loads) < 2:
        for load in open_loads:
            load.is_degraded = False
        return
    peers = _median_by_hardware(open_loads)
    trend = median(load.rates.decode_trend for load in open_loads)
    for load in open_loads:
        fraction = load.rates.decode_tokens_per_s / peers[_hardware(load)]
        _mark(load, min(fraction, load.rates.decode_trend / trend))


def _mark(load: UpstreamLoad, fraction: float) -> None:
    if fraction < DEGRADED_FRACTION:
        load.is_degraded = True
    elif fraction > RECOVERED_FRACTION:
        load.is_degraded = False


def _hardware(load: UpstreamLoad) -> str:
    assert load.group is not None
    return load.group.hardware


def _median_by_hardware(loads: list[UpstreamLoad]) -> dict[str, float]:
    rates: dict[str, list[float]] = defaultdict(list)
    for load in loads:
        rates[_hardware(load)].append(load.rates.decode_tokens_per_s)
    return {hardware: median(of_hardware) for hardware, of_hardware in rates.items()}
