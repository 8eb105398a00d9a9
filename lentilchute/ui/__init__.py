"""The command line ``lentilchute``, with one module per subcommand.

Each module registers its command with a decorator. Only the module of the requested command is
imported, so that a node does not load code that it never uses.
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
    "check": "Check a service document, a node's settings or a configuration.",
    "call": "Send a request to a service and print its answer.",
    "standin": "Serve a stand-in for the platform, an engine or a service.",
    "apply": "Make a file the next version of its service's document.",
    "show": "Print the service document in force.",
    "history": "List the accepted versions of a service document.",
    "status": "Show nodes, versions in force, upstreams and queued work.",
    "drain": "Stop assigning new work to an upstream and wait until it is idle.",
    "explain": "Show one request's timeline and cause from the logs of gateway nodes.",
    "operator-key": "Print the operator key that belongs to node settings.",
}
"""All commands with their help texts, in the order in which ``--help`` lists them."""


def load_commands(names: list[str] | None = None) -> None:
    """Import the modules of the named commands, or of all commands."""
    for name in COMMANDS if names is None else names:
        importlib.import_module(f".{name.replace('-', '_')}", __name__)


def main(argv: list[str] | None = None) -> None:
    """Run the command line and exit with one of the documented ``ExitCode`` values."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: list[str]) -> int:
    """Run the command line and return its exit code.

    A ``UserError`` is printed as plain text on standard error. Wrong arguments print the usage and
    raise ``SystemExit`` with ``ExitCode.USAGE``.
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
    """Return the root command, with ``command`` loaded and placeholders for other subcommands."""
    if command in COMMANDS:
        load_commands([command])
    types = [
        registered_commands().get(name) or _placeholder_command(name, text)
        for name, text in COMMANDS.items()
    ]

    @cappa.command(name="lentilchute", help="A request scheduler for unlike engines.")
    @dataclass
    class Root:
        """The program, which only dispatches to a subcommand."""

        command: Annotated[Any, cappa.Subcommand(types=types, required=True)]

    return Root


def _placeholder_command(name: str, text: str) -> type:
    """Return a command that only appears in the list of commands."""

    @cappa.command(name=name, help=text)
    @dataclass
    class Placeholder:
        """A command whose module is not imported."""

    return Placeholder
