"""Parses YAML text to plain values, with the place of every key and value.

The nodes of the composed text are converted here and not by the YAML library, so that every
duplicate key, disallowed tag and value that JSON cannot represent is reported, not only the first.
"""

import math
import re
from dataclasses import dataclass, field

from ruamel.yaml import YAML
from ruamel.yaml.constructor import ConstructorError
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from ..errors import Finding, SourceLocation

Path = tuple[str | int, ...]
PlainValue = None | bool | int | float | str | list["PlainValue"] | dict[str, "PlainValue"]

MAX_VALUES = 100_000
"""Limit on the values in one file; an alias counts each time that it is used."""

MAX_INTEGER = 2**53
"""Larger integers lose precision in some JSON parsers."""

_TAG_PREFIX = "tag:yaml.org,2002:"
_SCALAR_TAGS = frozenset(_TAG_PREFIX + name for name in ("str", "int", "float", "bool", "null"))
_TIMESTAMP_TAG = _TAG_PREFIX + "timestamp"


@dataclass(slots=True)
class YamlTree:
    """The plain value of a file, places by path, and findings from parsing."""

    file: str
    value: PlainValue = None
    key_places: dict[Path, SourceLocation] = field(default_factory=dict)
    value_places: dict[Path, SourceLocation] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def place_of_value(self, path: Path) -> SourceLocation:
        """Return the place of the value at ``path``, or of the nearest parent with a place."""
        for end in range(len(path), -1, -1):
            place = self.value_places.get(path[:end])
            if place is not None:
                return place
        return SourceLocation(self.file, 1, 1)

    def place_of_key(self, path: Path) -> SourceLocation:
        """Return the place of the key at ``path``, or of the nearest parent with a place."""
        return self.key_places.get(path) or self.place_of_value(path)


def path_text(path: Path) -> str:
    """Format a path for messages: ``("tiers", 0, "name")`` becomes ``tiers[0].name``."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text or "file"


def read_yaml(text: str, file: str) -> YamlTree:
    """Parse one YAML document; errors become findings of the tree."""
    tree = YamlTree(file)
    yaml = YAML(typ="safe", pure=True)
    try:
        root = yaml.compose(text)
    except MarkedYAMLError as error:
        tree.findings.append(_syntax_finding(error, file))
        return tree
    except (YAMLError, ValueError) as error:
        place = _place_of_character(text, file, getattr(error, "position", 0))
        tree.findings.append(Finding(place, "file", _one_line(str(error))))
        return tree
    except RecursionError:
        tree.findings.append(Finding(SourceLocation(file, 1, 1), "file", "nested too deeply"))
        return tree
    if root is None:
        tree.findings.append(
            Finding(SourceLocation(file, 1, 1), "file", "is empty; must be a mapping")
        )
        return tree
    _TreeBuilder(tree, yaml).build(root)
    return tree


def _syntax_finding(error: MarkedYAMLError, file: str) -> Finding:
    mark = error.problem_mark or error.context_mark
    place = (
        SourceLocation(file, mark.line + 1, mark.column + 1) if mark else SourceLocation(file, 1, 1)
    )
    parts = [part for part in (error.context, error.problem) if part]
    return Finding(place, "file", "YAML syntax: " + _one_line(", ".join(parts)))


def _place_of_character(text: str, file: str, position: int) -> SourceLocation:
    before = text[:position]
    return SourceLocation(file, before.count("\n") + 1, position - (before.rfind("\n") + 1) + 1)


def _one_line(message: str) -> str:
    return re.sub(r"\s+", " ", message).strip()


def _json_problem(value: PlainValue) -> str | None:
    """Return why JSON cannot represent a scalar, or ``None``."""
    if isinstance(value, float) and not math.isfinite(value):
        return "must be a finite number"
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"must be an integer within {MAX_INTEGER} of zero"
    if isinstance(value, str) and any("\ud800" <= character <= "\udfff" for character in value):
        return "must not contain an unpaired surrogate"
    return None


class _TooManyValuesError(Exception):
    """The file has more values than ``MAX_VALUES``."""


class _TreeBuilder:
    """Converts composed nodes; fills in the tree's value, places and findings."""

    def __init__(self, tree: YamlTree, yaml: YAML) -> None:
        self._tree = tree
        self._yaml = yaml
        self._value_count = 0
        self._ancestors: set[int] = set()

    def build(self, root: Node) -> None:
        try:
            self._tree.value = self._convert(root, ())
        except _TooManyValuesError:
            self._add_finding(
                SourceLocation(self._tree.file, 1, 1), (), f"contains more than {MAX_VALUES} values"
            )

    def _convert(self, node: Node, path: Path) -> PlainValue:
        self._value_count += 1
        if self._value_count > MAX_VALUES:
            raise _TooManyValuesError
        self._tree.value_places[path] = place = self._start_of(node)
        if id(node) in self._ancestors:
            self._add_finding(place, path, "an alias must not contain itself")
            return None
        self._ancestors.add(id(node))
        try:
            return self._convert_by_type(node, path)
        finally:
            self._ancestors.discard(id(node))

    def _convert_by_type(self, node: Node, path: Path) -> PlainValue:
        if isinstance(node, MappingNode):
            return self._convert_mapping(node, path)
        if isinstance(node, SequenceNode):
            return [self._convert(item, (*path, i)) for i, item in enumerate(node.value)]
        return self._convert_scalar(node, path)

    def _convert_mapping(self, node: MappingNode, path: Path) -> PlainValue:
        plain: dict[str, PlainValue] = {}
        for key_node, value_node in node.value:
            key = self._convert_key(key_node, path)
            if key is None:
                continue
            key_path = (*path, key)
            place = self._start_of(key_node)
            if key in plain:
                first = self._tree.key_places[key_path]
                self._add_finding(
                    place, key_path, f"duplicate key; first defined on line {first.line}"
                )
                continue
            self._tree.key_places[key_path] = place
            plain[key] = self._convert(value_node, key_path)
        return plain

    def _convert_key(self, node: Node, path: Path) -> str | None:
        if isinstance(node, ScalarNode):
            return str(node.value)
        self._add_finding(self._start_of(node), path, "a key must be plain text")
        return None

    def _convert_scalar(self, node: Node, path: Path) -> PlainValue:
        if node.tag == _TIMESTAMP_TAG:
            return str(node.value)
        if node.tag not in _SCALAR_TAGS:
            self._add_finding(self._start_of(node), path, f"the tag {node.tag} is not allowed")
            return None
        try:
            value: PlainValue = self._yaml.constructor.construct_object(node, deep=True)
        except (ConstructorError, ValueError):
            self._add_finding(self._start_of(node), path, "the value does not match its tag")
            return None
        problem = _json_problem(value)
        if problem is not None:
            self._add_finding(self._start_of(node), path, problem)
            return None
        return value

    def _start_of(self, node: Node) -> SourceLocation:
        mark = node.start_mark
        return SourceLocation(self._tree.file, mark.line + 1, mark.column + 1)

    def _add_finding(self, place: SourceLocation, path: Path, message: str) -> None:
        self._tree.findings.append(Finding(place, path_text(path), message))
