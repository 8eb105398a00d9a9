"""Controller that finds where a stream began that its caller takes up again.

The attempt that began it may have been at another node, which may have ended. While a service has
upstreams of several software versions, all nodes therefore tell each other of each stream that
begins, and store it (``stream_persistence.py``). While it has a single one, nothing has to be told;
but until that is certain, as after a start or while the store is down, a few peers are told, so
that the origin outlives the node. A node that was not told asks all peers.

That a service has a single version is certain only as of a time after the stream was taken up: the
stream may have begun, at another node, at upstreams that joined a moment ago.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import InstanceId, ServiceName, SoftwareVersion, StreamId
from ..peers.heartbeats import PeerInfo
from ..peers.message_dispatch import MessageHandler
from .active_request import ActiveRequest
from .context import GatewayContext, gateway_controller
from .messages import StreamGroup, StreamNotice, StreamQuestion, VersionSighting
from .reading import ReadingController
from .stream_origins import STREAM_LIFETIME_S, StreamOrigin, StreamOrigins
from .version_history import GoneVersion, VersionHistory

SHARE_INTERVAL_S = 0.05
"""Interval between notices; short, since a caller whose connection is reset returns at once."""
SHARE_NODES = 16
"""For each so many nodes, the interval is lengthened by itself: each notice goes to all."""
ORIGIN_WAIT_S = 0.3
"""Peers reply within tens of milliseconds; a refusal any later would keep the caller from nodes
that know its stream."""
CONFIRM_WAIT_S = 0.15
"""The part of it for which the store is waited for before peers are asked."""
MAX_STREAMS_PER_GROUP = 5_000
KEEPERS = 4
"""Peers that are told of a stream while all known upstreams of its service have one version."""

MIN_HISTORY_S = 3.0
"""A node that has followed the services for less than this has nothing to tell of former versions
but those that it saw go."""


class Uncertainty(Enum):
    """Why the origin of a stream is not certain, for the log."""

    SHORT_HISTORY = "short-history"
    """Nobody knows which versions there were before all nodes ended."""
    SEVERAL_VERSIONS = "several-versions"
    OLD_LIST = "old-list"
    """Upstreams of another version may have joined since the list was read."""


@gateway_controller
class StreamContinuityController:
    """Remembers where streams began, and shares it with all nodes while versions differ."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._origins = StreamOrigins()
        self._versions = VersionHistory()
        self._has_news = trio.Event()
        self._was_told = trio.Event()
        self._peers_follow_since_s = math.inf
        context.fleet_listeners.append(self._on_fleet)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {StreamNotice: self._on_notice, StreamQuestion: self._on_question}

    async def run(self) -> None:
        while True:
            await self._has_news.wait()
            self._has_news = trio.Event()
            now_s = self._context.now_s()
            streams = self._origins.take_unshared(lambda name: not self._is_uniform(name), now_s)
            for origin, names in streams.items():
                for notice in self._notices({origin: names}):
                    self._context.links.broadcast(self._receivers(origin.service, now_s), notice)
            nodes = len(self._context.membership.present()) + 1
            await trio.sleep(SHARE_INTERVAL_S * math.ceil(nodes / SHARE_NODES))

    def _receivers(self, service: ServiceName, now_s: float) -> Sequence[PeerInfo]:
        """Return the peers to tell of the streams of a service: all, or a few in other zones."""
        peers = self._context.membership.present()
        if self._versions.only_version(service, now_s, needs_certainty=False) is None:
            return peers
        elsewhere = [info for info in peers if info.zone != self._context.zone]
        candidates = elsewhere if len(elsewhere) >= KEEPERS else peers
        return self._context.rng.sample(candidates, min(KEEPERS, len(candidates)))

    def record_begun(self, active: ActiveRequest, version: SoftwareVersion) -> None:
        """Record the first event of a stream that its caller may take up later."""
        headers = active.call.headers
        if not active.route.is_resumable or not headers.attempt_id:
            return
        if headers.resume_after is not None:
            # The caller names the attempt that began the stream, whatever this one adds to it.
            return
        origin = StreamOrigin(active.ticket.service, version)
        self._origins.record_begun(headers.begun_stream, origin, self._context.now_s())
        if not self._is_uniform(origin.service):
            self._has_news.set()
            for listener in self._context.begun_stream_listeners:
                listener()

    def knows(self, stream: StreamId, now_s: float) -> bool:
        """Return whether this node can tell where a stream began."""
        return self._origins.find(stream, now_s) is not None

    async def find_origin(self, active: ActiveRequest) -> StreamOrigin | None:
        """Return where the stream that a caller takes up began; ``None`` if that is not certain."""
        stream, service = active.call.headers.resumed_stream, active.ticket.service
        taken_up_s = self._context.now_s()
        origin = self._recorded_origin(stream)
        if origin is None:
            origin = await self._search_origin(stream, service, taken_up_s)
        if origin is None:
            log_event(
                Event.STREAM_UNKNOWN,
                request_id=active.call.log_id,
                resumed_stream=stream,
                reason=self._uncertainty(service, taken_up_s).value,
            )
        return origin

    async def _search_origin(
        self, stream: StreamId | None, service: ServiceName, taken_up_s: float
    ) -> StreamOrigin | None:
        """Read the list of upstreams again and ask peers, until the origin is certain or there is
        no more time."""
        with trio.move_on_after(ORIGIN_WAIT_S):
            if self._versions.only_version(service, taken_up_s) is not None:
                with trio.move_on_after(CONFIRM_WAIT_S):
                    await self._context.controller(ReadingController).confirm_upstreams(taken_up_s)
                origin = self._only_origin(service, taken_up_s)
                if origin is not None:
                    return origin
            if stream is not None:
                self._context.broadcast(StreamQuestion(stream))
            while True:
                await self._was_told.wait()
                origin = self._recorded_origin(stream) or self._only_origin(service, taken_up_s)
                if origin is not None:
                    return origin
        return self._recorded_origin(stream) or self._only_origin(service, taken_up_s)

    def _recorded_origin(self, stream: StreamId | None) -> StreamOrigin | None:
        return None if stream is None else self._origins.find(stream, self._context.now_s())

    def _only_origin(self, service: ServiceName, taken_up_s: float) -> StreamOrigin | None:
        """Return the only origin that a stream which was taken up at a time can have."""
        version = self._versions.only_version(service, self._context.now_s())
        reading = self._context.controller(ReadingController)
        if version is None or not reading.knows_upstreams_since(taken_up_s):
            return None
        return StreamOrigin(service, version)

    def _uncertainty(self, service: ServiceName, taken_up_s: float) -> Uncertainty:
        """Return why a stream of which nobody knows could have begun at several versions."""
        now_s = self._context.now_s()
        if self._versions.complete_for_s(now_s) < STREAM_LIFETIME_S:
            return Uncertainty.SHORT_HISTORY
        if self._versions.only_version(service, now_s) is None:
            return Uncertainty.SEVERAL_VERSIONS
        return Uncertainty.OLD_LIST

    def take_unstored(self) -> dict[StreamOrigin, list[StreamId]]:
        """Return the streams whose origins are to be stored, and count them as stored."""
        return self._origins.take_unstored(
            lambda name: not self._is_uniform(name), self._context.now_s()
        )

    def return_unstored(self, streams: Mapping[StreamOrigin, list[StreamId]]) -> None:
        """Take streams back that could not be stored."""
        self._origins.return_unstored(streams, self._context.now_s())

    def adopt_origins(self, groups: Iterable[StreamGroup]) -> None:
        """Record where streams began by the word of a peer or of the store."""
        now_s = self._context.now_s()
        for group in groups:
            self._origins.adopt(group.streams, StreamOrigin(group.service, group.version), now_s)
        self._tell_waiting()

    def adopt_versions(self, seen: Iterable[VersionSighting], complete_for_s: float) -> None:
        """Record which versions there were by the word of a peer or of the store, which may have
        followed the services for longer."""
        now_s = self._context.now_s()
        if self._context.fleet.is_known:
            # An empty list is followed as well, though nothing about it has changed yet.
            self._versions.update(self._listed_versions(), now_s)
        gone = (GoneVersion(StreamOrigin(item.service, item.version), item.age_s) for item in seen)
        self._versions.adopt(gone, complete_for_s, now_s)
        self._tell_waiting()

    def seen_versions(self) -> tuple[VersionSighting, ...]:
        """Return the versions that are listed, with age 0, and those that went lately."""
        listed = (
            VersionSighting(origin.service, origin.version, 0.0)
            for origin in sorted(self._listed_versions())
        )
        return (*listed, *self._gone_versions())

    def _tell_waiting(self) -> None:
        self._was_told.set()
        self._was_told = trio.Event()

    def repeat_to(self, instance: InstanceId) -> None:
        """Tell a node that has just started, or was out of reach, what all others know, if there
        is anything to tell."""
        now_s = self._context.now_s()
        services = {origin.service for origin in self._listed_versions()}
        is_needed = not all(self._is_uniform(service) for service in services)
        streams = self._origins.remembered(now_s) if is_needed else {}
        notices = self._notices(streams)
        if not notices and self._has_history(now_s):
            notices = [self._notice(())]
        for notice in notices:
            self._context.post(instance, notice)

    def follows_since_s(self) -> float:
        """Return since when no version of a service can have been missed, which is before the start
        of this node once a peer or the store has told it."""
        now_s = self._context.now_s()
        return now_s - self._versions.complete_for_s(now_s)

    def peers_follow_since_s(self) -> float:
        """Return since when peers that have told this node follow the services; infinite if none
        has."""
        return self._peers_follow_since_s

    def _has_history(self, now_s: float) -> bool:
        """Return whether this node knows more than one that starts now learns by itself."""
        is_followed = self._versions.complete_for_s(now_s) >= MIN_HISTORY_S
        return is_followed or bool(self._versions.gone(now_s))

    def _on_question(self, sender: InstanceId, question: StreamQuestion) -> None:
        """Reply also without knowing the stream: the sender may not have followed its service."""
        origin = self._origins.find(question.stream, self._context.now_s())
        groups = (
            ()
            if origin is None
            else (StreamGroup(origin.service, origin.version, (question.stream,)),)
        )
        self._context.post(sender, self._notice(groups))

    def _only_version(self, service: ServiceName) -> SoftwareVersion | None:
        """Return the single version that a service can have had lately, as far as a fresh copy of
        the list of upstreams shows."""
        return (
            self._versions.only_version(service, self._context.now_s())
            if self._is_fresh()
            else None
        )

    def _is_uniform(self, service: ServiceName) -> bool:
        return self._only_version(service) is not None

    def _is_fresh(self) -> bool:
        return self._context.controller(ReadingController).are_upstreams_fresh()

    def _listed_versions(self) -> set[StreamOrigin]:
        return {StreamOrigin(item.service, item.version) for item in self._context.fleet.listed()}

    def _on_fleet(self) -> None:
        self._versions.update(self._listed_versions(), self._context.now_s())
        # What was not worth telling before may be now.
        self._has_news.set()

    def _gone_versions(self) -> tuple[VersionSighting, ...]:
        return tuple(
            VersionSighting(origin.service, origin.version, age_s)
            for origin, age_s in self._versions.gone(self._context.now_s())
        )

    def _notices(self, streams: Mapping[StreamOrigin, list[StreamId]]) -> list[StreamNotice]:
        return [
            self._notice((StreamGroup(origin.service, origin.version, tuple(batch)),))
            for origin, names in streams.items()
            for start in range(0, len(names), MAX_STREAMS_PER_GROUP)
            for batch in (names[start : start + MAX_STREAMS_PER_GROUP],)
        ]

    def _notice(self, groups: tuple[StreamGroup, ...]) -> StreamNotice:
        now_s = self._context.now_s()
        return StreamNotice(
            groups=groups,
            gone=self._gone_versions(),
            complete_for_s=self._versions.complete_for_s(now_s) if self._is_fresh() else 0.0,
        )

    def _on_notice(self, _sender: InstanceId, notice: StreamNotice) -> None:
        since_s = self._context.now_s() - notice.complete_for_s
        self._peers_follow_since_s = min(self._peers_follow_since_s, since_s)
        self.adopt_versions(notice.gone, notice.complete_for_s)
        self.adopt_origins(notice.groups)
