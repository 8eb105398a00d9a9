"""What is compared: the baselines, the whole policy, and the policy with one mechanism off."""

from collections.abc import Callable
from dataclasses import fields

from ..scheduler.policy import Policy
from .baselines import DirectRouter, least_load, round_robin, two_choices
from .scheduled import ScheduledRouter
from .world import Router

BASELINES = ("round-robin", "least-load", "two-choices")
OURS = "policy"
ABLATIONS = tuple(f"no-{field.name.replace('_', '-')}" for field in fields(Policy))
VARIANTS = (*BASELINES, OURS, *ABLATIONS)

_CHOOSERS = {"round-robin": round_robin, "least-load": least_load, "two-choices": two_choices}


def router_for(variant: str, seed: int) -> Router:
    """Return a new router. Raises ``ValueError`` for an unknown variant."""
    if variant in _CHOOSERS:
        return DirectRouter(_CHOOSERS[variant], seed)
    if variant == OURS:
        return ScheduledRouter(Policy(), seed)
    if variant not in ABLATIONS:
        raise ValueError(f"unknown variant {variant}")
    switch = variant.removeprefix("no-").replace("-", "_")
    make: Callable[..., Policy] = Policy
    return ScheduledRouter(make(**{switch: False}), seed)
