"""Filters: the bound on the body, before and after it is read, and the content's fingerprint."""

import hashlib

from ..ids import Fingerprint
from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

FINGERPRINT_BYTES = 16


@request_filter(Stage.HEAD, order=25)
def limit_body_size(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Refuse an announced body above the service's bound before any of it is read."""
    draft.max_body_bytes = draft.service_document.limits.max_body_bytes
    text = draft.single_value("content-length")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        draft.add_finding("content-length", "allowed: a whole number of bytes")
        return None
    # A number with this many digits is too large in any case and need not be converted.
    if len(text) > 18 or int(text) > draft.max_body_bytes:
        return FilterRefusal(RefusalReason.TOO_LARGE)
    return None


@request_filter(Stage.BODY, order=0)
def check_body_size(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Refuse a body above the bound, such as one sent in chunks."""
    if len(draft.body) > draft.max_body_bytes:
        return FilterRefusal(RefusalReason.TOO_LARGE)
    return None


@request_filter(Stage.BODY, order=10)
def compute_fingerprint(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Digest what the upstream would run, so that a resend of it is known again."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (draft.service_document.service, draft.head.method, draft.path):
        digest.update(part.encode() + b"\0")
    digest.update(draft.body)
    draft.fingerprint = Fingerprint(digest.hexdigest())
    return None
