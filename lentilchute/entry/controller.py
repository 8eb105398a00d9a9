"""Serves callers: drives ``EntryRequests`` and executes the actions that it returns."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import trio

from ..document import ServiceDocument
from ..events import Event, log_event
from ..http.caller_gone import CallerGone
from ..http.responder import Responder
from ..ids import Attempt, InstanceId, RequestId, ServiceName, UpstreamId, service_of, shard_id
from ..node_context import NodeContext, node_controller, repeat, wait_until
from ..peers.heartbeats import PeerChange
from ..peers.message_dispatch import MessageHandler
from ..peers.roles import Role
from ..scheduler.messages import (
    Declined,
    Dispatched,
    Ended,
    GrantNotice,
    Progress,
    ProgressLine,
    Refresh,
    RefreshRequest,
    RefusalNotice,
    SchedulerAck,
    Submit,
    Withdraw,
)
from ..state.claims_controller import ClaimsController
from ..upstream.adapters import AnswerItem
from ..upstream.exchanges import ExchangeHooks, UpstreamExchanges
from .actions import (
    AcceptedRequest,
    BreakAnswer,
    CancelUpstream,
    ClaimKey,
    DeclineGrant,
    EntryAction,
    KeepAnswer,
    LeaveKeyClaimed,
    RecordGoodput,
    RecordWastedPrefill,
    RefreshScheduler,
    ReleaseKey,
    ReportDispatched,
    ReportEnded,
    ReportProgress,
    ResumeUpstream,
    SendEnd,
    SendHead,
    SendPart,
    SendRefusal,
    SendUpstream,
    SubmitTicket,
    WithdrawTicket,
)
from .caller_answer import CallerAnswer
from .caller_interface import CallerInterface
from .local_share import LocalUpstream
from .requests import EntryRequests

PROGRESS_INTERVAL_S = 0.1
"""Interval at which the collected progress reports of all requests are sent to schedulers."""
SCHEDULER_ORDER_INTERVAL_S = 0.5
MIN_TIMER_SLEEP_S = 0.001
MAX_TIMER_SLEEP_S = 1.0
IDLE_POLL_INTERVAL_S = 0.05
LOCAL_SHARE = 0.5
"""Fraction of an upstream's streams that is divided among the nodes while no scheduler responds.

