"""Filter: the client account, looked up by the digest of the bearer key."""

import hashlib

from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

BEARER_PREFIX = "bearer "


@request_filter(Stage.HEAD, order=20)
def authenticate_account(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Set the account that the caller's key belongs to; the key itself is not stored."""
    values = draft.head.values("authorization")
    if len(values) != 1 or not values[0].lower().startswith(BEARER_PREFIX):
        return FilterRefusal(RefusalReason.UNKNOWN_ACCOUNT)
    key = values[0][len(BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    draft.account = draft.service_document.account_by_key_digest(digest)
    return None if draft.account else FilterRefusal(RefusalReason.UNKNOWN_ACCOUNT)
