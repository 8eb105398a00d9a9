"""Filter: a node without a current configuration admits no request."""

from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft


@request_filter(Stage.HEAD, order=0)
def check_ready(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Refuse while the node is not ready."""
    return None if context.is_ready else FilterRefusal(RefusalReason.NOT_READY)
