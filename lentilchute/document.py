"""The service document: the configuration of one service, owned by the service's team.

The models validate structure and ranges; ``checked_yaml`` adds line and column to each finding.
Lookups (an account by its key, a tier's rank) are methods of the models, so that nodes and commands
interpret a document the same way.
"""

import re
from collections.abc import Iterator
from enum import Enum
from typing import Annotated, Self

from pydantic import Field, model_validator
from result import Result

from .errors import Finding
from .ids import ModelName, ServiceName, Tier, UpstreamId
from .util.checked_yaml import load_text
from .util.config_model import ConfigModel, CrossFieldError, CrossFieldProblem, Name, Seconds


class UpstreamKind(Enum):
    """Which adapter connects to an upstream; the value is the adapter's registered name."""

    ENGINE = "engine"
    PLAIN = "plain"


class Fencing(Enum):
    """How an upstream treats an order with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class UpstreamEntry(ConfigModel):
    """One upstream listed in the document."""

    name: Name
    """Name of the upstream, unique in the document."""
    address: Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]
    """IP address and port."""
    availability_zone: Name
    """Availability zone of the upstream."""


class UpstreamGroup(ConfigModel):
    """Upstreams of one kind: listed here, or selected from the platform's list by ``selector``."""

    kind: UpstreamKind
    """Protocol of the upstreams."""
    fencing: Fencing = Fencing.IGNORED
    """Whether the upstreams reject an order with an old fencing number."""
    reports_load: bool = True
    """Whether the upstreams support load requests."""
    selector: Name | None = None
    """Group name in the platform's instance list; used instead of `members`."""
    members: tuple[UpstreamEntry, ...] = ()
    """Upstreams listed here; used instead of `selector`."""
    hardware: Name = "unspecified"
    """Hardware generation; upstreams are compared with others of the same generation."""
    max_streams: Annotated[int, Field(ge=1, le=4096)] = 64
    """Maximum number of requests in flight at one upstream."""
    max_prompt_tokens: Annotated[int, Field(ge=1)] = 200_000
    """Outstanding prompt tokens at which an upstream gets no further request.

    A request's own tokens do not count when it is placed. The scheduler may set a lower limit.
    """
    initial_prefill_tokens_per_s: Annotated[float, Field(gt=0)] = 8_000.0
    """Assumed prefill rate until the upstream's own rate has been learned."""
    initial_decode_tokens_per_s: Annotated[float, Field(gt=0)] = 40.0
    """Assumed rate of one stream until the upstream's own rate has been learned."""
    cache_tokens: Annotated[int, Field(ge=0)] = 500_000
    """Capacity of the upstream's prefix cache in prompt tokens."""

    @model_validator(mode="after")
    def _check_upstream_source(self) -> Self:
        if (self.selector is None) == (not self.members):
            raise ValueError("exactly one of selector and members is required")
        return self


class TierEntry(ConfigModel):
    """One tier; the document lists tiers from the highest to the lowest."""

    name: Name
    """Name that callers send in the tier header."""
    default_deadline_s: Seconds = 60.0
    """Deadline of a request that specifies none."""
    max_deadline_s: Seconds = 3_600.0
    """Longest deadline that a request may specify."""
    max_waiting: Annotated[int, Field(ge=0)] = 1_000
    """Maximum number of waiting tickets of this tier in one shard."""
    reserved_share: Annotated[float, Field(ge=0, le=0.9)] = 0.0
    """Fraction of each upstream's capacity that lower tiers may not use."""
    floor_share: Annotated[float, Field(ge=0, le=0.5)] = 0.0
    """Fraction of grants for this tier even while higher tiers wait; 0 means strict priority."""

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
    """Weight of the account relative to others within a tier."""
    highest_tier: Name | None = None
    """Highest tier that the account may request; all tiers if absent."""


class PathRule(ConfigModel):
    """Idempotency of requests whose path matches ``pattern`` (exact, or a prefix with ``*``)."""

    pattern: Annotated[str, Field(pattern=r"^/[^*\s]*\*?$")]
    """Path that the rule covers; with a `*` at the end, all paths with that prefix."""
    methods: tuple[str, ...] = ()
    """HTTP methods that the rule covers; all if empty."""
    idempotent: bool
    """Whether the request may be repeated."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule covers this method and path."""
        if self.methods and method not in self.methods:
            return False
        if self.pattern.endswith("*"):
            return path.startswith(self.pattern[:-1])
        return path == self.pattern


