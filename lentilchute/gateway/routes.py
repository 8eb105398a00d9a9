"""What the operator declares: routes, services, client accounts and bounds for callers."""

import random
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ClientAccountId, ServiceName, Tier


class RequestKind(Enum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    """Answered by events; repeatable only where the route says that streams may be resumed."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route: which requests it takes and how they are handled."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    """Longest time that a caller is kept waiting."""
    objective_s: float
    """Latency objective: to the whole answer, or to the first event of a stream."""
    tier: Tier
    targets: tuple[WeightedService, ...]
    max_attempts: int
    """Upstreams that one attempt of a caller may be sent to."""
    is_public: bool
    is_resumable: bool
    max_pause_s: float | None
    """Longest pause between two events of a stream that is still on time."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def draw_service(self, rng: random.Random) -> ServiceName:
        """Return the service of one request, drawn by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        if sum(weights) <= 0:
            return self.targets[0].service
        return rng.choices(self.targets, weights)[0].service


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """What a service's engines have in common."""

    slots: int
    """Requests that an engine runs at once."""
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """One service; ``model`` is ``None`` for a plain one."""

    name: ServiceName
    model: ModelProfile | None


@dataclass(frozen=True, slots=True)
class Account:
    """One client account with its keys and its quota over all nodes."""

    name: ClientAccountId
    keys: frozenset[str]
    quota_per_s: float | None
    """In the account's unit; ``None`` for no limit."""
    quota_burst: float
    counts_tokens: bool
    plain_request_tokens: float
    """What a request without token counts uses of a quota that counts tokens."""

    def request_cost(self, tokens: int | None) -> float:
        """Return what a request uses of the quota; ``tokens`` is ``None`` without counts."""
        if not self.counts_tokens:
            return 1.0
        return self.plain_request_tokens if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds for what callers send and how long they take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of everything that the operator declares."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceProfile]
    accounts: tuple[Account, ...]
    needs_key: bool
    """Whether requests on routes that are not public must carry an account's key."""
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
        """Return the account that holds a key."""
        return None if key is None else self._by_key.get(key)

    def slots_of(self, service: ServiceName) -> int | None:
        """Return the slots that the declaration gives each upstream of a model service."""
        profile = self.services.get(service)
        return None if profile is None or profile.model is None else profile.model.slots
