"""Reference tables in Markdown for each part of a model, from its JSON schema and its source."""

import ast
import inspect
import itertools
import json
import textwrap
import typing
from collections.abc import Iterator

from pydantic import BaseModel

from .config_model import ConfigModel
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
    meanings = {part.__name__: field_meanings(part) for part in _models(model)}
    sections = [_section(root, root, "Top level", meanings)]
    for path, part in _parts(root, root, ""):
        sections.append(_section(root, part, f"`{path}`", meanings))
    return "\n\n".join(sections)


def unit_of(key: str) -> str:
    """Return the unit for a key's suffix, or an empty string."""
    for suffix, unit in UNITS.items():
        if key.endswith(suffix):
            return unit
    return ""


def field_meanings(model: type[BaseModel]) -> dict[str, str]:
    """Return the text below each field in the source of a model and its bases."""
    meanings: dict[str, str] = {}
    for base in reversed(model.__mro__):
        if not issubclass(base, ConfigModel) or base is ConfigModel:
            continue
        definition = ast.parse(textwrap.dedent(inspect.getsource(base))).body[0]
        assert isinstance(definition, ast.ClassDef)
        for field, text in itertools.pairwise(definition.body):
            if not isinstance(field, ast.AnnAssign) or not isinstance(field.target, ast.Name):
                continue
            match text:
                case ast.Expr(value=ast.Constant(value=str(meaning))):
                    meanings[field.target.id] = inspect.cleandoc(meaning)
    return meanings


def _models(annotation: object) -> Iterator[type[BaseModel]]:
    """Yield the models that a model or an annotation consists of."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
        for field in annotation.model_fields.values():
            yield from _models(field.annotation)
    for part in typing.get_args(annotation):
        yield from _models(part)


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


def _section(root: Schema, schema: Schema, title: str, meanings: dict[str, dict[str, str]]) -> str:
    required = set(schema.get("required", ()))
    rows = []
    for key, field in schema["properties"].items():
        default = "required" if key in required else _default(field.get("default"))
        description = meanings[schema["title"]].get(key)
        if description is None:
            description = resolve_schema(root, field).get("description", "")
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
