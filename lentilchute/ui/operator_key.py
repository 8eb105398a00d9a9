"""``lentilchute operator-key``: print the operator key derived from the shared key of nodes."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from result import Err

from ..errors import ExitCode, FindingsError
from ..operators.api import operator_key
from ..settings import load_settings
from .registry import register_command


@register_command("operator-key", help="Print the operator key that belongs to node settings.")
@dataclass
class OperatorKey:
    """Derives the operator key, so that operators need not hold the nodes' shared key."""

    settings: Annotated[str, cappa.Arg(help="Node settings, in YAML.")]

    def __call__(self) -> ExitCode:
        loaded = load_settings(self.settings)
        if isinstance(loaded, Err):
            raise FindingsError(loaded.err_value)
        print(operator_key(loaded.ok_value.shared_key))
        return ExitCode.OK
