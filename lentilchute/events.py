"""The catalogue of numbered log events, and the function that writes them.

Numbers are stable: an event keeps its number, and a number is never reused for another event. The
hundreds digit groups events by area. ``docs/reference/events.md`` is generated from this catalogue.
"""

import itertools
import time
import traceback
import uuid
from enum import Enum
from pathlib import Path

import eliot

from .util.lean_dataclasses import dataclass

_logger = eliot.Logger()
_process_id = str(uuid.uuid4())
_line_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class EventInfo:
    """Number and meaning of an event."""

    number: int
    meaning: str


class Event(Enum):
    """All events that nodes and commands log."""

    NODE_STARTED = EventInfo(100, "A node bound its addresses and started its roles.")
    NODE_READY = EventInfo(101, "A node has a current configuration and admits requests.")
    NODE_NOT_READY = EventInfo(
        102, "A node stopped admitting requests until it confirms its version."
    )
    NODE_STOPPING = EventInfo(103, "A planned stop began.")
    NODE_STOPPED = EventInfo(104, "A planned stop ended; the fields show whether work was cut off.")
    HANDLER_FAILED = EventInfo(
        105, "A message handler raised an exception; the node keeps running."
    )
    NODE_PAUSED = EventInfo(106, "The process was paused; its local state is treated as stale.")
    SETTINGS_RELOADED = EventInfo(107, "The settings were reloaded, and accepted or rejected.")
    REQUEST_ACCEPTED = EventInfo(200, "An entry accepted a request and submitted its ticket.")
    REQUEST_REFUSED = EventInfo(201, "A request was refused, with its outcome and reason.")
    REQUEST_DISPATCHED = EventInfo(202, "The first byte of a request was sent to an upstream.")
    REQUEST_FINISHED = EventInfo(203, "A request's complete answer was delivered.")
    REQUEST_BROKEN = EventInfo(
        204, "An answer was cut off before its end; the caller saw the failure."
    )
    STREAM_RESUMED = EventInfo(205, "A broken stream was resumed after its last event.")
    CALLER_GONE = EventInfo(206, "A caller disconnected before its answer was complete.")
    BAD_INPUT = EventInfo(207, "A connection sent input that violates the protocol.")
    ADAPTER_FAILED = EventInfo(
        208, "An upstream adapter raised an exception; the node keeps running."
    )
    STREAM_UNKNOWN = EventInfo(
        211, "A caller took up a stream of which this node cannot tell where it began."
    )
    ATTEMPT_STARTED = EventInfo(
        209, "A gateway sent a request to an upstream, with the inputs to its choice."
    )
    ATTEMPT_ENDED = EventInfo(210, "An attempt at an upstream failed, with the step that follows.")
    ROUTE_GRANTED = EventInfo(300, "A scheduler chose an upstream for a ticket, with the reasons.")
    ROUTE_REFUSED = EventInfo(301, "A scheduler refused a waiting ticket, with the reason.")
    ROUTE_SCHEDULER = EventInfo(302, "An entry chose the scheduler of a shard.")
    GRANT_DECLINED = EventInfo(303, "An entry did not use a grant.")
    UPSTREAM_ADDED = EventInfo(400, "An upstream was added to a shard.")
    UPSTREAM_LEAVING = EventInfo(401, "An upstream is leaving and receives no new work.")
    UPSTREAM_REMOVED = EventInfo(402, "An upstream was removed from a shard.")
    UPSTREAM_DECLINING = EventInfo(
        403, "An upstream became slower than its baseline or its peers, or recovered."
    )
    UPSTREAM_CRASHED = EventInfo(404, "An upstream failed with requests in flight.")
    UPSTREAM_PAUSED = EventInfo(
        407, "An upstream refused a request and asked for a pause, in seconds."
    )
    UPSTREAM_LIMITED = EventInfo(
        408,
        "An upstream named another limit on its requests a second, or none any more; the limit is "
        "empty then.",
    )
    UPSTREAM_UNREACHABLE = EventInfo(
        409, "This node could not connect to an upstream, which other nodes may still reach."
    )
    UPSTREAM_BRITTLE = EventInfo(
        412, "An upstream says that it falls over when it has to turn away many requests."
    )
    PATHS_LOST = EventInfo(
        410, "This node seems to have lost its paths to all upstreams; requests go through peers."
    )
    PATHS_BACK = EventInfo(411, "This node can connect to upstreams again.")
    POISON_VERDICT = EventInfo(
        405,
        "A request's content, or a part of its prompt, was suspected of crashing upstreams, "
        "refused, cleared, blocked or condemned.",
    )
    UPSTREAM_REPORT_FAILED = EventInfo(
        406, "An upstream's load report could not be fetched or parsed."
    )
    PEER_ALIVE = EventInfo(500, "A peer is alive.")
    PEER_SUSPECT = EventInfo(
        501, "A peer stopped sending heartbeats and is assigned no new shards."
    )
    PEER_LINK_REFUSED = EventInfo(
        502, "A peer link failed authentication or sent an invalid frame."
    )
    STREAMS_READ = EventInfo(
        525, "A starting node has read from the store where streams began before it started."
    )
    VERSIONS_READ = EventInfo(
        526,
        "A starting node has read which versions services had, and whether it can have missed any.",
    )
    PEER_LINK_SILENT = EventInfo(
        524, "Nothing arrived at a peer any more over an open connection; the link opens another."
    )
    PEER_LEAVING = EventInfo(503, "A peer announced its planned stop.")
    PEER_GONE = EventInfo(
        504, "An incarnation of a peer ended, or a later one of this node appeared."
    )
    CONFIG_IN_FORCE = EventInfo(600, "A version of a service document took effect on this node.")
    CONFIG_REJECTED = EventInfo(601, "A document was rejected and did not take effect.")
    CONFIG_APPLIED = EventInfo(602, "An operator's change was accepted.")
    CONFIG_CONFLICT = EventInfo(
        603, "An operator's change conflicted with another one and was not applied."
    )
    ROW_REJECTED = EventInfo(604, "A row of the store could not be decoded and counts as absent.")
    QUOTAS_READ = EventInfo(605, "A starting node read the recorded usage of the accounts.")
    ROLLOUT_ORDERED = EventInfo(
        610, "An operator's order to roll a software version out reached this node."
    )
    ROLLOUT_JUDGED = EventInfo(
        611, "This node learned or decided whether the version of a roll-out is good."
    )
    ROLLOUT_ENDED = EventInfo(612, "A roll-out was completed or rolled back.")
    ROLLOUT_STORED = EventInfo(
        613, "The coordinator stored the state of a roll-out, or could not store it."
    )
    CLAIM_GRANTED = EventInfo(700, "An idempotency key was claimed for a request.")
    CLAIM_REFUSED = EventInfo(701, "An idempotency key could not be claimed.")
    CLAIM_RELEASED = EventInfo(702, "A claim holder released a key whose request did not run.")
    COORDINATOR_CHOSEN = EventInfo(
        505, "A node switched to another coordinator, or became the coordinator."
    )
    COORDINATOR_SILENT = EventInfo(
        506,
        "The coordinator, or its deputy, did not place a request; the next node in the order was "
        "asked, or the node decided locally.",
    )
    COORDINATOR_LATE = EventInfo(
        507, "The coordinator falls behind with its messages and declines some requests."
    )
    DEPUTY_ASKED = EventInfo(
        508, "A node that gets no reply from the coordinator asked this one, its deputy."
    )
    OVERLOAD_BEGAN = EventInfo(520, "Requests of a service wait here for room.")
    OVERLOAD_ENDED = EventInfo(
        521,
        "No request of a service waits here any more; `lowest` names the groups of requests of "
        "which the smallest parts were placed, and the counts of callers that were told to return "
        "and came are since the node's start.",
    )
    MEMORY_SHORT = EventInfo(
        522,
        "This node refuses new requests, or gives slow readers up, for want of memory; the counts "
        "are since its start.",
    )
    MEMORY_EASED = EventInfo(523, "This node has memory for new requests again.")
    CONNECTIONS_SHORT = EventInfo(
        527,
        "A server of this node has as many connections as it may have: it turns new ones away, or "
        "closes those that have waited longest for their callers; the counts are since its start.",
    )
    CONNECTIONS_EASED = EventInfo(528, "A server of this node has places for connections again.")
    PLATFORM_DOWN = EventInfo(800, "A platform service does not respond.")
    STORE_RESTORED = EventInfo(
        802, "The store has come back from an older copy; all of it is read again."
    )
    PLATFORM_BACK = EventInfo(801, "A platform service responds again.")


def error_location(error: Exception) -> str:
    """Return the file and line that raised an error, without its text, which may quote input."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""


def log_event(event: Event, **fields: object) -> None:
    """Write one log line for ``event``.

    Fields contain ids, numbers and reasons, never a key, a prompt or a body::

        log_event(Event.ROUTE_GRANTED, request_id=grant.request_id, upstream=grant.upstream)
    """
    # ``eliot.log_message`` would make a task with an id of its own for each line. Here all lines of
    # a process are one task, in which they are numbered.
    line = {
        "message_type": f"lentilchute:{event.name.lower()}",
        "number": event.value.number,
        **fields,
        "timestamp": time.time(),
        "task_uuid": _process_id,
        "task_level": [next(_line_numbers)],
    }
    _logger.write(line)
