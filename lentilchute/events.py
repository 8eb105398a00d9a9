"""The catalogue of numbered log events, and the one function that writes them.

Numbers are stable: an event keeps its number for good, and a number is never given to another
event. The hundreds group events by area. ``docs/reference/events.md`` is generated from this
catalogue.
"""

import traceback
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import eliot


@dataclass(frozen=True, slots=True)
class EventInfo:
    """Number and meaning of an event."""

    number: int
    meaning: str


class Event(Enum):
    """All events that a node or a command logs."""

    NODE_STARTED = EventInfo(100, "A node bound its addresses and runs its roles.")
    NODE_READY = EventInfo(101, "A node knows its configuration and admits requests.")
    NODE_NOT_READY = EventInfo(102, "A node stopped admitting requests until it knows its version.")
    NODE_STOPPING = EventInfo(103, "A planned stop began.")
    NODE_STOPPED = EventInfo(104, "A planned stop ended; the fields say whether work was cut.")
    HANDLER_FAILED = EventInfo(105, "A message's handler raised an error; the node goes on.")
    NODE_PAUSED = EventInfo(
        106, "The process did not run for a while; its knowledge counts as old."
    )
    SETTINGS_RELOADED = EventInfo(107, "The settings were read again, and taken or rejected.")
    REQUEST_ACCEPTED = EventInfo(200, "An entry accepted a request and submitted its ticket.")
    REQUEST_REFUSED = EventInfo(201, "A request got a refusal, with its outcome and reason.")
    REQUEST_DISPATCHED = EventInfo(202, "The first byte of a request went to an upstream.")
    REQUEST_FINISHED = EventInfo(203, "A request's whole answer was delivered.")
    REQUEST_BROKEN = EventInfo(204, "An answer could not be completed; the caller saw it broken.")
    STREAM_RESUMED = EventInfo(205, "A broken stream was taken up again after its last event.")
    CALLER_GONE = EventInfo(206, "A caller left before its answer was complete.")
    BAD_INPUT = EventInfo(207, "A connection sent input that the protocol does not allow.")
    ADAPTER_FAILED = EventInfo(208, "An upstream adapter raised an error; the node goes on.")
    ATTEMPT_STARTED = EventInfo(209, "A gateway sent a request upstream, with what decided it.")
    ATTEMPT_ENDED = EventInfo(210, "An attempt at an upstream failed, with what follows from it.")
    ROUTE_GRANTED = EventInfo(300, "A scheduler chose an upstream for a ticket, with its reasons.")
    ROUTE_REFUSED = EventInfo(301, "A scheduler refused a waiting ticket, with its reason.")
    ROUTE_SCHEDULER = EventInfo(302, "An entry chose the scheduler of a shard.")
    GRANT_DECLINED = EventInfo(303, "An entry did not use a grant.")
    UPSTREAM_ADDED = EventInfo(400, "An upstream was added to a shard.")
    UPSTREAM_LEAVING = EventInfo(401, "An upstream is leaving and gets no new work.")
    UPSTREAM_REMOVED = EventInfo(402, "An upstream was removed from a shard.")
    UPSTREAM_DECLINING = EventInfo(
        403, "An upstream fell behind its past or its peers, or has recovered."
    )
    UPSTREAM_CRASHED = EventInfo(404, "An upstream failed with requests in flight.")
    POISON_VERDICT = EventInfo(405, "A request's content was suspected, cleared or condemned.")
    UPSTREAM_REPORT_FAILED = EventInfo(406, "An upstream's load report could not be read.")
    PEER_ALIVE = EventInfo(500, "A peer was seen alive.")
    PEER_SUSPECT = EventInfo(501, "A peer has been silent and gets no new shard.")
    PEER_LINK_REFUSED = EventInfo(502, "A peer link failed its authentication or its framing.")
    PEER_LEAVING = EventInfo(503, "A peer announced its planned stop.")
    PEER_GONE = EventInfo(504, "A run of a peer ended, or a later run of this node was seen.")
    CONFIG_IN_FORCE = EventInfo(600, "A version of a service document came into force here.")
    CONFIG_REJECTED = EventInfo(601, "A document was not taken into force.")
    CONFIG_APPLIED = EventInfo(602, "An operator's change was accepted.")
    CONFIG_CONFLICT = EventInfo(603, "An operator's change lost against another one.")
    ROW_REJECTED = EventInfo(604, "A row of the store could not be read; it names nothing to use.")
    QUOTAS_READ = EventInfo(605, "A node that starts read what accounts have used.")
    CLAIM_GRANTED = EventInfo(700, "An idempotency key was claimed for a request.")
    CLAIM_REFUSED = EventInfo(701, "An idempotency key could not be claimed.")
    CLAIM_RELEASED = EventInfo(702, "A claimant released a key whose request did not run.")
    COORDINATOR_CHOSEN = EventInfo(505, "A node sees another coordinator, or became it.")
    COORDINATOR_SILENT = EventInfo(
        506, "The coordinator did not decide about a request; the node decided itself."
    )
    PLATFORM_DOWN = EventInfo(800, "A platform service does not answer.")
    PLATFORM_BACK = EventInfo(801, "A platform service answers again.")


def error_location(error: Exception) -> str:
    """Return the file and line that raised an error; its text may quote input and is left out."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""


def log_event(event: Event, **fields: object) -> None:
    """Write one log line for ``event``.

    Fields hold ids, numbers and reasons, never a key, a prompt or a body::

        log_event(Event.ROUTE_GRANTED, request_id=grant.request_id, upstream=grant.upstream)
    """
    eliot.log_message(
        message_type=f"lentilchute:{event.name.lower()}", number=event.value.number, **fields
    )
