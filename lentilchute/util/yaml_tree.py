"""YAML text as plain values, with the place of every key and value.

The text is composed to nodes and walked here, so that doubled keys, tags and values that JSON
cannot hold are collected as findings in place of ending at the first one.
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
Plain = None | bool | int | float | str | list["Plain"] | dict[str, "Plain"]

MAX_VALUES = 100_000
"""Keys and values in one file; aliases count each time they are used."""

MAX_INTEGER = 2**53
"""Larger integers do not survive every JSON reader."""

_TAG_PREFIX = "tag:yaml.org,2002:"
_SCALAR_TAGS = frozenset(_TAG_PREFIX + name for name in ("str", "int", "float", "bool", "null"))
_TIMESTAMP_TAG = _TAG_PREFIX + "timestamp"


@dataclass(slots=True)
class YamlTree:
    """The plain value of a file, places by path, and what was found while reading."""

    file: str
    value: Plain = None
    key_places: dict[Path, SourceLocation] = field(default_factory=dict)
    value_places: dict[Path, SourceLocation] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def place_of_value(self, path: Path) -> SourceLocation:
        """Return the place of the value at ``path``, or of the nearest part that holds it."""
        for end in range(len(path), -1, -1):
            place = self.value_places.get(path[:end])
            if place is not None:
                return place
        return SourceLocation(self.file, 1, 1)

    def place_of_key(self, path: Path) -> SourceLocation:
        """Return the place of the key at ``path``, or of the nearest part that holds it."""
        return self.key_places.get(path) or self.place_of_value(path)


def path_text(path: Path) -> str:
    """Return a path as a reader writes it: ``path_text(("tiers", 0, "name"))``: tiers[0].name."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text or "file"


def read_yaml(text: str, file: str) -> YamlTree:
    """Parse one YAML document; faults are in the tree's findings."""
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
            Finding(SourceLocation(file, 1, 1), "file", "is empty; a mapping is needed")
        )
        return tree
    _Walk(tree, yaml).run(root)
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


def _not_in_json(value: Plain) -> str | None:
    """Say why JSON cannot carry a scalar, or return ``None``."""
    if isinstance(value, float) and not math.isfinite(value):
        return "must be a finite number"
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"must be an integer within {MAX_INTEGER} of zero"
    if isinstance(value, str) and any("\ud800" <= letter <= "\udfff" for letter in value):
        return "must not hold half of a surrogate pair"
    return None


class _TooManyValuesError(Exception):
    """The walk met more values than a file may hold."""


class _Walk:
    """One walk over composed nodes; fills the tree's value, places and findings."""

    def __init__(self, tree: YamlTree, yaml: YAML) -> None:
        self._tree = tree
        self._yaml = yaml
        self._values = 0
        self._open: set[int] = set()

    def run(self, root: Node) -> None:
        try:
            self._tree.value = self._plain(root, ())
        except _TooManyValuesError:
            self._find(
                SourceLocation(self._tree.file, 1, 1), (), f"holds more than {MAX_VALUES} values"
            )

    def _plain(self, node: Node, path: Path) -> Plain:
        self._values += 1
        if self._values > MAX_VALUES:
            raise _TooManyValuesError
        self._tree.value_places[path] = place = self._place(node)
        if id(node) in self._open:
            self._find(place, path, "an alias must not contain itself")
            return None
        self._open.add(id(node))
        try:
            return self._by_kind(node, path)
        finally:
            self._open.discard(id(node))

    def _by_kind(self, node: Node, path: Path) -> Plain:
        if isinstance(node, MappingNode):
            return self._mapping(node, path)
        if isinstance(node, SequenceNode):
            return [self._plain(item, (*path, i)) for i, item in enumerate(node.value)]
        return self._scalar(node, path)

    def _mapping(self, node: MappingNode, path: Path) -> Plain:
        plain: dict[str, Plain] = {}
        for key_node, value_node in node.value:
            key = self._key(key_node, path)
            if key is None:
                continue
            key_path = (*path, key)
            place = self._place(key_node)
            if key in plain:
                first = self._tree.key_places[key_path]
                self._find(place, key_path, f"doubled key; first given on line {first.line}")
                continue
            self._tree.key_places[key_path] = place
            plain[key] = self._plain(value_node, key_path)
        return plain

    def _key(self, node: Node, path: Path) -> str | None:
        if isinstance(node, ScalarNode):
            return str(node.value)
        self._find(self._place(node), path, "a key must be plain text")
        return None

    def _scalar(self, node: Node, path: Path) -> Plain:
        if node.tag == _TIMESTAMP_TAG:
            return str(node.value)
        if node.tag not in _SCALAR_TAGS:
            self._find(self._place(node), path, f"the tag {node.tag} is not allowed")
            return None
        try:
            value: Plain = self._yaml.constructor.construct_object(node, deep=True)
        except (ConstructorError, ValueError):
            self._find(self._place(node), path, "the value does not fit its tag")
            return None
        problem = _not_in_json(value)
        if problem is not None:
            self._find(self._place(node), path, problem)
            return None
        return value

    def _place(self, node: Node) -> SourceLocation:
        mark = node.start_mark
        return SourceLocation(self._tree.file, mark.line + 1, mark.column + 1)

    def _find(self, place: SourceLocation, path: Path, message: str) -> None:
        self._tree.findings.append(Finding(place, path_text(path), message))
