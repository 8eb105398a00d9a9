"""Filter: the tier, from ``Lentilchute-Tier``; the lowest tier if the header is absent."""

from ..ids import Tier
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

TIER_HEADER = "lentilchute-tier"


@request_filter(Stage.HEAD, order=30)
def read_tier(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Set the tier's rank and check that the account may use it."""
    document = draft.service_document
    draft.tier = Tier(len(document.tiers) - 1)
    name = draft.single_value(TIER_HEADER)
    if name is None:
        return None
    rank = document.tier_rank(name)
    if rank is None:
        allowed = ", ".join(tier.name for tier in document.tiers)
        draft.add_finding(TIER_HEADER, f"is not a tier of this service; allowed: {allowed}")
        return None
    draft.tier = rank
    _check_highest_tier(draft)
    return None


def _check_highest_tier(draft: RequestDraft) -> None:
    highest = draft.account.highest_tier if draft.account else None
    highest_rank = draft.service_document.tier_rank(highest) if highest else None
    if highest_rank is not None and draft.tier < highest_rank:
        draft.add_finding(TIER_HEADER, f"the highest tier of this client account is {highest}")
