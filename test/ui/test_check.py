"""Tests of the command line's common parts and of ``lentilchute check``."""

import json
import re
import subprocess
import sys
from pathlib import Path

import cappa
import pytest

from lentilchute import ui
from lentilchute.errors import ExitCode, UserError
from lentilchute.ui import check
from lentilchute.ui.registry import registered_commands

ROOT = Path(__file__).parents[2]
BROKEN = "service: Drafts\nupstream: 1\n"


def test_findings_are_printed_one_per_line_with_a_failure_exit_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "f.yaml"
    path.write_text(BROKEN)
    assert ui.run(["check", str(path)]) == ExitCode.FAILED
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith(f"{path}:1:1: ")
    assert any(line.startswith(f"{path}:2:1: upstream: unknown key") for line in lines)


def test_json_findings_carry_place_and_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "f.yaml"
    path.write_text(BROKEN)
    assert ui.run(["check", "--json", str(path)]) == ExitCode.FAILED
    findings = json.loads(capsys.readouterr().out)["findings"]
    place = {"file": str(path), "line": 1, "column": 10, "key": "service"}
    assert place in [{key: finding[key] for key in place} for finding in findings]


def test_settings_are_detected_by_their_keys(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "n.yaml"
    path.write_text("instance: a\n")
    assert ui.run(["check", str(path)]) == ExitCode.FAILED
    assert "shared_key: a required key is missing" in capsys.readouterr().out


def test_a_user_error_is_one_plain_line_on_standard_error(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fail(file: str, kind: object) -> None:
        raise UserError("the node is away")

    monkeypatch.setattr(check, "check_file", fail)
    assert ui.run(["check", "x"]) == ExitCode.FAILED
    assert capsys.readouterr().err == "lentilchute: the node is away\n"


def test_wrong_arguments_exit_with_the_usage_code() -> None:
    with pytest.raises(SystemExit) as caught:
        ui.run(["no-such-command"])
    assert caught.value.code == ExitCode.USAGE


def test_the_commands_page_lists_every_command_and_exit_code() -> None:
    page = (ROOT / "docs/reference/commands.md").read_text()
    codes = {int(code) for code in re.findall(r"^\| (\d+) \|", page, re.MULTILINE)}
    assert codes == {int(code) for code in ExitCode}
    names = set(re.findall(r"^## lentilchute ([a-z-]+)", page, re.MULTILINE))
    assert names == set(ui.COMMANDS)


def test_the_command_list_matches_the_help_texts_of_the_commands() -> None:
    ui.load_commands()
    helps = {name: cappa.Command.get(kind).help for name, kind in registered_commands().items()}
    assert helps == ui.COMMANDS


def test_help_imports_no_command() -> None:
    code = "import sys; from lentilchute import ui; ui.run(['--help'])"
    probe = f"import atexit, sys; atexit.register(lambda: print('trio' in sys.modules)); {code}"
    done = subprocess.run([sys.executable, "-c", probe], capture_output=True, text=True)
    assert "Run one node." in done.stdout
    assert done.stdout.rstrip().endswith("False")
