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
from .registry import registered_commands

COMMANDS = {
    "serve": "Run one node.",
    "gateway": "Run one gateway node on the users' platform.",
    "demo": "Run three nodes on embedded stand-ins and show goodput by tier.",
    "check": "Check a service document or a node's settings.",
    "call": "Send a request to a service and print its answer.",
    "standin": "Serve a stand-in for the platform, an engine or a service.",
    "apply": "Make a file the next version of its service's document.",
    "show": "Print the service document in force.",
    "history": "List the accepted versions of a service document.",
    "status": "Show nodes, versions in force, upstreams and waiting work.",
    "drain": "Give an upstream no new work and wait until it is idle.",
    "explain": "Tell one request's story from the logs of gateway nodes.",
    "operator-key": "Print the operator key that belongs to node settings.",
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
        root = root_command(argv[0] if argv else "")
        code = cappa.invoke(root, argv=argv, version=__version__, completion=False, color=False)
    except UserError as error:
        print(f"lentilchute: {error}", file=sys.stderr)
        return int(error.exit_code)
    except KeyboardInterrupt:
        return int(ExitCode.INTERRUPTED)
    return int(code or ExitCode.OK)


def root_command(command: str) -> Any:
    """Return the program's own command, with the wanted subcommand loaded and the others named."""
    if command in COMMANDS:
        load_commands([command])
    types = [
        registered_commands().get(name) or _placeholder_command(name, text)
        for name, text in COMMANDS.items()
    ]

    @cappa.command(name="lentilchute", help="A request scheduler for unlike engines.")
    @dataclass
    class Root:
        """The program itself; a subcommand does the work."""

        command: Annotated[Any, cappa.Subcommand(types=types, required=True)]

    return Root


def _placeholder_command(name: str, text: str) -> type:
    """Return a command that is only there for the list of commands."""

    @cappa.command(name=name, help=text)
    @dataclass
    class Placeholder:
        """A command that is not loaded."""

    return Placeholder
