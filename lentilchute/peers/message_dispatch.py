"""Dispatches messages from peers to the controllers that handle them."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from ..events import Event, error_location, log_event
from ..ids import InstanceId

MessageHandler = Callable[[InstanceId, Any], None]
Handlers = Mapping[type[Any], list[MessageHandler]]


class Controller(Protocol):
    """A component of a node that handles messages and runs in the background."""

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        """Return the message types that this controller handles, each with its handler."""
        ...

    async def run(self) -> None:
        """Run until cancelled."""
        ...


def handlers_of(controllers: Iterable[Controller]) -> Handlers:
    """Return the handlers of all controllers by message type; a type may have several."""
    found: dict[type[Any], list[MessageHandler]] = {}
    for controller in controllers:
        for message_type, handler in controller.handlers().items():
            found.setdefault(message_type, []).append(handler)
    return found


def dispatch(handlers: Handlers, sender: InstanceId, message: Any) -> None:
    """Call the handlers of a message; an exception in one is logged and the others still run."""
    for handler in handlers.get(type(message), []):
        try:
            handler(sender, message)
        except Exception as error:
            log_event(
                Event.HANDLER_FAILED,
                sender=sender,
                message_class=type(message).__name__,
                error=type(error).__name__,
                place=error_location(error),
            )
