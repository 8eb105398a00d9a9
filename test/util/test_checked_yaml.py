"""Tests that all errors of a YAML file are reported at once, with their places."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import BaseModel
from result import Err, Ok
from sample_files import DOCUMENT, SETTINGS

from lentilchute.document import ServiceDocument, load_document
from lentilchute.settings import NodeSettings, load_settings
from lentilchute.util.checked_yaml import MAX_FILE_BYTES, default_settings, load_file, load_text


def findings_of(text: str) -> list[str]:
    result = load_document(text, "f.yaml")
    assert isinstance(result, Err)
    return [str(finding) for finding in result.err_value]


def test_a_valid_document_loads() -> None:
    assert isinstance(load_document(DOCUMENT, "f.yaml"), Ok)


def test_all_findings_are_reported_with_place_key_and_allowed_values() -> None:
    text = DOCUMENT.replace("engine", "motor").replace(
        "    selector", "    max_streams: 0\n    selectr"
    )
    text = text.replace("  - name: bulk", "  - name: bulk\n    max_waitin: 5\n    name: again")
    assert findings_of(text) == [
        "f.yaml:3:11: upstreams[0].kind: must be one of: engine, plain",
        "f.yaml:4:18: upstreams[0].max_streams: must be an integer, at least 1, at most 4096",
        "f.yaml:5:5: upstreams[0].selectr: unknown key (did you mean selector?); allowed: kind, "
        "fencing, reports_load, selector, members, hardware, max_streams, max_prompt_tokens, "
        "initial_prefill_tokens_per_s, initial_decode_tokens_per_s, cache_tokens",
        "f.yaml:9:5: tiers[1].max_waitin: unknown key (did you mean max_waiting?); allowed: name, "
        "default_deadline_s, max_deadline_s, max_waiting, reserved_share, floor_share",
        "f.yaml:10:5: tiers[1].name: duplicate key; first defined on line 8",
    ]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("name: bulk", "name: top", "f.yaml:7:11: tiers[1].name: tier named twice: top"),
        (
            "name: sfax",
            "name: sfax\n    highest_tier: high",
            "f.yaml:10:19: client_accounts[0].highest_tier: no tier is named high; "
            "allowed: top, bulk",
        ),
        ("name: sfax", "nom: [", "f.yaml:11:1: file: YAML syntax: "),
        ("name: sfax", "name: 5", "f.yaml:9:11: client_accounts[0].name: must be a text "),
        ("kind: engine", "kind: !x engine", "f.yaml:3:11: upstreams[0].kind: the tag !x is not"),
        (
            "name: top",
            "name: top\n    floor_share: .nan",
            "f.yaml:7:18: tiers[0].floor_share: must be a finite",
        ),
        (
            "name: top",
            "name: top\n    default_deadline_s: 9000",
            "f.yaml:7:25: tiers[0].default_deadline_s: must not be above max_deadline_s, which is",
        ),
        ("service: drafts\n", "", "f.yaml:1:1: service: a required key is missing; give a text"),
    ],
)
def test_each_kind_of_error_is_reported_with_its_place(old: str, new: str, expected: str) -> None:
    findings = findings_of(DOCUMENT.replace(old, new))
    assert any(finding.startswith(expected) for finding in findings), findings


@pytest.mark.parametrize(
    "text", ["", "- a", "text", "&a [*a]", "a: &a {b: *a}", "[" * 20_000, "a: \x00", '"\\ud800": 1']
)
def test_anything_but_a_mapping_of_plain_values_is_a_finding(text: str) -> None:
    assert findings_of(text)


def test_nested_aliases_are_limited_in_their_expanded_size() -> None:
    lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"]
    lines += [f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 10)}]" for i in range(1, 12)]
    assert "contains more than" in findings_of("\n".join(lines))[0]


def test_unreadable_oversized_and_non_utf8_files_are_findings(tmp_path: Path) -> None:
    absent = load_file(str(tmp_path / "absent"), ServiceDocument)
    assert "cannot be read" in absent.unwrap_err()[0].message
    path = tmp_path / "f.yaml"
    path.write_bytes(b"#" * (MAX_FILE_BYTES + 1))
    assert "is larger than" in load_file(str(path), ServiceDocument).unwrap_err()[0].message
    path.write_bytes(b"service: x\nab\xff")
    (finding,) = load_file(str(path), ServiceDocument).unwrap_err()
    assert (finding.location.line, finding.location.column) == (2, 3)
    assert "is not UTF-8" in finding.message


@given(st.text(alphabet=" \n\t:-[]{}&*!'\"\\#|>%@`,?abx019.\x00\x85\ud800é", max_size=60))
def test_any_text_gives_findings_and_no_exception(text: str) -> None:
    assert load_text(text, "f.yaml", ServiceDocument).is_err()


def test_settings_are_merged_over_the_packaged_defaults(tmp_path: Path) -> None:
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    settings = load_settings(str(path)).unwrap()
    assert settings.entry.max_connections == 7
    assert settings.entry.max_header_bytes == 32_768


def leaves(model: BaseModel, prefix: str = "") -> dict[str, object]:
    """Return the values of a model by dotted path."""
    found: dict[str, object] = {}
    for name in type(model).model_fields:
        value = getattr(model, name)
        if isinstance(value, BaseModel):
            found |= leaves(value, f"{prefix}{name}.")
        else:
            found[prefix + name] = value
    return found


def test_packaged_defaults_list_every_optional_key_and_equal_the_model_defaults(
    tmp_path: Path,
) -> None:
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS.replace("entry:\n  max_connections: 7\n", ""))
    loaded = load_settings(str(path)).unwrap()
    by_models = NodeSettings(
        instance=loaded.instance,
        availability_zone=loaded.availability_zone,
        listen=loaded.listen,
        platform={
            name: getattr(loaded.platform, name) for name in ("table", "objects", "instances")
        },
        shared_key=loaded.shared_key,
    )
    assert leaves(loaded) == leaves(by_models)
    required = {"instance", "availability_zone", "shared_key", "peers"}
    required |= {f"listen.{name}" for name in ("callers", "peers", "operators")}
    required |= {f"platform.{name}" for name in ("table", "objects", "instances")}
    listed = set(flat(default_settings()))
    assert listed == set(leaves(by_models)) - required


def flat(values: dict[str, object], prefix: str = "") -> list[str]:
    """Return the dotted paths of the plain values in a mapping."""
    paths: list[str] = []
    for key, value in values.items():
        paths += flat(value, f"{prefix}{key}.") if isinstance(value, dict) else [prefix + key]
    return paths
