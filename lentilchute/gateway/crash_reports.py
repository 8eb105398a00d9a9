"""Controller that broadcasts which requests crash upstreams."""

from collections.abc import Mapping
from typing import Any

from ..events import Event, log_event
from ..ids import Fingerprint, InstanceId, UpstreamId
from ..peers.message_dispatch import MessageHandler
from .context import GatewayContext, gateway_controller
from .messages import ClearedNotice, CrashNotice


@gateway_controller
class CrashReportController:
    """Shares suspects between the crash guards of all nodes."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {CrashNotice: self._on_crash, ClearedNotice: self._on_cleared}

    async def run(self) -> None:
        return

    def report_crash(self, upstream: UpstreamId, contents: tuple[Fingerprint, ...]) -> None:
        """Record the requests that were in flight at a crash, locally and at all peers."""
        self._record_crash(self._context.instance, upstream, contents)
        self._context.broadcast(CrashNotice(upstream, contents))

    def report_completed(self, content: Fingerprint) -> None:
        """Clear a request that completed, locally and at all peers, if it was a suspect."""
        if self._clear(self._context.instance, content):
            self._context.broadcast(ClearedNotice(content))

    def _on_crash(self, sender: InstanceId, notice: CrashNotice) -> None:
        self._record_crash(sender, notice.upstream, notice.contents)

    def _record_crash(
        self, reporter: InstanceId, upstream: UpstreamId, contents: tuple[Fingerprint, ...]
    ) -> None:
        now_s = self._context.now_s()
        for content in contents:
            crashes = self._context.crash_guard.record_crash(content, upstream, now_s)
            log_event(
                Event.POISON_VERDICT,
                fingerprint=content,
                verdict="suspected",
                upstream=upstream,
                crashes=crashes,
                reporter=reporter,
            )

    def _on_cleared(self, sender: InstanceId, notice: ClearedNotice) -> None:
        self._clear(sender, notice.content)

    def _clear(self, reporter: InstanceId, content: Fingerprint) -> bool:
        is_cleared = self._context.crash_guard.record_completion(content)
        if is_cleared:
            log_event(
                Event.POISON_VERDICT, fingerprint=content, verdict="cleared", reporter=reporter
            )
        return is_cleared
