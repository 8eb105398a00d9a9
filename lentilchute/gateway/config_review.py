"""Finds entries of a configuration that can never act, and limits that contradict each other.

Each check is registered by a decorator and looks at a configuration that nodes accept::

    for remark in review_config(config, ReviewBounds(quota_window_s=8.0)):
        print(remark.path, remark.message)
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from .routes import RequestKind, Route, RoutingConfig

FieldPath = tuple[str | int, ...]


class RemarkKind(Enum):
    """What is wrong with an entry."""

    ERROR = "error"
    """Nodes reject the configuration, or read the entry otherwise than it is written."""
    NEVER_USED = "never used"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True, slots=True)
class Remark:
    """A remark on one field; ``path`` names fields of ``RoutingConfig``, with positions in lists
    and the names of services."""

    kind: RemarkKind
    path: FieldPath
    message: str


@dataclass(frozen=True, slots=True)
class ReviewBounds:
    """What a configuration is checked against that it does not hold itself."""

    quota_window_s: float
    """Any window of this length has room for the rate times its length, plus the burst."""
    deadline_s: float | None = None
    """The longest that callers wait, if it is known."""


Check = Callable[[RoutingConfig, ReviewBounds], Iterator[Remark]]

_checks: list[Check] = []


def config_check(check: Check) -> Check:
    """Register a check."""
    _checks.append(check)
    return check


def review_config(config: RoutingConfig, bounds: ReviewBounds) -> list[Remark]:
    """Return the remarks of all checks."""
    return [remark for check in _checks for remark in check(config, bounds)]


@config_check
def _hidden_routes(config: RoutingConfig, _bounds: ReviewBounds) -> Iterator[Remark]:
    first_by_match: dict[tuple[str, str], Route] = {}
    for index, route in enumerate(config.routes):
        first = first_by_match.setdefault((route.host, route.path_prefix), route)
        if first is not route:
            message = f"route {first.name} has the same host and prefix, and comes first"
            yield Remark(RemarkKind.NEVER_USED, ("routes", index, "path_prefix"), message)
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            message = "a prefix begins and ends with a slash"
            yield Remark(RemarkKind.ERROR, ("routes", index, "path_prefix"), message)
        if route.host.rpartition(":")[2].isdecimal() and ":" in route.host:
            message = "requests are matched by their host without its port"
            yield Remark(RemarkKind.NEVER_USED, ("routes", index, "host"), message)


@config_check
def _repeated_names(config: RoutingConfig, _bounds: ReviewBounds) -> Iterator[Remark]:
    for section, names in (
        ("routes", [route.name for route in config.routes]),
        ("accounts", [account.name for account in config.accounts]),
    ):
        for index, name in enumerate(names):
            if name in names[:index]:
                message = f"{name} is the name of an earlier entry too"
                yield Remark(RemarkKind.ERROR, (section, index, "name"), message)


@config_check
def _targets(config: RoutingConfig, _bounds: ReviewBounds) -> Iterator[Remark]:
    for index, route in enumerate(config.routes):
        path = ("routes", index, "targets")
        seen: set[str] = set()
        for position, target in enumerate(route.targets):
            at = (*path, position)
            if target.service not in config.services:
                message = f"there is no service {target.service}"
                yield Remark(RemarkKind.ERROR, (*at, "service"), message)
            if target.service in seen:
                message = f"{target.service} is part of this split already"
                yield Remark(RemarkKind.CONTRADICTION, (*at, "service"), message)
            seen.add(target.service)
            if target.weight <= 0:
                message = "a weight of 0 gets no requests"
                yield Remark(RemarkKind.NEVER_USED, (*at, "weight"), message)
        if all(target.weight <= 0 for target in route.targets):
            message = f"no weight is above 0, so that all requests go to {route.targets[0].service}"
            yield Remark(RemarkKind.CONTRADICTION, path, message)


@config_check
def _unrouted_services(config: RoutingConfig, _bounds: ReviewBounds) -> Iterator[Remark]:
    for name in config.services:
        if not any(route.allows(name) or _is_sole(route, name) for route in config.routes):
            message = "no route leads to this service"
            yield Remark(RemarkKind.NEVER_USED, ("services", name, "name"), message)


def _is_sole(route: Route, service: str) -> bool:
    """Return whether a route whose weights are all 0 leads to a service."""
    has_weight = any(target.weight > 0 for target in route.targets)
    return not has_weight and route.targets[0].service == service


@config_check
def _account_keys(config: RoutingConfig, _bounds: ReviewBounds) -> Iterator[Remark]:
    # Keys are secrets, so that accounts are named instead.
    for index, account in enumerate(config.accounts):
        path = ("accounts", index, "keys")
        if not account.keys:
            yield Remark(RemarkKind.NEVER_USED, path, "an account without a key gets no requests")
        for later in config.accounts[index + 1 :]:
            if account.keys & later.keys:
                message = f"a key of {account.name} is also one of {later.name}, which gets it"
                yield Remark(RemarkKind.CONTRADICTION, path, message)


@config_check
def _quotas(config: RoutingConfig, bounds: ReviewBounds) -> Iterator[Remark]:
    for index, account in enumerate(config.accounts):
        path, burst = ("accounts", index, "quota_burst"), account.quota_burst
        if account.quota_per_s is None:
            if burst:
                message = "without a rate there is no limit, and a burst changes nothing"
                yield Remark(RemarkKind.NEVER_USED, path, message)
            continue
        in_window = account.quota_per_s * bounds.quota_window_s
        if burst > in_window:
            message = (
                f"the burst of {burst:g} is more than the rate allows in a whole window of "
                f"{bounds.quota_window_s:g} s ({in_window:g})"
            )
            yield Remark(RemarkKind.CONTRADICTION, path, message)
        if in_window + burst < account.request_cost(None):
            message = "not a single request fits into the rate and the burst"
            yield Remark(RemarkKind.CONTRADICTION, path, message)


@config_check
def _route_times(config: RoutingConfig, bounds: ReviewBounds) -> Iterator[Remark]:
    for index, route in enumerate(config.routes):

        def remark(field: str, message: str, at: int = index) -> Remark:
            return Remark(RemarkKind.CONTRADICTION, ("routes", at, field), message)

        if route.objective_s > route.timeout_s:
            yield remark("objective_s", f"is over the time-out of {route.timeout_s:g} s")
        if (route.max_pause_s or 0.0) > route.timeout_s:
            yield remark("max_pause_s", f"is over the time-out of {route.timeout_s:g} s")
        if bounds.deadline_s is not None and route.timeout_s > bounds.deadline_s:
            yield remark("timeout_s", f"is over the callers' deadline of {bounds.deadline_s:g} s")


@config_check
def _unused_route_fields(config: RoutingConfig, _bounds: ReviewBounds) -> Iterator[Remark]:
    for index, route in enumerate(config.routes):
        is_stream = route.kind is RequestKind.STREAM
        if route.is_resumable and not is_stream:
            message = "only streams are resumed"
            yield Remark(RemarkKind.NEVER_USED, ("routes", index, "is_resumable"), message)
        if route.max_pause_s is not None and not is_stream:
            message = "only streams have pauses between events"
            yield Remark(RemarkKind.NEVER_USED, ("routes", index, "max_pause_s"), message)


@config_check
def _caller_limits(config: RoutingConfig, _bounds: ReviewBounds) -> Iterator[Remark]:
    limits = config.limits
    if limits.max_header_bytes > limits.max_body_bytes:
        message = f"is over the limit for a body, {limits.max_body_bytes} bytes"
        yield Remark(RemarkKind.CONTRADICTION, ("limits", "max_header_bytes"), message)
    if limits.header_timeout_s > limits.idle_timeout_s:
        message = f"is over the time that a connection may be idle, {limits.idle_timeout_s:g} s"
        yield Remark(RemarkKind.CONTRADICTION, ("limits", "header_timeout_s"), message)
