"""Filter: the deadline, from ``Lentilchute-Deadline-S`` in seconds from now."""

import math

from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

DEADLINE_HEADER = "lentilchute-deadline-s"


@request_filter(Stage.HEAD, order=40)
def read_deadline(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Set the deadline that the caller requested, or the tier's default."""
    tier = draft.service_document.tiers[draft.tier]
    draft.deadline_s = context.now_s + tier.default_deadline_s
    text = draft.single_value(DEADLINE_HEADER)
    if text is None:
        return None
    requested_s = _seconds(text)
    if not 0 < requested_s <= tier.max_deadline_s:
        allowed = f"allowed: seconds above 0 and up to {tier.max_deadline_s:g}"
        draft.add_finding(DEADLINE_HEADER, f"is not a time that tier {tier.name} allows; {allowed}")
        return None
    draft.deadline_s = context.now_s + requested_s
    return None


def _seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan
