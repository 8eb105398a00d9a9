"""The command line: one module a command, all under the one program ``lentilchute``.

A module registers its command by decorator; it is loaded because ``COMMAND_MODULES`` names it.
"""

import importlib
import sys
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from .. import __version__
from ..errors import ExitCode, UserError
from .registry import registered_commands

COMMAND_MODULES = (
    "serve",
    "demo",
    "check",
    "call",
    "standin",
    "apply",
    "show",
    "history",
    "status",
    "drain",
    "operator_key",
)  # fmt: skip
"""Modules with commands, in the order of the help text."""

for _module in COMMAND_MODULES:
    importlib.import_module(f".{_module}", __name__)


@cappa.command(name="lentilchute", help="A request scheduler for unlike engines.")
@dataclass
class Root:
    """The program itself; a subcommand does the work."""

    command: Annotated[Any, cappa.Subcommand(types=registered_commands().values(), required=True)]


def main(argv: list[str] | None = None) -> None:
    """Run the command line and exit with a documented code."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: list[str]) -> int:
    """Run the command line and return its exit code.

    A ``UserError`` is printed as plain text on standard error. Wrong arguments end by
    ``SystemExit`` with ``ExitCode.USAGE``, after the usage.
    """
    try:
        code = cappa.invoke(Root, argv=argv, version=__version__, completion=False, color=False)
    except UserError as error:
        print(f"lentilchute: {error}", file=sys.stderr)
        return int(error.exit_code)
    except KeyboardInterrupt:
        return int(ExitCode.INTERRUPTED)
    return int(code or ExitCode.OK)
