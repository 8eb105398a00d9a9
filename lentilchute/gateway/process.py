"""The process of a gateway node: settings, log and signals."""

import gc
import signal
import sys

import trio
from result import Err

from ..errors import FindingsError, UserError
from ..events import Event, log_event
from ..logs import LogWriter, open_log
from ..util.checked_yaml import default_settings, load_over_defaults, read_text
from .node import GatewayNode
from .settings import GatewaySettings

DEFAULTS_FILE = "gateway_default.yaml"
SETTINGS_VARIABLE = "LENTILCHUTE_CONFIG"
COLLECTOR_THRESHOLDS = (20_000, 20, 20)
"""A generation is collected after this many new objects, or collections of the one before."""


def run_gateway(path: str) -> None:
    """Run a gateway node with the settings at ``path`` until a signal stops it.

    Raises ``UserError`` when the settings are invalid or an address cannot be bound.
    """
    settings = load_gateway_settings(path)
    log = open_log(stream=sys.stdout.buffer)
    try:
        trio.run(_serve, path, settings, log)
    except* OSError as group:
        raise UserError(f"cannot serve: {group.exceptions[0]}") from group
    finally:
        log.close()


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
    _relax_collector()
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


def _relax_collector() -> None:
    """Keep what has been loaded out of the cyclic garbage collector, and run it less often.

    Each request makes thousands of objects and few cycles. A collection here would take longer than
    it is worth: the imports leave little behind.
    """
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    gc.enable()
