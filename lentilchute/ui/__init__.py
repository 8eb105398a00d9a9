"""The command line: one module a command, all under the one program ``lentilchute``.

A module registers its command by decorator. Only the module of the command that was asked for is
imported, so that a node does not load what it never uses.
"""

import importlib
import sys
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from .. import __version__
from ..errors import ExitCode, UserError
from .registry import register_command, registered_commands

COMMANDS = {
    "serve": "Run one node.",
    "gateway": "Run one gateway node on the users' platform.",
    "demo": "Run a small deployment in one process.",
    "check": "Check documents or settings and print all findings.",
    "call": "Call a service.",
    "standin": "Run a stand-in for an outside system.",
    "apply": "Make a document known to all nodes.",
    "show": "Show the document in force.",
    "history": "Show the versions of a document.",
    "status": "Show what the nodes see.",
    "drain": "Take an upstream out of service.",
    "operator-key": "Print the key for the operators' interface.",
}
"""All commands with their help texts, in the order of the program's own help."""


def load_commands(names: list[str] | None = None) -> None:
    """Import the modules of the named commands, or of all."""
    for name in COMMANDS if names is None else names:
        importlib.import_module(f".{name.replace('-', '_')}", __name__)


def main(argv: list[str] | None = None) -> None:
    """Run the command line and exit with a documented code."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: list[str]) -> int:
    """Run the command line and return its exit code.

    A ``UserError`` is printed as plain text on standard error. Wrong arguments end by
    ``SystemExit`` with ``ExitCode.USAGE``, after the usage.
    """
    try:
        root = _root(argv[0] if argv else "")
        code = cappa.invoke(root, argv=argv, version=__version__, completion=False, color=False)
    except UserError as error:
        print(f"lentilchute: {error}", file=sys.stderr)
        return int(error.exit_code)
    except KeyboardInterrupt:
        return int(ExitCode.INTERRUPTED)
    return int(code or ExitCode.OK)


def _root(command: str) -> Any:
    """Return the program's own command, with the wanted subcommand loaded and the others named."""
    if command in COMMANDS:
        load_commands([command])
    types = [
        registered_commands().get(name) or _named(name, text) for name, text in COMMANDS.items()
    ]

    @cappa.command(name="lentilchute", help="A request scheduler for unlike engines.")
    @dataclass
    class Root:
        """The program itself; a subcommand does the work."""

        command: Annotated[Any, cappa.Subcommand(types=types, required=True)]

    return Root


def _named(name: str, text: str) -> type:
    """Return a command that is only there for the list of commands."""

    @cappa.command(name=name, help=text)
    @dataclass
    class Named:
        """A command that is not loaded."""

    return Named


__all__ = ["COMMANDS", "load_commands", "main", "register_command", "run"]
