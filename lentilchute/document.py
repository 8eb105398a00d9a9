"""The service document: the one file that drives a service, owned by its team.

The models check shape and ranges; ``checked_yaml`` adds line and column to each finding. Derived
look-ups (an account by its key, a tier's rank) live on the models, so that nodes and commands read
a document the same way.
"""

import re
from collections.abc import Iterator
from enum import Enum
from typing import Annotated, NamedTuple, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .ids import ModelName, ServiceName, Tier, UpstreamId

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=604_800)]


class CrossFieldProblem(NamedTuple):
    """What is wrong between values that are right one by one, and the path to the culprit."""

    path: tuple[str | int, ...]
    message: str


class CrossFieldError(ValueError):
    """All such problems of one part, so that they are reported together with their places."""

    def __init__(self, problems: list[CrossFieldProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(problem.message for problem in problems))


class ConfigModel(BaseModel):
    """Base of all parts: unknown keys are findings, values do not change after loading."""

    model_config = ConfigDict(extra="forbid", frozen=True, use_attribute_docstrings=True)


class UpstreamKind(Enum):
    """Which adapter speaks to an upstream; the value is the adapter's registered name."""

    ENGINE = "engine"
    PLAIN = "plain"


class Fencing(Enum):
    """What an upstream does with an order that carries an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class UpstreamEntry(ConfigModel):
    """One upstream named in the document."""

    name: Name
    """Name of the upstream, unique in the document."""
    address: Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]
    """IP number and port."""
    availability_zone: Name
    """Availability zone of the upstream."""


class UpstreamGroup(ConfigModel):
    """Upstreams of one kind: named here, or selected from the platform's list by ``selector``."""

    kind: UpstreamKind
    """Which protocol the upstreams speak."""
    fencing: Fencing = Fencing.IGNORED
    """Whether the upstreams refuse an order with an old fencing number."""
    reports_load: bool = True
    """Whether the upstreams answer a request for their load."""
    selector: Name | None = None
    """Group name in the platform's list of instances; in place of `members`."""
    members: tuple[UpstreamEntry, ...] = ()
    """Upstreams named here; in place of `selector`."""
    hardware: Name = "unspecified"
    """Hardware generation; upstreams of one generation are each other's peers for comparison."""
    max_streams: Annotated[int, Field(ge=1, le=4096)] = 64
    """Requests in flight at one upstream."""
    max_prompt_tokens: Annotated[int, Field(ge=1)] = 200_000
    """Upper bound on prompt tokens outstanding at one upstream; the scheduler adapts below it."""
    initial_prefill_tokens_per_s: Annotated[float, Field(gt=0)] = 8_000.0
    """Expected prefill rate until the upstream's own rate is learned."""
    initial_decode_tokens_per_s: Annotated[float, Field(gt=0)] = 40.0
    """Expected rate of one stream until the upstream's own rate is learned."""
    cache_tokens: Annotated[int, Field(ge=0)] = 500_000
    """Prompt tokens that the upstream's prefix cache holds."""

    @model_validator(mode="after")
    def _check_upstream_source(self) -> Self:
        if (self.selector is None) == (not self.members):
            raise ValueError("name either a selector or members")
        return self


class TierEntry(ConfigModel):
    """One tier; the document lists tiers from the highest to the lowest."""

    name: Name
    """Name that callers give in the tier header."""
    default_deadline_s: Seconds = 60.0
    """Deadline of a request that gives none."""
    max_deadline_s: Seconds = 3_600.0
    """Longest deadline that a request may give."""
    max_waiting: Annotated[int, Field(ge=0)] = 1_000
    """Tickets of this tier that may wait in one shard."""
    reserved_share: Annotated[float, Field(ge=0, le=0.9)] = 0.0
    """Part of each upstream's room kept free of lower tiers."""
    floor_share: Annotated[float, Field(ge=0, le=0.5)] = 0.0
    """Part of the grants this tier gets even while higher tiers wait; 0 keeps strict order."""

    @model_validator(mode="after")
    def _check_default_deadline(self) -> Self:
        if self.default_deadline_s > self.max_deadline_s:
            message = f"must not be above max_deadline_s, which is {self.max_deadline_s:g}"
            raise CrossFieldError([CrossFieldProblem(("default_deadline_s",), message)])
        return self


class AccountEntry(ConfigModel):
    """One client account with the digest of its bearer key."""

    name: Name
    """Name of the client account."""
    key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    """SHA-256 digest of the bearer key, in lower-case hexadecimal."""
    weight: Annotated[float, Field(gt=0, le=1_000)] = 1.0
    """Share of the account against others within a tier."""
    highest_tier: Name | None = None
    """The highest tier that the account may ask for; all tiers when absent."""


class PathRule(ConfigModel):
    """How requests to paths that match ``pattern`` (a prefix; ``*`` ends it) are treated."""

    pattern: Annotated[str, Field(pattern=r"^/[^*\s]*\*?$")]
    """Path that the rule covers; a `*` at the end covers all that start so."""
    methods: tuple[str, ...] = ()
    """HTTP methods that the rule covers; all when empty."""
    idempotent: bool
    """Whether the request may be repeated."""

    def matches(self, method: str, path: str) -> bool:
        """Tell whether the rule covers this method and path."""
        if self.methods and method not in self.methods:
            return False
        if self.pattern.endswith("*"):
            return path.startswith(self.pattern[:-1])
        return path == self.pattern


class ModelTarget(ConfigModel):
    """A model, with its version and adapters, that a number of engines shall hold."""

    name: Name
    """Name of the model as callers ask for it."""
    version: Name = "1"
    """Version of the model's weights."""
    adapters: tuple[Name, ...] = ()
    """Adapters to load with the model."""
    engines: Annotated[int, Field(ge=1)] = 1
    """Engines that shall hold the model."""
    min_ready: Annotated[int, Field(ge=0)] = 1
    """Engines that stay ready with this model while others change."""

    @model_validator(mode="after")
    def _check_min_ready(self) -> Self:
        if self.min_ready > self.engines:
            message = f"must not be above engines, which is {self.engines}"
            raise CrossFieldError([CrossFieldProblem(("min_ready",), message)])
        return self


class Limits(ConfigModel):
    """Bounds of one service."""

    max_body_bytes: Annotated[int, Field(ge=1, le=64 * 1024 * 1024)] = 4 * 1024 * 1024
    """Largest request body; a larger one is refused."""
    max_output_tokens: Annotated[int, Field(ge=1)] = 4_096
    """Most output tokens of one request."""
    first_token_target_s: Seconds = 1.8
    """Time to the first token that the service aims at."""
    between_tokens_target_s: Seconds = 0.05
    """Time between tokens that the service aims at."""
    stream_idle_timeout_s: Seconds = 10.0
    """A stream without a byte for this long is taken for broken and resumed."""
    kept_answer_bytes: Annotated[int, Field(ge=0)] = 65_536
    """Largest finished answer of a non-idempotent request that is kept for a resend."""


class ServiceDocument(ConfigModel):
    """Everything a team declares about its service."""

    service: Name
    """Name of the service; it does not change between versions."""
    upstreams: Annotated[tuple[UpstreamGroup, ...], Field(min_length=1)]
    """Groups of upstreams."""
    tiers: Annotated[tuple[TierEntry, ...], Field(min_length=1, max_length=8)]
    """Tiers from the highest to the lowest."""
    client_accounts: Annotated[tuple[AccountEntry, ...], Field(min_length=1)]
    """Who may call the service."""
    paths: tuple[PathRule, ...] = ()
    """Rules for idempotency; the first that covers a request decides."""
    models: tuple[ModelTarget, ...] = ()
    """Models that engines shall hold; any model is served when empty."""
    limits: Limits = Limits()
    """Bounds of the service."""

    @model_validator(mode="after")
    def _check_cross_references(self) -> Self:
        problems = [*_duplicate_names(self), *_unknown_tiers(self), *_duplicate_keys(self)]
        if problems:
            raise CrossFieldError(problems)
        return self

    @property
    def name(self) -> ServiceName:
        """The service's name as a typed id."""
        return ServiceName(self.service)

    def tier_rank(self, tier_name: str) -> Tier | None:
        """Return the rank of a tier by its name, 0 for the highest, or ``None``."""
        for rank, tier in enumerate(self.tiers):
            if tier.name == tier_name:
                return Tier(rank)
        return None

    def account_by_key_digest(self, key_sha256: str) -> AccountEntry | None:
        """Return the client account whose bearer key has this SHA-256 digest, or ``None``."""
        for account in self.client_accounts:
            if account.key_sha256 == key_sha256:
                return account
        return None

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a request may be repeated: the first matching rule, else the method."""
        for rule in self.paths:
            if rule.matches(method, path):
                return rule.idempotent
        return is_model_path(path) or method in {"GET", "HEAD", "OPTIONS"}

    def accepts_model(self, model: ModelName) -> bool:
        """Tell whether the document lists the model; every model counts when it lists none."""
        return not self.models or any(target.name == model for target in self.models)

    def group_of(self, upstream: UpstreamId) -> UpstreamGroup | None:
        """Return the group that names this upstream as a member, or ``None``."""
        for group in self.upstreams:
            if any(entry.name == upstream for entry in group.members):
                return group
        return None


def is_model_path(path: str) -> bool:
    """Tell whether ``path`` is a model call, whose prompt the scheduler weighs in tokens."""
    return re.fullmatch(r"/v1/(chat/)?completions", path) is not None


def _duplicate_names(document: ServiceDocument) -> Iterator[CrossFieldProblem]:
    """Yield a problem for each tier, client account or upstream named a second time."""
    named: list[tuple[str, tuple[str | int, ...], str]] = []
    for i, tier in enumerate(document.tiers):
        named.append(("tier", ("tiers", i, "name"), tier.name))
    for i, account in enumerate(document.client_accounts):
        named.append(("client account", ("client_accounts", i, "name"), account.name))
    for i, group in enumerate(document.upstreams):
        for j, member in enumerate(group.members):
            named.append(("upstream", ("upstreams", i, "members", j, "name"), member.name))
    seen: set[tuple[str, str]] = set()
    for item_kind, path, name in named:
        if (item_kind, name) in seen:
            yield CrossFieldProblem(path, f"{item_kind} named twice: {name}")
        seen.add((item_kind, name))


def _unknown_tiers(document: ServiceDocument) -> Iterator[CrossFieldProblem]:
    """Yield a problem for each client account whose highest tier the document does not list."""
    tiers = ", ".join(tier.name for tier in document.tiers)
    for i, account in enumerate(document.client_accounts):
        tier = account.highest_tier
        if tier is not None and document.tier_rank(tier) is None:
            path = ("client_accounts", i, "highest_tier")
            yield CrossFieldProblem(path, f"no tier is named {tier}; allowed: {tiers}")


def _duplicate_keys(document: ServiceDocument) -> Iterator[CrossFieldProblem]:
    """Yield a problem for each client account that shares its key with an earlier one."""
    owners: dict[str, str] = {}
    for i, account in enumerate(document.client_accounts):
        owner = owners.setdefault(account.key_sha256, account.name)
        if owner != account.name:
            path = ("client_accounts", i, "key_sha256")
            yield CrossFieldProblem(path, f"the same key as client account {owner}")
