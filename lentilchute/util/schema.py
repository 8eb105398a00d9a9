"""Describes in words what a model allows, from its JSON schema.

Findings and the reference pages share these descriptions, so that they agree on every key.
"""

from collections.abc import Mapping
from functools import lru_cache
from typing import Any

from pydantic import BaseModel

Schema = Mapping[str, Any]


@lru_cache(maxsize=64)
def schema_of(model: type[BaseModel]) -> Schema:
    """Return the model's JSON schema, cached."""
    return model.model_json_schema()


def resolve_schema(root: Schema, schema: Schema) -> Schema:
    """Return the schema that a reference or an optional type stands for."""
    while True:
        options = [option for option in schema.get("anyOf", ()) if option.get("type") != "null"]
        if "$ref" in schema:
            schema = root["$defs"][schema["$ref"].rsplit("/", 1)[1]]
        elif len(options) == 1:
            schema = options[0]
        else:
            return schema


def schema_at(root: Schema, path: tuple[str | int, ...]) -> Schema | None:
    """Return the schema of the value at ``path``, or ``None`` when the model defines none."""
    schema = resolve_schema(root, root)
    for step in path:
        if isinstance(step, int):
            found = schema.get("items")
        else:
            found = schema.get("properties", {}).get(step)
        if found is None:
            return None
        schema = resolve_schema(root, found)
    return schema


def describe(root: Schema, schema: Schema) -> str:
    """Describe the allowed values, as in ``an integer, at least 1, at most 4096``."""
    target = resolve_schema(root, schema)
    if "enum" in target:
        return "one of: " + ", ".join(map(str, target["enum"]))
    kind = target.get("type")
    if kind == "array":
        return _describe_list(root, target)
    descriptions = {
        "integer": "an integer",
        "number": "a number",
        "boolean": "true or false",
        "string": "a text",
        "object": "a mapping",
    }
    return descriptions.get(str(kind), "a value") + _describe_bounds(target)


def _describe_list(root: Schema, target: Schema) -> str:
    items = describe(root, target.get("items", {}))
    plurals = {"a text": "texts", "a mapping": "mappings"}
    bounds = ""
    if target.get("minItems"):
        bounds += f", at least {target['minItems']}"
    if "maxItems" in target:
        bounds += f", at most {target['maxItems']}"
    if items.startswith("one of"):
        return f"a list with items from {items.removeprefix('one of: ')}{bounds}"
    first, _, rest = items.partition(" that ")
    suffix = f" that {rest}" if rest else ""
    return f"a list of {plurals.get(first, first)}{suffix}{bounds}"


def _describe_bounds(target: Schema) -> str:
    text = ""
    if "exclusiveMinimum" in target:
        text += f", above {target['exclusiveMinimum']:g}"
    if "minimum" in target:
        text += f", at least {target['minimum']}"
    if "maximum" in target:
        text += f", at most {target['maximum']}"
    if "minLength" in target:
        text += f" of at least {target['minLength']} characters"
    if "pattern" in target:
        text += f" that matches {target['pattern']}"
    return text
