"""Controller that exchanges load digests between nodes, and news of contents that crash
upstreams."""

from collections.abc import Mapping
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import Fingerprint, InstanceId, UpstreamId
from .context import GatewayContext, MessageHandler, gateway_controller
from .desk import DispatchDesk
from .messages import AccountUsage, ClearedNotice, CrashNotice, LoadDigest


@gateway_controller
class DigestController:
    """Tells peers this node's load and takes theirs in."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._last: LoadDigest | None = None
        self._last_s = float("-inf")
        self._hastened = trio.Event()

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {
            LoadDigest: self._on_digest,
            CrashNotice: self._on_crash,
            ClearedNotice: self._on_cleared,
        }

    async def run(self) -> None:
        settings = self._context.settings.dispatch
        while True:
            with trio.move_on_after(settings.digest_interval_s):
                await self._hastened.wait()
            self._hastened = trio.Event()
            now_s = self._context.now_s()
            self._context.quotas.charge_silence(now_s)
            digest = self._digest(now_s)
            is_due = now_s - self._last_s >= settings.idle_digest_interval_s
            if is_due or self._has_changed(digest):
                self._last, self._last_s = digest, now_s
                self._context.broadcast(digest)

    def hasten(self) -> None:
        """Send the next digest at once: the load changed by much."""
        self._hastened.set()

    def report_crash(self, upstream: UpstreamId, contents: tuple[Fingerprint, ...]) -> None:
        """Note contents that were in flight at a crash, here and at all peers."""
        self._note_crash(self._context.instance, upstream, contents)
        self._context.broadcast(CrashNotice(upstream, contents))

    def report_completed(self, content: Fingerprint) -> None:
        """Clear a content that completed, here and at all peers, if it was suspected."""
        if self._context.crash_guard.completed(content):
            self._context.broadcast(ClearedNotice(content))

    def _digest(self, now_s: float) -> LoadDigest:
        context = self._context
        loads = [
            load
            for dispatcher in context.dispatchers.values()
            for load in dispatcher.own_loads(now_s)
        ]
        usage = context.quotas.own_usage().items()
        return LoadDigest(
            incarnation=context.incarnation,
            upstreams=tuple(loads),
            accounts=tuple(AccountUsage(account, used) for account, used in usage),
        )

    def _has_changed(self, digest: LoadDigest) -> bool:
        if self._last is None:
            return True
        before = [
            (item.upstream, item.running, item.backlog_tokens) for item in self._last.upstreams
        ]
        after = [(item.upstream, item.running, item.backlog_tokens) for item in digest.upstreams]
        return before != after or digest.accounts != self._last.accounts

    def _on_digest(self, _sender: InstanceId, digest: LoadDigest) -> None:
        context = self._context
        now_s = context.now_s()
        loads = {load.upstream: load for load in digest.upstreams}
        for dispatcher in context.dispatchers.values():
            dispatcher.learn_peer(digest.incarnation, loads, now_s)
        used = {usage.account: usage.used for usage in digest.accounts}
        context.quotas.learn(digest.incarnation, used, now_s)
        desk = context.controller(DispatchDesk)
        for service in context.dispatchers:
            desk.poll(service)

    def _on_crash(self, sender: InstanceId, notice: CrashNotice) -> None:
        self._note_crash(sender, notice.upstream, notice.contents)

    def _note_crash(
        self, reporter: InstanceId, upstream: UpstreamId, contents: tuple[Fingerprint, ...]
    ) -> None:
        now_s = self._context.now_s()
        for content in contents:
            crashes = self._context.crash_guard.crashed(content, upstream, now_s)
            log_event(
                Event.POISON_VERDICT,
                content=content,
                upstream=upstream,
                crashes=crashes,
                reporter=reporter,
            )

    def _on_cleared(self, _sender: InstanceId, notice: ClearedNotice) -> None:
        self._context.crash_guard.completed(notice.content)
