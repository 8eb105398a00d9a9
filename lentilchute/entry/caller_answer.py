"""Queues the answer to one caller between the entry's decisions and the caller's connection."""

from collections import deque

import trio

from ..http.messages import OUTCOME_HEADER
from ..http.responder import Responder
from .actions import BreakAnswer, CallerAction, SendEnd, SendHead, SendPart, SendRefusal
from .refusal_answers import REQUEST_ID_HEADER, refusal_answer

MAX_PENDING_PARTS = 64
"""Backpressure: an upstream is not read while this many actions are queued for its caller."""

_LAST_ACTIONS = (SendEnd, SendRefusal, BreakAnswer)


class CallerAnswer:
    """A queue of caller actions, written in order by the task that serves the caller."""

    def __init__(self) -> None:
        self._actions: deque[CallerAction] = deque()
        self._wake = trio.Event()
        self._room = trio.Event()
        self._room.set()

    def put(self, action: CallerAction) -> None:
        """Enqueue an action."""
        self._actions.append(action)
        if len(self._actions) >= MAX_PENDING_PARTS and self._room.is_set():
            self._room = trio.Event()
        self._wake.set()

    async def wait_for_room(self) -> None:
        """Wait until the queue has room or is closed."""
        await self._room.wait()

    def close(self) -> None:
        """Unblock the upstream's reader, since the answer is no longer written."""
        self._room.set()

    async def write(self, responder: Responder) -> None:
        """Write the actions to the caller, up to the one that ends the answer."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._actions:
                action = self._pop_action()
                self._room.set()
                await _write_action(action, responder)
                if isinstance(action, _LAST_ACTIONS):
                    return

    def _pop_action(self) -> CallerAction:
        """Dequeue the next action; consecutive parts are joined into one write."""
        action = self._actions.popleft()
        if not isinstance(action, SendPart):
            return action
        parts = [action.data]
        while self._actions and isinstance(following := self._actions[0], SendPart):
            parts.append(following.data)
            self._actions.popleft()
        return action if len(parts) == 1 else SendPart(action.request_id, b"".join(parts))


async def _write_action(action: CallerAction, responder: Responder) -> None:
    if isinstance(action, SendPart):
        await responder.send(action.data)
    elif isinstance(action, SendHead):
        entry_headers = (
            (OUTCOME_HEADER, action.outcome.value),
            (REQUEST_ID_HEADER.lower(), action.request_id),
        )
        await responder.start(action.status, (*action.headers, *entry_headers))
    elif isinstance(action, SendEnd):
        await responder.end()
    elif isinstance(action, SendRefusal):
        refusal = refusal_answer(
            action.reason, action.outcome, action.retry_after_s, action.request_id
        )
        await responder.answer(refusal.status, refusal.headers, refusal.body)
    else:
        responder.abort()
