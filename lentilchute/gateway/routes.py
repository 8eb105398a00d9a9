"""The operator's configuration: routes, services, client accounts and limits for callers."""

import random
from dataclasses import field
from enum import Enum

from ..ids import ClientAccountId, ServiceName, Tier
from ..util.lean_dataclasses import dataclass


class RequestKind(Enum):
    """How the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    """Answered by server-sent events; repeatable only if the route is resumable."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, with its weight among the route's services."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route: which requests it matches and how they are handled."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    """Longest time to answer a request."""
    objective_s: float
    """Latency objective for the complete answer, or for the first event of a stream."""
    tier: Tier
    targets: tuple[WeightedService, ...]
    max_attempts: int
    """Most upstreams to which one request of a caller may be sent."""
    is_public: bool
    is_resumable: bool
    max_pause_s: float | None
    """Longest pause between two events of a stream that still counts as on time."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def allows(self, service: ServiceName) -> bool:
        """Return whether the route leads to a service."""
        return any(target.service == service and target.weight > 0 for target in self.targets)

    def tier_for(self, account: "Account | None") -> Tier:
        """Return the tier of an account's requests; the account's own tier takes precedence."""
        return self.tier if account is None or account.tier is None else account.tier

    def draw_service(self, rng: random.Random) -> ServiceName:
        """Return a service drawn at random by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        if sum(weights) <= 0:
            return self.targets[0].service
        return rng.choices(self.targets, weights)[0].service


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """Properties that all engines of a service share."""

    slots: int
    """Requests that an engine executes concurrently."""
    tokens_per_event: int
    kv_tokens: int = 0
    """Tokens of prompts and answers that an engine keeps in memory; 0 if it does not say."""


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """A service; ``model`` is ``None`` if its upstreams run no model."""

    name: ServiceName
    model: ModelProfile | None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account with its keys and its quota, which holds across all nodes."""

    name: ClientAccountId
    keys: frozenset[str]
    quota_per_s: float | None
    """Quota rate in the account's unit; ``None`` for no limit."""
    quota_burst: float
    counts_tokens: bool
    plain_request_tokens: float
    """Cost of a request without token counts, if the quota counts tokens."""
    tier: Tier | None = None
    """Tier of its requests on any route; ``None`` for that of the route."""

    def request_cost(self, tokens: int | None) -> float:
        """Return a request's cost in the quota's unit; ``tokens`` is ``None`` without counts."""
        if not self.counts_tokens:
            return 1.0
        return self.plain_request_tokens if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the size and duration of callers' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceProfile]
    accounts: tuple[Account, ...]
    needs_key: bool
    """Whether requests to routes that are not public must carry an account's key."""
    limits: CallerLimits
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)
    _by_key: dict[str, Account] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_by_host", by_host)
        keys = {key: account for account in self.accounts for key in account.keys}
        object.__setattr__(self, "_by_key", keys)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of ``path``, or ``None``."""
        name = host.rpartition(":")[0] if host.rpartition(":")[2].isdecimal() else host
        for route in self._by_host.get((name or host).lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def account_of_key(self, key: str | None) -> Account | None:
        """Return the account of a key, or ``None``."""
        return None if key is None else self._by_key.get(key)

    def slots_of(self, service: ServiceName) -> int | None:
        """Return the configured slots of each upstream of a model service, or ``None``."""
        profile = self.services.get(service)
        return None if profile is None or profile.model is None else profile.model.slots

    def kv_tokens_of(self, service: ServiceName) -> int:
        """Return the configured memory of each upstream of a model service, in tokens, or 0."""
        profile = self.services.get(service)
        return 0 if profile is None or profile.model is None else profile.model.kv_tokens

    def tokens_per_event_of(self, service: ServiceName) -> int:
        """Return the tokens in an event of a model service's streams, else 1."""
        profile = self.services.get(service)
        return 1 if profile is None or profile.model is None else profile.model.tokens_per_event
