"""``lentilchute gateway``: run one gateway node until a signal stops it."""

import signal
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
import trio
from result import Err

from ..errors import ExitCode, FindingsError, UserError
from ..events import Event, log_event
from ..gateway.node import GatewayNode
from ..gateway.settings import GatewaySettings
from ..logs import LogWriter, open_log
from ..util.checked_yaml import default_settings, load_over_defaults, read_text
from .registry import register_command

DEFAULTS_FILE = "gateway_default.yaml"
SETTINGS_VARIABLE = "LENTILCHUTE_CONFIG"


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
        settings = load_gateway_settings(self.settings)
        log = open_log(stream=sys.stdout.buffer)
        try:
            trio.run(_serve, self.settings, settings, log)
        except* OSError as group:
            raise UserError(f"cannot serve: {group.exceptions[0]}") from group
        finally:
            log.close()
        return ExitCode.OK


def load_gateway_settings(path: str) -> GatewaySettings:
    """Return the settings of a gateway node. Raises ``FindingsError`` with all findings."""
    defaults = default_settings("lentilchute.gateway", DEFAULTS_FILE)
    loaded = read_text(path).and_then(
        lambda text: load_over_defaults(text, path, GatewaySettings, defaults)
    )
    if isinstance(loaded, Err):
        raise FindingsError(loaded.err_value)
    return loaded.ok_value


async def _serve(path: str, settings: GatewaySettings, log: LogWriter) -> None:
    node = GatewayNode(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        nursery.start_soon(_handle_signals, path, node)
        await node.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(path: str, node: GatewayNode) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                node.stop()
                continue
            try:
                node.apply_settings(load_gateway_settings(path))
            except UserError as error:
                log_event(Event.SETTINGS_RELOADED, ok=False, error=str(error))
