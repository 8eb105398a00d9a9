"""Switches of the scheduler's mechanisms, so that a measurement can turn each one off."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """The mechanisms in use; all of them in production."""

    tiers: bool = True
    """Order waiting tickets by tier and displace lower ones; else first come, first served."""
    reserve: bool = True
    """Keep room free for higher tiers."""
    adaptive_limits: bool = True
    """Adapt the bounds on outstanding work to the first-token time."""
    learned_rates: bool = True
    """Learn each upstream's rates; else use the document's initial rates."""
    decline_detection: bool = True
    """Send only probes to upstreams whose streams became slow."""
    prefix_affinity: bool = True
    """Prefer upstreams that hold a prompt's prefix."""
    fairness: bool = True
    """Share a tier between client accounts by weighted work."""
    deadline_refusal: bool = True
    """Refuse at once what cannot finish in time."""
    retry_spread: bool = True
    """Spread returns by the drain rate and by jitter."""
    suspects: bool = True
    """Run suspects of a crash one at a time and refuse condemned content."""


FULL_POLICY = Policy()
