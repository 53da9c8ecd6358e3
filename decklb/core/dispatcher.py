"""The dispatcher: forwards requests from a front to engines and answers back, as decided by one `Gateway`.

Owns the requests in flight. Fronts submit and abandon requests, and discovery and health checks report the state of
engines. The policy decides on these events once per tick, and its actions are carried out in order. Whatever the
policy, a front or an engine does, each request gets exactly one final answer, at the latest when its budget ends, and
never has two attempts in flight.
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

# ms that are subtracted from the budget before the policy gets it. The budget starts when the client sends the request,
# which is before the dispatcher has read all of it, and the answer takes time to reach the client. With a margin of
# 15 ms a client stopped waiting 24 ms before the end of the budget computed here, and its request was lost.
ANSWER_MARGIN_MS = 80.0
# Upper bound of that margin as a fraction of the budget, so that short budgets remain usable.
MAX_ANSWER_MARGIN_FRACTION = 0.1
# ms after the end of the budget at which the dispatcher itself answers a request that the policy has not answered. This
# is after the policy's deadline, so that the policy's answer comes first, and within the 20 ms (50 ms on sockets) by
# which a final answer may be late.
BACKSTOP_DELAY_MS = 10.0
# Ticks after an exception in the policy until it is called again, even if there are no new events.
POLICY_RETRY_TICKS = 10
POLICY_RETRY_LABEL = "again"


class Dispatcher:
    """Carries out the decisions of one `Gateway`."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, engines: EngineClient) -> None:
        """`seed` initializes the policy's random numbers."""
        self.settings, self.clock = settings, clock
        # Hedged attempts are never sent. A policy that was allowed to hedge spent attempts and retry budget on hedges
        # that were not sent, when it could have cancelled the first attempt and retried.
        self.gateway = Gateway(replace(settings, hedging=False), seed)
        # Requests by id: those in flight and those whose end the policy has not seen yet.
        self.requests: dict[str, Request] = {}
        # ms for which a request submitted now may have waited unread in its socket.
        self.unread_for_ms: Callable[[], float] = lambda: 0.0
        self._request_count = 0
        self._events = EventBatch(clock, settings.tick_ms, self._decide)
        self._deadlines = DeadlineQueue(clock, self._deadline_passed)
        log = RequestLog(clock)
        self._answers = FinalAnswers(clock, log)
        self._runner = AttemptRunner(
            settings, clock, engines, self._events, self._deadlines, self._answers, log, self._clear_attempts_if_done
        )

    @property
    def open_requests(self) -> int:
        """Number of requests without a final answer."""
        return self._answers.open_requests

    @property
    def on_idle(self) -> Callable[[], None]:
        """Called each time the last open request has been answered."""
        return self._answers.on_idle

    @on_idle.setter
    def on_idle(self, call: Callable[[], None]) -> None:
        self._answers.on_idle = call

    @property
    def engines(self) -> EngineClient:
        """The client that runs the attempts; a subsystem may wrap it in its own."""
        return self._runner.engines

    @engines.setter
    def engines(self, client: EngineClient) -> None:
        self._runner.engines = client

    @property
    def zone_router(self) -> ZoneRouter | None:
        """Selects the zones of requests; None unless the locality subsystem is enabled."""
        return self._runner.zone_router

    @zone_router.setter
    def zone_router(self, router: ZoneRouter | None) -> None:
        self._runner.zone_router = router

    def submit(
        self, request: IncomingRequest, sink: ResponseSink, client_has_left: Callable[[], bool] = lambda: False
    ) -> Request:
        """Accept a request; the sink gets exactly one answer, unless the request is abandoned.

        No attempt starts once `client_has_left` returns true.
        """
        # Clients may reuse request ids, by mistake or malice, so the policy gets ids assigned here.
        self._request_count += 1
        now = self.clock.now()
        # The client has waited since it sent the last byte, not since the request was read.
        budget_end_ms = now + request.budget_ms - self.unread_for_ms()
        margin_ms = min(ANSWER_MARGIN_MS, MAX_ANSWER_MARGIN_FRACTION * request.budget_ms)
        accepted = Request(f"r{self._request_count}", request, sink, budget_end_ms - margin_ms, client_has_left)
        self.requests[accepted.request_id] = accepted
        self._answers.open_requests += 1
        self._deadlines.add(budget_end_ms + BACKSTOP_DELAY_MS, accepted.request_id)
        router = self._runner.zone_router
        preferred_zone, allowed_zones = ("", None) if router is None else router.route(request.request_class)
        self._events.post(
            api.RequestArrived(
                accepted.request_id,
                request.request_class,
                request.tenant,
                max(0.0, accepted.deadline_ms - now),
                request.table_group,
                request.ordering_key,
                preferred_zone=preferred_zone,
                allowed_zones=allowed_zones,
            )
        )
        return accepted

    def abandon(self, handle: Request) -> None:
        """The client has disconnected: send no answer and cancel the attempts at once."""
        if not handle.answered:
            self._answers.close(handle)
            self._events.post(api.ClientGone(handle.request_id))
            for attempt in handle.attempts:
                self._runner.abandon(attempt, Outcome.CANCELLED)

    def cancel(self, handle: Request) -> None:
        """The client has cancelled the request. Same as `abandon`, since no request here outlives its client."""
        self.abandon(handle)

    def update_endpoints(self, endpoints: list[api.Endpoint]) -> None:
        """Replace the endpoint list."""
        # An attempt that waits for a connection must not start long after its engine has begun to drain.
        up = {endpoint.engine_id for endpoint in endpoints if endpoint.phase is api.Phase.UP}
        start_deadline_ms = self.clock.now() + self.settings.drain_grace_ms
        for request in self.requests.values():
            for attempt in request.attempts:
                if not attempt.ended and attempt.engine_id not in up:
                    attempt.start_deadline_ms = min(attempt.start_deadline_ms, start_deadline_ms)
        self.post_event(api.EndpointsUpdated(endpoints, True))

    def health_checked(self, engine_id: str, outcome: Outcome) -> None:
        """Report the result of an engine's health check, made by any member: SUCCESS or UNREACHABLE."""
        self.post_event(api.HealthCheckResult(engine_id, outcome, 0.0))

    def shut_down(self) -> None:
        """Have the policy answer all open requests because the process is about to exit."""
        self.post_event(api.ShutdownStarted())

    def post_event(self, event: api.Event) -> None:
        """Pass an event to the policy at the next tick."""
        self._events.post(event)

    def _decide(self, now: float, events: list[api.Event]) -> None:
        answered_ids = self._answers.take_answered_ids()
        try:
            actions = self.gateway.step(now, events)
        except Exception:  # must not end the process; unanswered requests get their answer from the backstop
            logger.exception("policy failed on {count} events", event="policy-failed", count=len(events))
            actions = [api.SetTimer(self.settings.tick_ms * POLICY_RETRY_TICKS, POLICY_RETRY_LABEL)]
        for action in actions:
            self._carry_out(action)
        for request_id in answered_ids:  # the policy has seen their end; its actions for them were ignored
            self._clear_attempts_if_done(self.requests.pop(request_id))

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                if (request := self.requests.get(action.request_id)) is not None:
                    if not request.answered and request.client_has_left():
                        self.abandon(request)
                    self._runner.start(request, action.engine_id, action.timeout_ms)
            case api.CancelAttempt():
                request = self.requests.get(action.request_id)
                if request is not None and 0 <= action.attempt < len(request.attempts):
                    self._runner.abandon(request.attempts[action.attempt], Outcome.CANCELLED)
            case api.Reject():
                request = self.requests.get(action.request_id)
                if request is not None and not request.answered:
                    self._answers.reject(request, action.retry_after_ms)
            case api.Fail():
                request = self.requests.get(action.request_id)
                if request is not None and not request.answered:
                    self._answers.fail(request)
            case api.SetTimer():
                label = action.label
                self.clock.call_later(action.delay_ms, lambda: self._events.post(api.TimerFired(label)))
            case _:  # the protocols have no resources, health checks, peer messages or subscriptions
                logger.debug(
                    "action not supported by this protocol: {action}", event="action-ignored", action=str(action)
                )

    def _deadline_passed(self, request_id: str, attempt_number: int) -> None:
        request = self.requests.get(request_id)
        if request is None:
            return
        if attempt_number == WHOLE_REQUEST:
            self._answer_at_deadline(request)
        else:
            self._runner.abandon(request.attempts[attempt_number], Outcome.TIMED_OUT)

    def _answer_at_deadline(self, request: Request) -> None:
        """Fail a request that the policy has not answered by the end of its budget."""
        if request.answered:
            return
        logger.warning(
            "deadline backstop: the policy did not answer {request} of class {request_class} in time",
            event="deadline-backstop",
            request=request.request_id,
            request_class=request.incoming.request_class,
        )
        self.abandon(request)
        self._answers.deliver_failure(request)

    def _clear_attempts_if_done(self, request: Request) -> None:
        # Requests and attempts refer to each other. Left to the garbage collector, thousands of such cycles per second
        # made its full collections take 20 to 50 ms, during which deadlines passed.
        if request.request_id not in self.requests and not request.has_open_attempt():
            request.attempts.clear()
            request.incoming.release()
