"""Controller that tells nodes what they missed while they were down or out of reach.

In a large group only a few nodes tell each one, so that a start of all nodes opens a bounded number
of links at each: its neighbours on the ring, and the coordinator. After a cut there is a
coordinator on each side. A node that has started and that none of them has told asks other peers.
"""

from collections.abc import Mapping
from typing import Any

import trio

from ..ids import InstanceId
from ..peers.message_dispatch import MessageHandler
from .context import GatewayContext, gateway_controller
from .crash_reports import CrashReportController
from .leaving_notices import LeavingNoticeController
from .messages import MissedNoticesQuestion
from .rollouts.controller import RolloutController
from .stream_continuity import StreamContinuityController

ASK_INTERVAL_S = 2.0
"""Peers tell a node within this time of its start, as heartbeats reach all of them."""
ASK_ROUNDS = 4
"""How often a node asks; when all nodes have started together, none knows of earlier times."""
ASKED_PEERS = 2
"""Peers that are asked at a time, drawn anew each time."""
LEARNING_S = 5.0
"""A coordinator that started this recently knows little that others don't."""


@gateway_controller
class MissedNoticeController:
    """Repeats notices to peers that have become alive, and asks for those that this node missed."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {MissedNoticesQuestion: self._on_question}

    async def run(self) -> None:
        streams = self._context.controller(StreamContinuityController)
        for _ in range(ASK_ROUNDS):
            await trio.sleep(ASK_INTERVAL_S)
            if streams.peers_follow_since_s() < self._context.started_s:
                return
            self._ask()

    def peer_returned(self, instance: InstanceId) -> None:
        """Tell a peer that has started, or was out of reach, if that is for this node to do."""
        context = self._context
        uptime_s = context.now_s() - context.started_s
        is_known_coordinator = context.choice.is_coordinator and uptime_s >= LEARNING_S
        if is_known_coordinator or context.membership.is_teller_of(instance):
            self._tell(instance)

    def _ask(self) -> None:
        context = self._context
        alive = context.membership.alive(context.now_s())
        others = [info for info in alive if info.instance != context.instance]
        asked = context.rng.sample(others, min(ASKED_PEERS, len(others)))
        context.links.broadcast(asked, MissedNoticesQuestion())

    def _on_question(self, sender: InstanceId, _question: MissedNoticesQuestion) -> None:
        self._tell(sender)

    def _tell(self, instance: InstanceId) -> None:
        context = self._context
        context.controller(CrashReportController).repeat_to(instance)
        context.controller(LeavingNoticeController).repeat_to(instance)
        context.controller(StreamContinuityController).repeat_to(instance)
        context.controller(RolloutController).repeat_to(instance)
