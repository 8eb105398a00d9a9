"""The admission filters that each request passes before an upstream is chosen for it."""

from collections.abc import Callable

from ..http.messages import header_value
from ..platform.endpoints import path_of
from .calls import Call, CallRefusal, RefusalCause
from .context import GatewayContext
from .crash_guard import fingerprint

CONFIG_RETRY_AFTER_S = 0.5
"""A starting node loads its configuration within about this time."""
STOPPING_RETRY_AFTER_S = 0.05
"""Other nodes accept the request at once."""
CRASHES_UPSTREAMS_RETRY_AFTER_S = 5.0
"""A request that crashes upstreams is blocked for much longer; this only throttles its caller."""

Filter = Callable[[Call, GatewayContext, float], CallRefusal | None]

_filters: list[Filter] = []


def admission_filter(step: Filter) -> Filter:
    """Register a filter; filters run in registration order."""
    _filters.append(step)
    return step


def admit(call: Call, context: GatewayContext, now_s: float) -> CallRefusal | None:
    """Run the filters and return the first refusal, or ``None``."""
    for step in _filters:
        refusal = step(call, context, now_s)
        if refusal is not None:
            return refusal
    return None


def refusal_of_stop() -> CallRefusal:
    """Return the refusal of a request that a node which stops does not take."""
    return CallRefusal(RefusalCause.STOPPING, STOPPING_RETRY_AFTER_S)


def refuse_if_crashing(call: Call, context: GatewayContext, now_s: float) -> CallRefusal | None:
    """Refuse a request that, or a part of whose prompt, is known to crash upstreams."""
    parts = call.headers.shared_prompt_parts
    is_crashing = context.prompt_part_guard.blocked_part(parts, now_s) is not None
    if call.fingerprint is not None:
        is_crashing = is_crashing or context.crash_guard.is_refused(call.fingerprint, now_s)
    if not is_crashing:
        return None
    return CallRefusal(RefusalCause.CRASHES_UPSTREAMS, CRASHES_UPSTREAMS_RETRY_AFTER_S)


@admission_filter
def _check_stopping(_call: Call, context: GatewayContext, now_s: float) -> CallRefusal | None:
    if context.stop is not None and now_s >= context.stop.refuses_after_s:
        return refusal_of_stop()
    return None


@admission_filter
def _attach_configuration(call: Call, context: GatewayContext, _now_s: float) -> CallRefusal | None:
    if context.config is None or not context.fleet.is_known:
        return CallRefusal(RefusalCause.NO_CONFIGURATION, CONFIG_RETRY_AFTER_S)
    call.config = context.config
    return None


@admission_filter
def _find_route(call: Call, context: GatewayContext, _now_s: float) -> CallRefusal | None:
    assert call.config is not None
    host = header_value(call.request.headers, "host") or ""
    call.route = call.config.match(host, path_of(call.request.path))
    if call.route is None:
        return CallRefusal(RefusalCause.NO_ROUTE)
    call.service = call.route.draw_service(context.rng)
    return None


@admission_filter
def _find_account(call: Call, _context: GatewayContext, _now_s: float) -> CallRefusal | None:
    assert call.config is not None and call.route is not None
    call.account = call.config.account_of_key(call.headers.account_key)
    if call.account is None and call.config.needs_key and not call.route.is_public:
        return CallRefusal(RefusalCause.UNKNOWN_KEY)
    if call.route.is_public:
        call.account = None
    return None


@admission_filter
def _check_crash_guard(call: Call, context: GatewayContext, now_s: float) -> CallRefusal | None:
    request = call.request
    key = call.headers.account_key or ""
    call.fingerprint = fingerprint(request.method, request.path, key, request.body)
    return refuse_if_crashing(call, context, now_s)


@admission_filter
def _compute_cost(call: Call, _context: GatewayContext, _now_s: float) -> CallRefusal | None:
    if call.account is not None:
        headers = call.headers
        tokens = headers.prompt_tokens + headers.max_output_tokens
        call.cost = call.account.request_cost(tokens if headers.has_token_counts else None)
    return None