class ModelTarget(ConfigModel):
    """A model with its version and adapters, and the number of engines that should serve it."""

    name: Name
    """Name of the model in callers' requests."""
    version: Name = "1"
    """Version of the model's weights."""
    adapters: tuple[Name, ...] = ()
    """Adapters to load with the model."""
    engines: Annotated[int, Field(ge=1)] = 1
    """Number of engines that should have the model loaded."""
    min_ready: Annotated[int, Field(ge=0)] = 1
    """Minimum number of engines that stay ready with this model while others reload."""

    @model_validator(mode="after")
    def _check_min_ready(self) -> Self:
        if self.min_ready > self.engines:
            message = f"must not be above engines, which is {self.engines}"
            raise CrossFieldError([CrossFieldProblem(("min_ready",), message)])
        return self


class Limits(ConfigModel):
    """Limits of one service."""

    max_body_bytes: Annotated[int, Field(ge=1, le=64 * 1024 * 1024)] = 4 * 1024 * 1024
    """Maximum size of a request body; larger ones are refused."""
    max_output_tokens: Annotated[int, Field(ge=1)] = 4_096
    """Maximum output tokens of one request."""
    first_token_target_s: Seconds = 1.8
    """Target time to the first token."""
    between_tokens_target_s: Seconds = 0.05
    """Target time between tokens."""
    stream_idle_timeout_s: Seconds = 10.0
    """A stream without a byte for this long is considered broken and resumed."""
    kept_answer_bytes: Annotated[int, Field(ge=0)] = 65_536
    """Maximum size of a finished answer to a non-idempotent request that is kept for a resend."""


class ServiceDocument(ConfigModel):
    """Configuration that a team declares for its service."""

    service: Name
    """Name of the service; it does not change between versions."""
    upstreams: Annotated[tuple[UpstreamGroup, ...], Field(min_length=1)]
    """Groups of upstreams."""
    tiers: Annotated[tuple[TierEntry, ...], Field(min_length=1, max_length=8)]
    """Tiers from the highest to the lowest."""
    client_accounts: Annotated[tuple[AccountEntry, ...], Field(min_length=1)]
    """Client accounts that may call the service."""
    paths: tuple[PathRule, ...] = ()
    """Idempotency rules; the first rule that covers a request applies."""
    models: tuple[ModelTarget, ...] = ()
    """Models that engines should have loaded; any model is served if empty."""
    limits: Limits = Limits()
    """Limits of the service."""

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
        """Return a tier's rank, 0 for the highest, or ``None`` if no tier has this name."""
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
        """Return whether a request may be repeated, by the first matching rule, else by method."""
        for rule in self.paths:
            if rule.matches(method, path):
                return rule.idempotent
        return is_model_path(path) or method in {"GET", "HEAD", "OPTIONS"}

    def accepts_model(self, model: ModelName) -> bool:
        """Return whether the document lists the model; if it lists none, it accepts every model."""
        return not self.models or any(target.name == model for target in self.models)

    def group_of(self, upstream: UpstreamId) -> UpstreamGroup | None:
        """Return the group that names this upstream as a member, or ``None``."""
        for group in self.upstreams:
            if any(entry.name == upstream for entry in group.members):
                return group
        return None


def load_document(text: str, file: str) -> Result[ServiceDocument, list[Finding]]:
    """Validate the text of a service document; ``file`` is the file name in findings."""
    return load_text(text, file, ServiceDocument)


def is_model_path(path: str) -> bool:
    """Return whether ``path`` is a model call, whose cost the scheduler estimates in tokens."""
    return re.fullmatch(r"/v1/(chat/)?completions", path) is not None


def _duplicate_names(document: ServiceDocument) -> Iterator[CrossFieldProblem]:
    """Yield a problem for each duplicate name of a tier, client account or upstream."""
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
    """Yield a problem for each client account whose highest tier is not defined."""
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
