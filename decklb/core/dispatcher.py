"""The dispatcher: carries requests from a front to engines and back, by the decisions of one Gateway.

Owns the requests in flight. Fronts submit and abandon requests, discovery and health checks bring news of engines, and
the policy's actions are carried out in order, once a tick. Whatever the policy, a front or an engine does, each request
gets one final answer, at the latest when its time is over, and has no two attempts out at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from decklb import interface as api
from decklb.core.attempt_runner import AttemptRunner
from decklb.core.attempts import Request
from decklb.core.deadlines import WHOLE_REQUEST, DeadlineQueue
from decklb.core.engine_client import EngineClient
from decklb.core.event_batch import EventBatch
from decklb.core.final_answers import FinalAnswers
from decklb.core.ports import Clock, IncomingRequest, ResponseSink, ZoneRouter
from decklb.core.request_log import RequestLog
from decklb.interface import Outcome
from decklb.policy.gateway import Gateway

# ms by which the policy is told less than the budget. A budget runs from when the client sent its request, which is
# some time before it is read here whole, and the last answer needs its way back. With 15 ms a client was seen to stop
# waiting 24 ms before the end that was reckoned here, and its request was lost.
ANSWER_MARGIN_MS = 80.0
# At most this part of a budget is given up for the margin, so that short ones stay of use.
MAX_ANSWER_MARGIN_FRACTION = 0.1
# ms after the end of the budget at which the backstop answers for a policy that has not: past what the policy was told,
# so that its own answer comes first, and within the 20 ms (50 on sockets) by which a final answer may be late.
BACKSTOP_DELAY_MS = 10.0
# Ticks until the policy is asked again after it has failed.
RETRY_TICKS = 10
RETRY_LABEL = "again"


class Dispatcher:
    """Carries out the decisions of one Gateway."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, engines: EngineClient) -> None:
        """`seed` is of the policy's random choices."""
        self.settings, self.clock = settings, clock
        # No two attempts of a request are let out here. A policy told that it may hedge spent attempts and retry budget
        # on ones that were held back, where it could cancel the first and try again.
        self.gateway = Gateway(replace(settings, hedging=False), seed)
        self.live: dict[str, Request] = {}  # requests in flight, and those whose end the policy may not know yet
        self.unread_for_ms: Callable[[], float] = lambda: 0.0  # ms that what is submitted now may have lain unread
        self._request_count = 0
        self._events = EventBatch(clock, settings.tick_ms, self._decide)
        self._deadlines = DeadlineQueue(clock, self._deadline_passed)
        log = RequestLog(clock)
        self._answers = FinalAnswers(clock, log)
        self._runner = AttemptRunner(
            settings, clock, engines, self._events, self._deadlines, self._answers, log, self._forget_if_done
        )

    @property
    def open_requests(self) -> int:
        """Requests that lack their final answer."""
        return self._answers.open_requests

    @property
    def on_idle(self) -> Callable[[], None]:
        """Called whenever the last open request has got its answer."""
        return self._answers.on_idle

    @on_idle.setter
    def on_idle(self, call: Callable[[], None]) -> None:
        self._answers.on_idle = call

    @property
    def engines(self) -> EngineClient:
        """The client that runs attempts; a subsystem may put its own before it."""
        return self._runner.engines

    @engines.setter
    def engines(self, client: EngineClient) -> None:
        self._runner.engines = client

    @property
    def zone_router(self) -> ZoneRouter | None:
        """Chooses zones for requests, where traffic is kept in its zone."""
        return self._runner.zone_router

    @zone_router.setter
    def zone_router(self, router: ZoneRouter | None) -> None:
        self._runner.zone_router = router

    def submit(self, incoming: IncomingRequest, sink: ResponseSink) -> Request:
        """Take a request; its sink gets one answer, unless it is abandoned."""
        # Ids of clients may repeat, by mistake or malice; towards the policy only our own ones count.
        self._request_count += 1
        now = self.clock.now()
        budget_end_ms = now + incoming.budget_ms - self.unread_for_ms()  # its client waits since its last byte
        margin_ms = min(ANSWER_MARGIN_MS, MAX_ANSWER_MARGIN_FRACTION * incoming.budget_ms)
        request = Request(f"r{self._request_count}", incoming, sink, budget_end_ms - margin_ms)
        self.live[request.request_id] = request
        self._answers.open_requests += 1
        self._deadlines.add(budget_end_ms + BACKSTOP_DELAY_MS, request.request_id)
        router = self._runner.zone_router
        zone, zones = ("", None) if router is None else router.route(incoming.request_class)
        self._events.post(
            api.RequestArrived(
                request.request_id,
                incoming.request_class,
                incoming.tenant,
                max(0.0, request.deadline_ms - now),
                incoming.table_group,
                incoming.ordering_key,
                preferred_zone=zone,
                allowed_zones=zones,
            )
        )
        return request

    def abandon(self, request: Request) -> None:
        """Its client has disconnected: no answer, and its attempts are cancelled at once."""
        if not request.answered:
            self._answers.close(request)
            self._events.post(api.ClientGone(request.request_id))
            for attempt in request.attempts:
                self._runner.abandon(attempt, Outcome.CANCELLED)

    def cancel(self, request: Request) -> None:
        """Its client has cancelled it; here, where nothing outlives the client, this is the same."""
        self.abandon(request)

    def update_endpoints(self, endpoints: list[api.Endpoint]) -> None:
        """The complete list of engines, as last heard."""
        # Guards the drains: what waits for a connection when its engine begins to drain may not begin much later.
        up = {endpoint.engine_id for endpoint in endpoints if endpoint.phase is api.Phase.UP}
        start_deadline_ms = self.clock.now() + self.settings.drain_grace_ms
        for request in self.live.values():
            for attempt in request.attempts:
                if not attempt.ended and attempt.engine_id not in up:
                    attempt.start_deadline_ms = min(attempt.start_deadline_ms, start_deadline_ms)
        self.post_event(api.EndpointsUpdated(endpoints, True))

    def health_checked(self, engine_id: str, outcome: Outcome) -> None:
        """What health checks of any member found of an engine; UNREACHABLE: it can't be reached."""
        self.post_event(api.HealthCheckResult(engine_id, outcome, 0.0))

    def shut_down(self) -> None:
        """The process is about to end: the policy answers all that is open."""
        self.post_event(api.ShutdownStarted())

    def post_event(self, event: api.Event) -> None:
        """Have the policy decide on an event at its next tick."""
        self._events.post(event)

    def _decide(self, now: float, events: list[api.Event]) -> None:
        answered_ids = self._answers.take_answered_ids()
        try:
            actions = self.gateway.step(now, events)
        except Exception:  # a fault of the policy must not take the sockets down: the backstop answers
            logger.exception("policy failed on {count} events", event="policy-failed", count=len(events))
            actions = [api.SetTimer(self.settings.tick_ms * RETRY_TICKS, RETRY_LABEL)]
        for action in actions:
            self._carry_out(action)
        for request_id in answered_ids:  # the policy has now been told; its actions for them were ignored
            self._forget_if_done(self.live.pop(request_id))

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                if (request := self.live.get(action.request_id)) is not None:
                    self._runner.start(request, action.engine_id, action.timeout_ms)
            case api.CancelAttempt():
                request = self.live.get(action.request_id)
                if request is not None and 0 <= action.attempt < len(request.attempts):
                    self._runner.abandon(request.attempts[action.attempt], Outcome.CANCELLED)
            case api.Reject():
                request = self.live.get(action.request_id)
                if request is not None and not request.answered:
                    self._answers.reject(request, action.retry_after_ms)
            case api.Fail():
                request = self.live.get(action.request_id)
                if request is not None and not request.answered:
                    self._answers.fail(request)
            case api.SetTimer():
                label = action.label
                self.clock.call_later(action.delay_ms, lambda: self._events.post(api.TimerFired(label)))
            case _:  # resources, health checks, messages of peers and watches have no counterpart on these wires
                logger.debug("no counterpart on this wire: {action}", event="action-ignored", action=str(action))

    def _deadline_passed(self, request_id: str, attempt_number: int) -> None:
        request = self.live.get(request_id)
        if request is None:
            return
        if attempt_number == WHOLE_REQUEST:
            self._backstop(request)
        else:
            self._runner.abandon(request.attempts[attempt_number], Outcome.TIMED_OUT)

    def _backstop(self, request: Request) -> None:
        """Answer for a policy that has not."""
        if request.answered:
            return
        logger.warning(
            "deadline backstop for {request} of class {request_class}",
            event="deadline-backstop",
            request=request.request_id,
            request_class=request.incoming.request_class,
        )
        self.abandon(request)
        self._answers.fail_closed(request)

    def _forget_if_done(self, request: Request) -> None:
        # Requests and attempts name each other. Left to the garbage collector, thousands of such cycles a second made
        # its full collections take 20 to 50 ms, in which deadlines passed.
        if request.request_id not in self.live and not request.has_open_attempt():
            request.attempts.clear()
