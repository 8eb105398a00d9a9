"""Filter: the client account, from the bearer key's digest."""

import hashlib

from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

BEARER_PREFIX = "bearer "


@request_filter(Stage.HEAD, order=20)
def authenticate_account(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Find the account whose key the caller holds; the key itself is kept nowhere."""
    values = draft.head.values("authorization")
    if len(values) != 1 or not values[0].lower().startswith(BEARER_PREFIX):
        return FilterRefusal(RefusalReason.UNKNOWN_ACCOUNT)
    key = values[0][len(BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    draft.account = draft.service_document.account_by_key_digest(digest)
    return None if draft.account else FilterRefusal(RefusalReason.UNKNOWN_ACCOUNT)
