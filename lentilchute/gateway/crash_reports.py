"""Controller that tells nodes which requests, and which parts of prompts, crash upstreams."""

from collections.abc import Iterable, Mapping
from typing import Any

from ..events import Event, log_event
from ..ids import Fingerprint, InstanceId, PromptPartId, UpstreamId
from ..peers.message_dispatch import MessageHandler
from .context import GatewayContext, gateway_controller
from .messages import BlockedPart, ClearedNotice, CrashNotice

NO_CONTENT = Fingerprint("")
"""Named by a notice that clears parts of prompts only."""


@gateway_controller
class CrashReportController:
    """Shares suspects between the crash guards of all nodes."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {CrashNotice: self._on_crash, ClearedNotice: self._on_cleared}

    async def run(self) -> None:
        return

    def report_crash(self, notice: CrashNotice) -> None:
        """Record the requests that were in flight at a crash, locally and at all peers."""
        self._record_crash(self._context.instance, notice)
        self._context.broadcast(notice)

    def report_begun(self, parts: tuple[PromptPartId, ...]) -> None:
        """Clear the parts of a prompt whose answer has begun, locally and at all peers, as far as
        they were suspected."""
        self._report_cleared(NO_CONTENT, parts)

    def report_completed(self, content: Fingerprint) -> None:
        """Clear a request whose answer is complete, locally and at all peers, if it was
        suspected."""
        self._report_cleared(content, ())

    def _report_cleared(self, content: Fingerprint, parts: tuple[PromptPartId, ...]) -> None:
        is_cleared, cleared_parts = self._clear(self._context.instance, content, parts)
        if is_cleared or cleared_parts:
            self._context.broadcast(ClearedNotice(content, cleared_parts))

    def repeat_to(self, instance: InstanceId) -> None:
        """Tell a node that has just started, or was out of reach, of the crashes of suspects.

        Blocked parts of prompts are in each digest and refresh.
        """
        for notice in self._context.crash_guard.crashes(self._context.now_s()):
            self._context.post(instance, notice)

    def adopt_crashes(self, notices: Iterable[CrashNotice]) -> None:
        """Record crashes that the store kept; no peer is told, as each node reads them itself."""
        for notice in notices:
            self._record_crash(self._context.instance, notice)

    def adopt_blocked(self, reporter: InstanceId, blocked: tuple[BlockedPart, ...]) -> None:
        """Block what a peer blocks, since this node may not have been told of the crashes."""
        newly_blocked = self._context.prompt_part_guard.adopt(blocked, self._context.now_s())
        self._announce_blocked(reporter, newly_blocked)

    def _on_crash(self, sender: InstanceId, notice: CrashNotice) -> None:
        self._record_crash(sender, notice)

    def _record_crash(self, reporter: InstanceId, notice: CrashNotice) -> None:
        now_s = self._context.now_s()
        incarnation = notice.upstream, notice.started_ms or 0
        for content in notice.contents:
            self._record_suspect(reporter, notice, content)
        for prompt in notice.prompts:
            blocked = self._context.prompt_part_guard.record_crash(incarnation, prompt, now_s)
            self._announce_blocked(reporter, blocked, notice.upstream)

    def _record_suspect(
        self, reporter: InstanceId, notice: CrashNotice, content: Fingerprint
    ) -> None:
        now_s, guard = self._context.now_s(), self._context.crash_guard
        was_refused = guard.is_refused(content, now_s)
        crashes = guard.record_crash(
            content,
            (notice.upstream, notice.started_ms or 0),
            now_s - max(0.0, notice.age_s or 0.0),
            had_begun=content in notice.begun,
        )
        if not crashes:
            return
        is_refused = guard.is_refused(content, now_s)
        log_event(
            Event.POISON_VERDICT,
            fingerprint=content,
            verdict="refused" if is_refused else "suspected",
            upstream=notice.upstream,
            started_ms=notice.started_ms,
            crashes=crashes,
            age_s=None if notice.age_s is None else round(notice.age_s, 3),
            reporter=reporter,
        )
        if is_refused or was_refused:
            self._tell_listeners()

    def _on_cleared(self, sender: InstanceId, notice: ClearedNotice) -> None:
        self._clear(sender, notice.content, notice.parts)

    def _clear(
        self, reporter: InstanceId, content: Fingerprint, parts: tuple[PromptPartId, ...]
    ) -> tuple[bool, tuple[PromptPartId, ...]]:
        context = self._context
        is_cleared = context.crash_guard.record_completion(content, context.now_s())
        cleared_parts = context.prompt_part_guard.record_answer(parts, context.now_s())
        if is_cleared or cleared_parts:
            log_event(
                Event.POISON_VERDICT,
                fingerprint=content,
                prompt_parts=cleared_parts,
                verdict="cleared",
                reporter=reporter,
            )
            self._tell_listeners()
        return is_cleared, cleared_parts

    def _announce_blocked(
        self,
        reporter: InstanceId,
        parts: list[PromptPartId],
        upstream: UpstreamId | None = None,
    ) -> None:
        for part in parts:
            log_event(
                Event.POISON_VERDICT,
                prompt_part=part,
                verdict="blocked",
                upstream=upstream,
                reporter=reporter,
            )
        if parts:
            self._tell_listeners()

    def _tell_listeners(self) -> None:
        for listener in self._context.crash_verdict_listeners:
            listener()
