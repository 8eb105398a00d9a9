"""Validates YAML files against models and reports all findings at once, with their places.

result = load_text(text, "lentil-drafters.yaml", ServiceDocument)
if isinstance(result, Err):
    for finding in result.err_value:
        print(finding)
"""

import difflib
import json
from importlib import resources
from typing import Any, TypeVar

from pydantic import ValidationError
from result import Err, Ok, Result

from ..errors import Finding, SourceLocation
from .config_model import ConfigModel, CrossFieldError
from .schema import Schema, describe, schema_at, schema_of
from .yaml_tree import Path, PlainValue, YamlTree, path_text, read_yaml

MAX_FILE_BYTES = 1024 * 1024
PACKAGE = "lentilchute"
DEFAULTS_FILE = "config_default.yaml"

Model = TypeVar("Model", bound=ConfigModel)


def load_text(text: str, file: str, model: type[Model]) -> Result[Model, list[Finding]]:
    """Validate ``text`` against ``model``; ``file`` is the file name in findings."""
    return _validate(read_bounded(text, file), model)


def load_file(path: str, model: type[Model]) -> Result[Model, list[Finding]]:
    """Validate the file at ``path`` against ``model``."""
    return read_text(path).and_then(lambda text: load_text(text, path, model))


def load_over_defaults(
    text: str, file: str, model: type[Model], defaults: dict[str, PlainValue]
) -> Result[Model, list[Finding]]:
    """Validate ``text``, merged over ``defaults``, against ``model``."""
    tree = read_bounded(text, file)
    if isinstance(tree.value, dict):
        tree.value = merge_mappings(defaults, tree.value)
    return _validate(tree, model)


def default_settings(package: str = PACKAGE, file: str = DEFAULTS_FILE) -> dict[str, PlainValue]:
    """Return the packaged defaults as plain values."""
    text = resources.files(package).joinpath(file).read_text("utf-8")
    value = read_yaml(text, file).value
    assert isinstance(value, dict)
    return value


def merge_mappings(
    base: dict[str, PlainValue], override: dict[str, PlainValue]
) -> dict[str, PlainValue]:
    """Return ``base`` with the values of ``override``; nested mappings are merged."""
    merged = dict(base)
    for key, value in override.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[key] = merge_mappings(base_value, value)
        else:
            merged[key] = value
    return merged


def read_text(path: str) -> Result[str, list[Finding]]:
    """Read a UTF-8 file of limited size; errors are returned as findings."""
    try:
        with open(path, "rb") as file:
            body = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or type(error).__name__
        return Err([Finding(SourceLocation(path, 1, 1), "file", f"cannot be read: {reason}")])
    if len(body) > MAX_FILE_BYTES:
        return Err([_too_large(path)])
    try:
        return Ok(body.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        return Err([_not_utf8(path, body, error.start)])


def read_bounded(text: str, file: str) -> YamlTree:
    """Parse untrusted text: its size is checked first."""
    if len(text.encode("utf-8", "surrogatepass")) > MAX_FILE_BYTES:
        return YamlTree(file, findings=[_too_large(file)])
    return read_yaml(text, file)


def _too_large(file: str) -> Finding:
    return Finding(SourceLocation(file, 1, 1), "file", f"is larger than {MAX_FILE_BYTES} bytes")


def _not_utf8(path: str, body: bytes, position: int) -> Finding:
    before = body[:position]
    column = position - (before.rfind(b"\n") + 1) + 1
    location = SourceLocation(path, before.count(b"\n") + 1, column)
    return Finding(location, "file", f"is not UTF-8 at byte {position}")


def _validate(tree: YamlTree, model: type[Model]) -> Result[Model, list[Finding]]:
    """Validate a tree; findings from parsing and from the model are reported together."""
    findings = list(tree.findings)
    if tree.value is None and findings:
        return Err(findings)
    if not isinstance(tree.value, dict):
        return Err([*findings, Finding(tree.place_of_value(()), "file", "must be a mapping")])
    try:
        # Strict JSON mode checks types, but still accepts lists for tuples and strings for enums.
        value = model.model_validate_json(json.dumps(tree.value), strict=True)
    except ValidationError as error:
        findings.extend(_model_findings(error, tree, schema_of(model)))
    else:
        if not findings:
            return Ok(value)
    return Err(_in_file_order(findings))


def _in_file_order(findings: list[Finding]) -> list[Finding]:
    """Sort by place; keep only the first finding for each place and key."""
    by_place: dict[tuple[int, int, str], Finding] = {}
    for finding in findings:
        by_place.setdefault((finding.location.line, finding.location.column, finding.key), finding)
    return [by_place[key] for key in sorted(by_place)]


def _model_findings(error: ValidationError, tree: YamlTree, schema: Schema) -> list[Finding]:
    findings = []
    details = error.errors(include_input=False, include_url=False)
    paths = [tuple(detail["loc"]) for detail in details]
    for detail, path in zip(details, paths, strict=True):
        if detail["type"] == "too_short" and _has_nested_error(path, paths):
            # Pydantic counts only valid items here; the invalid ones have findings of their own.
            continue
        cause = detail.get("ctx", {}).get("error")
        if isinstance(cause, CrossFieldError):
            findings.extend(_part_problem_findings(cause, path, tree))
        else:
            findings.append(_error_finding(detail["type"], detail["msg"], path, tree, schema))
    return findings


def _has_nested_error(path: Path, paths: list[Path]) -> bool:
    return any(len(other) > len(path) and other[: len(path)] == path for other in paths)


def _part_problem_findings(cause: CrossFieldError, base: Path, tree: YamlTree) -> list[Finding]:
    findings = []
    for problem in cause.problems:
        path = (*base, *problem.path)
        location = tree.place_of_value(path)
        findings.append(Finding(location, path_text(path), problem.message))
    return findings


def _error_finding(kind: str, message: str, path: Path, tree: YamlTree, schema: Schema) -> Finding:
    key = path_text(path)
    if kind == "extra_forbidden":
        allowed = _allowed_keys(schema, path[:-1])
        return Finding(tree.place_of_key(path), key, _unknown_key(str(path[-1]), allowed))
    if kind == "missing":
        target = schema_at(schema, path)
        needed = f"; give {describe(schema, target)}" if target is not None else ""
        return Finding(tree.place_of_value(path[:-1]), key, f"a required key is missing{needed}")
    if kind == "value_error":
        return Finding(tree.place_of_value(path), key, message.removeprefix("Value error, "))
    target = schema_at(schema, path)
    allowed_value = describe(schema, target) if target is not None else message
    quotes = " (quote numbers and booleans)" if kind == "string_type" else ""
    return Finding(tree.place_of_value(path), key, f"must be {allowed_value}{quotes}")


def _allowed_keys(schema: Schema, path: Path) -> list[str]:
    parent: Any = schema_at(schema, path) or {}
    return list(parent.get("properties", {}))


def _unknown_key(key: str, allowed: list[str]) -> str:
    close_matches = difflib.get_close_matches(key, allowed, n=1)
    hint = f" (did you mean {close_matches[0]}?)" if close_matches else ""
    return f"unknown key{hint}; allowed: {', '.join(allowed)}"
