"""Finds out what became of an upstream after a failed attempt, and tells the other nodes."""

import trio

from .active_request import ActiveRequest
from .context import GatewayContext
from .crash_reports import CrashReportController
from .messages import CrashedPrompt, CrashNotice
from .placement_client import PlacementClient
from .request_log import RequestLog
from .tickets import Placement
from .upstream_paths import UpstreamPathController

CRASH_CHECK_TIMEOUT_S = 0.2
"""A live upstream accepts a connection within a few milliseconds; a crashed one refuses it as
quickly."""


class UpstreamFaults:
    """Reports upstreams that cannot be reached, and those that have crashed."""

    def __init__(self, context: GatewayContext, request_log: RequestLog) -> None:
        self._context = context
        self._request_log = request_log
        self._paths = context.controller(UpstreamPathController)
        self._placement_client = context.controller(PlacementClient)
        self._crash_reports = context.controller(CrashReportController)

    def record_unreachable(
        self, active: ActiveRequest, placement: Placement, *, is_down: bool
    ) -> None:
        """Record that a request found no path to an upstream; ``is_down`` blames the upstream."""
        self._request_log.log_unreachable(active, placement, is_down=is_down)
        if is_down:
            self._placement_client.report(active.ticket, placement, unreachable=True)

    async def check_crash(self, active: ActiveRequest, placement: Placement) -> None:
        """Probe the upstream after a broken connection; report a crash if nobody reaches it."""
        try:
            with trio.fail_after(CRASH_CHECK_TIMEOUT_S):
                stream = await self._context.connections.opener(placement.listing.address)
        except trio.TooSlowError:
            return
        except OSError:
            if await self._paths.is_down(placement.listing):
                self._record_crash(active, placement)
            return
        await trio.aclose_forcefully(stream)

    def _record_crash(self, active: ActiveRequest, placement: Placement) -> None:
        active.upstream_crashed = True
        self._placement_client.report(active.ticket, placement, unreachable=True)
        self._request_log.log_crash(active, placement)
        content = active.call.fingerprint
        if content is None:
            return
        prompt = CrashedPrompt(content, active.call.headers.shared_prompt_parts)
        listing = placement.listing
        self._crash_reports.report_crash(
            CrashNotice(
                upstream=listing.upstream,
                contents=(content,),
                started_ms=listing.started_ms,
                prompts=() if active.has_first_event else (prompt,),
                begun=(content,) if active.has_first_event else (),
            )
        )
