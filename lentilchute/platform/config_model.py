"""Model of the operator's configuration as it is written, for findings with their places.

Nodes decode the same text with ``rows.decode_config``, which is lenient; this model also finds what
a node would read otherwise than it is meant, such as a text where a truth value belongs. Keys that
this build does not use are not looked at.
"""

from typing import Annotated, Literal

from pydantic import AliasGenerator, ConfigDict, Field

from ..util.config_model import ConfigModel

Text = Annotated[str, Field(min_length=1)]
Count = Annotated[int, Field(ge=0)]
PositiveCount = Annotated[int, Field(ge=1)]
Figure = Annotated[float, Field(ge=0)]
PositiveFigure = Annotated[float, Field(gt=0)]


class RowModel(ConfigModel):
    """Base of all parts: keys have hyphens where fields have underscores."""

    model_config = ConfigDict(
        extra="ignore",
        frozen=True,
        defer_build=True,
        alias_generator=AliasGenerator(alias=lambda name: name.replace("_", "-")),
    )


class SplitRow(RowModel):
    """One service of a route that is split."""

    service: Text
    weight: Figure


class RouteRow(RowModel):
    """A route; it names a service, or several with weights."""

    name: Text
    host: Text
    path_prefix: Text
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: PositiveFigure
    target_latency_ms: Figure | None = None
    gap_target_ms: Figure | None = None
    priority: Count | None = None
    service: Text | None = None
    traffic_split: tuple[SplitRow, ...] | None = None
    max_attempts: Count | None = None
    public: bool | None = None
    resumable: bool | None = None


class EngineRow(RowModel):
    """What all engines of a model service share."""

    slots: PositiveCount
    stride: Count | None = None
    kv_tokens: Count | None = None


class ServiceRow(RowModel):
    """A service."""

    name: Text
    engine: EngineRow | None = None


class AccountRow(RowModel):
    """A client account."""

    name: Text
    api_keys: tuple[Text, ...]
    rate_per_s: Figure | None = None
    burst: Figure | None = None
    unit: Text | None = None
    plain_tokens: Figure | None = None
    priority: Count | None = None


class LimitRows(RowModel):
    """Limits for callers."""

    max_header_bytes: Count | None = None
    max_body_bytes: Count | None = None
    header_timeout_ms: Figure | None = None
    idle_timeout_ms: Figure | None = None


class ConfigRow(RowModel):
    """The whole configuration."""

    version: Count
    routes: tuple[RouteRow, ...]
    services: tuple[ServiceRow, ...]
    tenants: tuple[AccountRow, ...] | None = None
    limits: LimitRows | None = None
