"""The chain of filters that turns a caller's HTTP request into an accepted request.

``check_head`` runs before the body is read, so that a request refused by its head uses no memory
for its body. ``check_body`` runs on the complete body. Both are pure functions.
"""

from . import account, body, deadline, idempotency, model_call, readiness, service, tier
from .chain import check_body, check_head
from .draft import FilterContext, FilterRefusal, RequestDraft, RequestHead

__all__ = [
    "FilterContext",
    "FilterRefusal",
    "RequestDraft",
    "RequestHead",
    "account",
    "body",
    "check_body",
    "check_head",
    "deadline",
    "idempotency",
    "model_call",
    "readiness",
    "service",
    "tier",
]
