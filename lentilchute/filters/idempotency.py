"""Filter: whether the request is idempotent, and its idempotency key."""

from ..ids import IdempotencyKey
from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255


@request_filter(Stage.HEAD, order=50)
def read_idempotency_key(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Read the key; it is required if the document declares the request not idempotent."""
    path = draft.path.partition("?")[0]
    draft.idempotent = draft.service_document.is_idempotent(draft.head.method, path)
    key = draft.single_value(KEY_HEADER)
    if key is not None and not _is_valid_key(key):
        draft.add_finding(KEY_HEADER, f"allowed: 1 to {MAX_KEY_LENGTH} printable ASCII characters")
        return None
    draft.idempotency_key = IdempotencyKey(key) if key is not None else None
    if draft.idempotent or key is not None:
        return None
    # With other findings, report the missing key among them, so that the caller sees all at once.
    if draft.findings:
        draft.add_finding(KEY_HEADER, "is required, since this call is not idempotent")
        return None
    return FilterRefusal(RefusalReason.KEY_REQUIRED)


def _is_valid_key(key: str) -> bool:
    return 0 < len(key) <= MAX_KEY_LENGTH and key.isascii() and key.isprintable()
