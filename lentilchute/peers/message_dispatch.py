"""Gives peers' messages to the controllers that take them."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from ..events import Event, error_location, log_event
from ..ids import InstanceId

MessageHandler = Callable[[InstanceId, Any], None]
Handlers = Mapping[type[Any], list[MessageHandler]]


class Controller(Protocol):
    """One of a node's controllers."""

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        """Return the messages that this controller takes, with what takes them."""
        ...

    async def run(self) -> None:
        """Run until cancelled."""
        ...


def handlers_of(controllers: Iterable[Controller]) -> Handlers:
    """Return all message handlers by message type; a message may have several."""
    found: dict[type[Any], list[MessageHandler]] = {}
    for controller in controllers:
        for message_type, handler in controller.handlers().items():
            found.setdefault(message_type, []).append(handler)
    return found


def dispatch(handlers: Handlers, sender: InstanceId, message: Any) -> None:
    """Give a message to its handlers; one that raises stops neither the others nor the node."""
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
