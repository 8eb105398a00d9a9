"""``lentilchute gateway``: run one gateway node until a signal stops it."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from ..errors import ExitCode
from ..gateway.process import SETTINGS_VARIABLE, run_gateway
from .registry import register_command


@register_command("gateway", help="Run one gateway node on the users' platform.")
@dataclass
class Gateway:
    """Forwards requests on declared routes.

    SIGTERM and SIGINT start a planned stop; SIGHUP reloads the settings.
    """

    settings: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(SETTINGS_VARIABLE),
            help="Settings of the node, in YAML; default: the file named in LENTILCHUTE_CONFIG.",
        ),
    ]

    def __call__(self) -> ExitCode:
        run_gateway(self.settings)
        return ExitCode.OK
