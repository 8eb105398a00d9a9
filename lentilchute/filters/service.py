"""Filter: the service and the path within it, from ``/services/{service}/{path}``."""

from ..ids import ServiceName
from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

SERVICE_PREFIX = "/services/"


@request_filter(Stage.HEAD, order=10)
def resolve_service(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Set the document of the service that the path names, and the path within it."""
    if not draft.head.path.startswith(SERVICE_PREFIX):
        return FilterRefusal(RefusalReason.UNKNOWN_SERVICE)
    name, slash, path = draft.head.path.removeprefix(SERVICE_PREFIX).partition("/")
    document = context.documents.get(ServiceName(name))
    if document is None or not slash:
        return FilterRefusal(RefusalReason.UNKNOWN_SERVICE)
    draft.document = document
    draft.path = slash + path
    return None
