"""The compared variants: baselines, the full policy, and the policy without one mechanism."""

from collections.abc import Callable
from dataclasses import fields

from ..scheduler.policy import Policy
from .baseline_routers import DirectRouter, least_load, round_robin, two_choices
from .scheduled_router import ScheduledRouter
from .simulation import Router

BASELINES = ("round-robin", "least-load", "two-choices")
POLICY_VARIANT = "policy"
ABLATIONS = tuple(f"no-{field.name.replace('_', '-')}" for field in fields(Policy))
VARIANTS = (*BASELINES, POLICY_VARIANT, *ABLATIONS)

_CHOOSERS = {"round-robin": round_robin, "least-load": least_load, "two-choices": two_choices}


def create_router(variant: str, seed: int) -> Router:
    """Return a new router for a variant. Raises ``ValueError`` for an unknown variant."""
    if variant in _CHOOSERS:
        return DirectRouter(_CHOOSERS[variant], seed)
    if variant == POLICY_VARIANT:
        return ScheduledRouter(Policy(), seed)
    if variant not in ABLATIONS:
        raise ValueError(f"unknown variant {variant}")
    field_name = variant.removeprefix("no-").replace("-", "_")
    create_policy: Callable[..., Policy] = Policy
    return ScheduledRouter(create_policy(**{field_name: False}), seed)
