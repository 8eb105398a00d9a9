"""Registry of subcommands, filled by a decorator.

A command is a dataclass: its fields are the arguments, ``__call__`` runs it. It returns an
``ExitCode`` and raises ``UserError`` for errors that the user can act on::

    @register_command("check", help="Check a file.")
    @dataclass
    class Check:
        file: str

        def __call__(self) -> ExitCode: ...
"""

from collections.abc import Callable
from typing import TypeVar

import cappa

Command = TypeVar("Command")

_commands: dict[str, type] = {}


def register_command(name: str, *, help: str) -> Callable[[type[Command]], type[Command]]:
    """Register a dataclass as the subcommand ``name``; its docstring describes the command."""

    def add(command: type[Command]) -> type[Command]:
        wrapped = cappa.command(command, name=name, help=help)
        _commands[name] = wrapped
        return wrapped

    return add


def registered_commands() -> dict[str, type]:
    """Return all registered commands by name, in registration order."""
    return dict(_commands)
