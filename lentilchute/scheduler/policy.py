"""Switches for the scheduler's mechanisms, so that measurements can disable each one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """The enabled mechanisms; production enables all of them."""

    tiers: bool = True
    """Order waiting tickets by tier and displace lower tiers; otherwise first in, first out."""
    reserve: bool = True
    """Reserve capacity for higher tiers."""
    adaptive_limits: bool = True
    """Adapt the limits on outstanding work to the first-token time."""
    learned_rates: bool = True
    """Learn each upstream's rates; otherwise use the initial rates of the service document."""
    decline_detection: bool = True
    """Send only probes to degraded upstreams."""
    prefix_affinity: bool = True
    """Prefer upstreams that have a prompt's prefix cached."""
    fairness: bool = True
    """Share a tier fairly between client accounts by weighted work."""
    deadline_refusal: bool = True
    """Refuse requests immediately that cannot meet their deadline."""
    retry_spread: bool = True
    """Spread retry-after times by the drain rate and jitter."""
    suspects: bool = True
    """Isolate the suspects of a crash from each other and refuse condemned content."""


FULL_POLICY = Policy()
