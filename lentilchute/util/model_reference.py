"""Reference tables in Markdown for each part of a model, from its JSON schema."""

import json
from collections.abc import Iterator

from pydantic import BaseModel

from .markdown import table
from .schema import Schema, describe, resolve_schema, schema_of

UNITS = {
    "_tokens_per_s": "tokens/s",
    "_per_s": "1/s",
    "_s": "s",
    "_bytes": "bytes",
    "_tokens": "tokens",
    "_share": "part of 1",
}
"""Units by the suffix of a key, longest first."""

HEADER = ("Key", "Unit", "Allowed", "Default", "Meaning")


def reference(model: type[BaseModel]) -> str:
    """Return sections with a table for the model and for each nested part."""
    root = schema_of(model)
    sections = [_section(root, root, "Top level")]
    for path, part in _parts(root, root, ""):
        sections.append(_section(root, part, f"`{path}`"))
    return "\n\n".join(sections)


def unit_of(key: str) -> str:
    """Return the unit for a key's suffix, or an empty string."""
    for suffix, unit in UNITS.items():
        if key.endswith(suffix):
            return unit
    return ""


def _parts(root: Schema, schema: Schema, prefix: str) -> Iterator[tuple[str, Schema]]:
    """Yield each nested mapping of ``schema`` with its path, in the order of the keys."""
    for key, field in schema.get("properties", {}).items():
        target = resolve_schema(root, field)
        path = prefix + key
        if target.get("type") == "array":
            target = resolve_schema(root, target.get("items", {}))
            path += "[]"
        if "properties" in target:
            yield path, target
            yield from _parts(root, target, f"{path}.")


def _section(root: Schema, schema: Schema, title: str) -> str:
    required = set(schema.get("required", ()))
    rows = []
    for key, field in schema["properties"].items():
        default = "required" if key in required else _default(field.get("default"))
        # Pydantic omits a field's description that equals the description of its part.
        description = field.get("description") or resolve_schema(root, field).get("description", "")
        meaning = " ".join(description.split())
        rows.append((f"`{key}`", unit_of(key), describe(root, field), default, meaning))
    return f"## {title}\n\n{table(HEADER, rows)}"


def _default(value: object) -> str:
    if isinstance(value, dict):
        return "see below"
    if value is None:
        return "none"
    if isinstance(value, float):
        return f"{value:g}"
    return value if isinstance(value, str) else json.dumps(value)
