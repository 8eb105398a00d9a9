"""Filter: the tier, from ``Lentilchute-Tier``; the lowest tier when it is absent."""

from ..ids import Tier
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

TIER_HEADER = "lentilchute-tier"


@request_filter(Stage.HEAD, order=30)
def find_tier(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Find the tier's rank and check that the account may ask for it."""
    document = draft.in_service
    draft.tier = Tier(len(document.tiers) - 1)
    name = draft.single(TIER_HEADER)
    if name is None:
        return None
    rank = document.tier_rank(name)
    if rank is None:
        allowed = ", ".join(tier.name for tier in document.tiers)
        draft.find(TIER_HEADER, f"names no tier of this service; allowed: {allowed}")
        return None
    draft.tier = rank
    _check_highest(draft)
    return None


def _check_highest(draft: RequestDraft) -> None:
    highest = draft.account.highest_tier if draft.account else None
    highest_rank = draft.in_service.tier_rank(highest) if highest else None
    if highest_rank is not None and draft.tier < highest_rank:
        draft.find(TIER_HEADER, f"the highest tier of this client account is {highest}")
