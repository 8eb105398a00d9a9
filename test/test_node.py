"""Tests of the dispatch of messages to a node's controllers."""

from typing import Any

import eliot

from lentilchute.events import Event
from lentilchute.ids import InstanceId, ServiceName
from lentilchute.node import dispatch
from lentilchute.scheduler.messages import SchedulerAck


def test_a_handler_that_raises_is_logged_and_does_not_stop_other_handlers() -> None:
    logged: list[dict[str, Any]] = []
    destination = logged.append
    eliot.add_destinations(destination)
    handled: list[object] = []

    def fails(sender: InstanceId, message: object) -> None:
        raise KeyError("secret words of a caller")

    message = SchedulerAck(ServiceName("drafts"))
    handlers = {SchedulerAck: [fails, lambda sender, one: handled.append(one)]}
    dispatch(handlers, InstanceId("entry-2"), message)
    eliot.remove_destination(destination)
    assert handled == [message]
    failures = [line for line in logged if line.get("number") == Event.HANDLER_FAILED.value.number]
    assert failures[0]["error"] == "KeyError"
    assert failures[0]["place"].startswith("test_node.py:")
    assert "secret" not in str(failures)
