"""The answer to one caller on its way from the entry's decisions to the caller's connection."""

from collections import deque

import trio

from ..http.messages import OUTCOME_HEADER
from ..http.responder import Responder
from .actions import BreakAnswer, CallerAction, SendEnd, SendHead, SendPart, SendRefusal
from .refusal_answers import REQUEST_ID_HEADER, refusal_answer

MAX_PENDING_PARTS = 64
"""An upstream is not read while this many parts wait for the caller to take them."""

_LAST_ACTIONS = (SendEnd, SendRefusal, BreakAnswer)


class CallerAnswer:
    """A queue of caller actions; the caller's own task writes them in order."""

    def __init__(self) -> None:
        self._actions: deque[CallerAction] = deque()
        self._wake = trio.Event()
        self._room = trio.Event()
        self._room.set()

    def put(self, action: CallerAction) -> None:
        """Add the next action."""
        self._actions.append(action)
        if len(self._actions) >= MAX_PENDING_PARTS and self._room.is_set():
            self._room = trio.Event()
        self._wake.set()

    async def wait_for_room(self) -> None:
        """Wait until the caller has taken enough, or has gone."""
        await self._room.wait()

    def close(self) -> None:
        """Let the upstream's reader go on: nobody waits for the answer any more."""
        self._room.set()

    async def write(self, responder: Responder) -> None:
        """Write the actions to the caller until the last one."""
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
        """Return the next action; parts that wait together go out in one write."""
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
        responder.break_off()
