"""Filters: the limit on the body's size, before and after it is read, and the fingerprint."""

import hashlib

from ..ids import Fingerprint
from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

FINGERPRINT_BYTES = 16


@request_filter(Stage.HEAD, order=25)
def limit_body_size(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Refuse a ``Content-Length`` above the service's limit before the body is read."""
    draft.max_body_bytes = draft.service_document.limits.max_body_bytes
    text = draft.single_value("content-length")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        draft.add_finding("content-length", "allowed: a whole number of bytes")
        return None
    # A number with more than 18 digits exceeds any limit, so it is not converted.
    if len(text) > 18 or int(text) > draft.max_body_bytes:
        return FilterRefusal(RefusalReason.TOO_LARGE)
    return None


@request_filter(Stage.BODY, order=0)
def check_body_size(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Refuse a body above the limit, such as one sent with chunked encoding."""
    if len(draft.body) > draft.max_body_bytes:
        return FilterRefusal(RefusalReason.TOO_LARGE)
    return None


@request_filter(Stage.BODY, order=10)
def compute_fingerprint(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Hash what the upstream would run, so that a resend of it is recognized."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (draft.service_document.service, draft.head.method, draft.path):
        digest.update(part.encode() + b"\0")
    digest.update(draft.body)
    draft.fingerprint = Fingerprint(digest.hexdigest())
    return None