Each entry may use one node's part, but at least one stream, so the entries together may exceed this
fraction if an upstream has few streams or there are many nodes.
"""


@node_controller(Role.ENTRY)
class EntryController:
    """Connects the decision code with callers, schedulers, claims and upstreams."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._requests = EntryRequests(context.incarnation, context.settings, context.rng)
        self._claims = ClaimsController(context, self._on_claim_resolved)
        self._callers = CallerInterface(context, self)
        self._answers: dict[RequestId, CallerAnswer] = {}
        self._accepted: dict[RequestId, tuple[AcceptedRequest, float]] = {}
        self._progress: dict[tuple[InstanceId, ServiceName], dict[RequestId, int]] = {}
        hooks = ExchangeHooks(self._may_send, self._on_item, self._wait_for_room)
        self._exchanges = UpstreamExchanges(context.directory, hooks)
        self._schedulers: dict[ServiceName, InstanceId | None] = {}
        self._wake = trio.Event()
        self._action_handlers = self._action_table()
        context.document_listeners.append(self._on_document)
        context.upstream_listeners.append(self._on_upstream)
        context.peer_listeners.append(self._on_peer_change)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {
            GrantNotice: self._on_grant,
            RefusalNotice: self._on_refusal,
            SchedulerAck: self._on_ack,
            RefreshRequest: self._on_refresh_request,
            **self._claims.handlers(),
        }

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._claims.run)
            nursery.start_soon(self._exchanges.run)
            nursery.start_soon(repeat, PROGRESS_INTERVAL_S, self._send_progress)
            nursery.start_soon(repeat, SCHEDULER_ORDER_INTERVAL_S, self._update_scheduler_orders)
            nursery.start_soon(self._run_timer)
            await self._callers.run()

    async def stop(self) -> None:
        """Serve until no caller can still send requests here, then close the callers' interface."""
        self._execute(self._requests.stop(self._context.now_s()))
        self._callers.begin_close()
        await wait_until(
            lambda: self._requests.is_idle(self._context.now_s()), IDLE_POLL_INTERVAL_S
        )
        await self._callers.finish_close()
        await self._claims.stop()

    # Callers.

    async def serve_request(
        self, request: AcceptedRequest, caller_gone: CallerGone, responder: Responder
    ) -> None:
        """Serve one accepted request until its answer is written or its caller has disconnected."""
        answer = CallerAnswer()
        request_id, actions = self._requests.accept(request, self._context.now_s())
        self._answers[request_id] = answer
        self._accepted[request_id] = request, self._context.now_s()
        log_event(
            Event.REQUEST_ACCEPTED,
            request_id=request_id,
            service=request.service,
            tier=request.tier,
            client_account=request.client_account,
            prompt_tokens=request.prompt_tokens,
        )
        self._execute(actions)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, request_id, caller_gone)
                await answer.write(responder)
                nursery.cancel_scope.cancel()
        finally:
            answer.close()
            self._answers.pop(request_id, None)
            self._accepted.pop(request_id, None)

    async def _watch_caller(self, request_id: RequestId, caller_gone: CallerGone) -> None:
        await caller_gone.wait()
        log_event(Event.CALLER_GONE, request_id=request_id)
        self._execute(self._requests.caller_gone(request_id, self._context.now_s()))
        # End the caller's writing task, which may wait for actions that will not come.
        answer = self._answers.get(request_id)
        if answer is not None:
            answer.put(BreakAnswer(request_id))

    # Schedulers.

    def _on_grant(self, sender: InstanceId, notice: GrantNotice) -> None:
        shard = shard_id(notice.service)
        self._requests.record_scheduler_reply(shard, sender)
        now_s = self._context.now_s()
        self._execute(self._requests.granted(shard, notice.grant, sender, now_s))

    def _on_refusal(self, sender: InstanceId, notice: RefusalNotice) -> None:
        self._requests.record_scheduler_reply(shard_id(notice.service), sender)
        self._execute(self._requests.refused(notice.refusal, sender, self._context.now_s()))

    def _on_ack(self, sender: InstanceId, ack: SchedulerAck) -> None:
        self._requests.record_scheduler_reply(shard_id(ack.service), sender)

    def _on_refresh_request(self, sender: InstanceId, request: RefreshRequest) -> None:
        order = self._scheduler_order(request.service)
        if not order or order[0] != sender:
            return
        waiting, in_flight = self._requests.refresh(request.service, self._context.now_s())
        refresh = Refresh(request.service, self._context.instance, tuple(waiting), tuple(in_flight))
        self._context.post(sender, refresh)

    def _scheduler_order(self, service: ServiceName) -> tuple[InstanceId, ...]:
        return self._context.membership.scheduler_order(shard_id(service), self._context.now_s())

    def _update_scheduler_orders(self) -> None:
        for service in self._context.directory.services():
            self._update_scheduler_order(service)
            self._log_scheduler(service)

    def _log_scheduler(self, service: ServiceName) -> None:
        """Log a change of scheduler, caused by membership or by a scheduler that timed out."""
        scheduler = self._requests.scheduler_of(service)
        if self._schedulers.get(service, "") != scheduler:
            self._schedulers[service] = scheduler
            log_event(Event.ROUTE_SCHEDULER, service=service, scheduler=scheduler)

    def _update_scheduler_order(self, service: ServiceName) -> None:
        actions = self._requests.set_scheduler_order(
            shard_id(service), self._scheduler_order(service), self._context.now_s()
        )
        self._execute(actions)

    def _on_peer_change(self, change: PeerChange) -> None:
        self._update_scheduler_orders()

    def _on_document(self, service: ServiceName, document: ServiceDocument) -> None:
        self._update_scheduler_order(service)
        self._update_local_share(service)

    def _on_upstream(self, upstream: UpstreamId) -> None:
        if self._context.directory.is_leaving(upstream):
            self._requests.upstream_leaving(upstream)
        else:
            self._requests.upstream_returned(upstream)
        for service in self._context.directory.services():
            self._update_local_share(service)

    def _update_local_share(self, service: ServiceName) -> None:
        nodes = len(self._context.membership.present()) + 1
        shares = tuple(
            LocalUpstream(
                known.upstream.upstream, max(1, int(known.group.max_streams * LOCAL_SHARE / nodes))
            )
            for known in self._context.directory.of_service(service)
        )
        self._requests.set_local_share(service, shares)

    # Actions.

    def _execute(self, actions: Iterable[EntryAction]) -> None:
        for action in actions:
            self._action_handlers[type(action)](action)
        self._wake.set()

    def _action_table(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            SubmitTicket: lambda action: self._post(action, Submit(action.ticket)),
            WithdrawTicket: lambda action: self._post(
                action, Withdraw(service_of(action.shard), action.request_id)
            ),
            DeclineGrant: self._decline,
            ReportDispatched: self._report_dispatched,
            ReportProgress: self._record_progress,
            ReportEnded: self._report_ended,
            RefreshScheduler: self._refresh_scheduler,
            ClaimKey: lambda action: self._claims.claim(action.claim),
            ReleaseKey: lambda action: self._claims.release(action.request_id),
            KeepAnswer: lambda action: self._claims.finished(action.request_id, action.kept),
            LeaveKeyClaimed: lambda action: self._claims.abandoned(action.request_id),
            SendUpstream: self._exchanges.send,
            ResumeUpstream: self._exchanges.resume,
            CancelUpstream: self._exchanges.cancel,
            SendHead: self._answer_caller,
            SendPart: self._answer_caller,
            SendEnd: self._answer_caller,
            SendRefusal: self._refuse_caller,
            BreakAnswer: self._break_answer,
            RecordGoodput: self._record_goodput,
            RecordWastedPrefill: self._record_wasted_prefill,
        }

    def _post(self, action: Any, message: object) -> None:
        self._context.post(action.scheduler, message)

    def _decline(self, action: DeclineGrant) -> None:
        grant = action.grant
        log_event(Event.GRANT_DECLINED, request_id=grant.request_id, attempt=grant.attempt)
        self._post(action, Declined(service_of(action.shard), grant.request_id, grant.attempt))

    def _report_dispatched(self, action: ReportDispatched) -> None:
        message = Dispatched(
            service_of(action.shard), action.request_id, action.attempt, action.upstream
        )
        self._post(action, message)

    def _record_progress(self, action: ReportProgress) -> None:
        service = service_of(action.shard)
        lines = self._progress.setdefault((action.scheduler, service), {})
        lines[action.request_id] = action.output_tokens

    def _send_progress(self) -> None:
        progress, self._progress = self._progress, {}
        for (scheduler, service), tokens in progress.items():
            lines = tuple(ProgressLine(request, count) for request, count in tokens.items())
            self._context.post(scheduler, Progress(service, lines))

    def _report_ended(self, action: ReportEnded) -> None:
        message = Ended(
            service_of(action.shard), action.request_id, action.end, action.cached_prompt_tokens
        )
        self._post(action, message)

    def _refresh_scheduler(self, action: RefreshScheduler) -> None:
        service = service_of(action.shard)
        message = Refresh(service, self._context.instance, action.waiting, action.in_flight)
        self._post(action, message)

    def _answer_caller(self, action: SendHead | SendPart | SendEnd) -> None:
        answer = self._answers.get(action.request_id)
        if answer is not None:
            answer.put(action)
        if isinstance(action, SendEnd):
            log_event(Event.REQUEST_FINISHED, request_id=action.request_id)

    def _refuse_caller(self, action: SendRefusal) -> None:
        log_event(
            Event.REQUEST_REFUSED,
            request_id=action.request_id,
            reason=action.reason,
            outcome=action.outcome,
            retry_after_s=round(action.retry_after_s, 2),
        )
        accepted = self._accepted.get(action.request_id)
        if accepted is not None:
            request, _ = accepted
            self._context.metrics.refused(request.service, request.tier, action.reason)
        answer = self._answers.get(action.request_id)
        if answer is not None:
            answer.put(action)

    def _break_answer(self, action: BreakAnswer) -> None:
        log_event(Event.REQUEST_BROKEN, request_id=action.request_id)
        answer = self._answers.get(action.request_id)
        if answer is not None:
            answer.put(action)

    def _record_goodput(self, action: RecordGoodput) -> None:
        self._context.metrics.goodput(
            action.service, action.tier, action.output_tokens, action.first_token_s
        )

    def _record_wasted_prefill(self, action: RecordWastedPrefill) -> None:
        self._context.metrics.wasted_prefill(
            action.service, action.tier, action.prompt_tokens, action.reason
        )

    def _on_claim_resolved(self, request_id: RequestId, answer: Any) -> None:
        self._execute(self._requests.claim_resolved(request_id, answer, self._context.now_s()))

    # Upstreams.

    def _may_send(self, request_id: RequestId, attempt: Attempt) -> bool:
        now_s = self._context.now_s()
        if not self._requests.may_send(request_id, attempt, now_s):
            return False
        self._execute(self._requests.take_actions())
        accepted = self._accepted.get(request_id)
        if accepted is not None:
            request, accepted_s = accepted
            self._context.metrics.dispatched(request.service, request.tier, now_s - accepted_s)
        return True

    def _on_item(self, request_id: RequestId, item: AnswerItem) -> None:
        self._execute(self._requests.answer_item(request_id, item, self._context.now_s()))

    async def _wait_for_room(self, request_id: RequestId) -> None:
        answer = self._answers.get(request_id)
        if answer is not None:
            await answer.wait_for_room()

    # Time.

    async def _run_timer(self) -> None:
        while True:
            now_s = self._context.now_s()
            if self._requests.next_tick_s() <= now_s:
                self._execute(self._requests.tick(now_s))
            sleep_s = self._requests.next_tick_s() - self._context.now_s()
            self._wake = trio.Event()
            with trio.move_on_after(min(max(sleep_s, MIN_TIMER_SLEEP_S), MAX_TIMER_SLEEP_S)):
                await self._wake.wait()
