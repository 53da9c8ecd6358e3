"""The dispatcher: one Gateway, its clock and timers, the live requests and their attempts.

Events are batched by the settings' tick, as the decision module expects, and its actions are carried out
through the two ports. Whatever the module, a front or an engine does, each request gets one final answer,
at the latest when its time is over, and has no two attempts out at once.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush

from loguru import logger

from decklb import interface as api
from decklb.core.ports import Clock, EngineClient, IncomingRequest, ResponseSink, Timer, ZoneRouter
from decklb.core.request_log import RequestLog
from decklb.core.timers import call_after_reading
from decklb.interface import Effect, Outcome
from decklb.policy.gateway import Gateway
from decklb.policy.records import NEVER_EXECUTED

# A budget runs from when the client sent its request, which is some time before it is read here whole, and the
# last answer needs its way back: the module is told of this much less. With 15 ms a client was seen to stop waiting
# 24 ms before the end that was reckoned here, and its request was lost; no part of a short budget is given up for it.
EARLY, EARLY_PART = 80.0, 0.1
# The backstop answers for a module that has not. It is past what the module was told, so that its own word
# comes first, and within the 20 ms (and 50 on sockets) by which a final answer may be late.
BACKSTOP = 10.0
# Deadlines share one timer: two timers of the reactor's for each request took a tenth of a busy core.
WATCH = 2.0
LEAST = 0.001  # ms that an attempt took: the module divides by what is usual, and a coarse clock may not have moved


class Request:
    """A request from its arrival until its final answer."""

    __slots__ = ("request_id", "incoming", "sink", "deadline_ms", "attempts", "answered")

    def __init__(self, ident: str, work: IncomingRequest, sink: ResponseSink, deadline: float) -> None:
        self.request_id, self.incoming, self.sink, self.deadline_ms = ident, work, sink, deadline
        self.attempts: list[Attempt] = []
        self.answered = False

    def has_open_attempt(self) -> bool:
        """Whether an attempt lacks its end."""
        return any(not a.ended for a in self.attempts)


class Attempt:
    """One send of a request to one engine, named by its directory id."""

    __slots__ = (
        "request",
        "number",
        "engine_id",
        "started_at_ms",
        "deadline_ms",
        "start_deadline_ms",
        "abandoned",
        "timed_out",
        "ended",
        "outcome",
        "sent",
        "handle",
        "_owner",
    )

    def __init__(self, owner: Dispatcher, request: Request, engine: str, started: float, wait: float) -> None:
        self.request, self.engine_id, self.started_at_ms, self._owner = request, engine, started, owner
        self.number = len(request.attempts)
        self.deadline_ms = self.start_deadline_ms = started + wait  # latest: after this it may no longer begin
        self.outcome: Outcome | None = None
        self.sent = True  # its engine client says no while it waits, as for a connection
        self.abandoned = self.timed_out = self.ended = False
        self.handle: object = None  # the engine client's own

    def end(self, outcome: Outcome, result: bytes = b"") -> None:
        """The engine client's word on how it ended. Late words are ignored."""
        self._owner.attempt_ended(self, outcome, result)

    def mark_uncertain(self) -> None:
        """Its connection has ended right behind its answer: the engine may not count it as finished."""
        self._owner.attempt_uncertain(self)

    def report_progress(self, kind: int, level: float) -> None:
        """Word of progress: 1 share done, 2 spills, 3 waits."""
        self._owner.attempt_progressed(self, kind, level)


class Dispatcher:
    """Carries out the decisions of one Gateway. `on_idle` is called whenever the last request has ended."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, engines: EngineClient) -> None:
        self.settings, self.clock, self.engines = settings, clock, engines
        # No two attempts of a request are let out here. A module told that it may send copies spent attempts and ration
        # on ones that were held back, where it could call the first off and try again.
        self.gateway = Gateway(replace(settings, hedging=False), seed)
        self.live: dict[str, Request] = {}
        self.open_requests = 0  # requests that lack their final answer
        self.on_idle: Callable[[], None] = lambda: None
        self.zone_router: ZoneRouter | None = None  # given where traffic is kept near
        self.unread_for_ms: Callable[[], float] = lambda: 0.0  # ms that what is submitted now may have lain unread
        self.log = RequestLog(clock)
        self._count = 0
        self._pending: list[api.Event] = []
        self._closed: list[str] = []  # answered, and the module may not know yet
        self._due: Timer | None = None
        self._last = clock.now() - settings.tick_ms
        # (when, request, leg), leg -1 for the request itself; what has ended since is passed over when due.
        self._deadlines: list[tuple[float, str, int]] = []
        self._watching = False

    # What fronts and the directory call.

    def submit(self, work: IncomingRequest, sink: ResponseSink) -> Request:
        """Take a request; its sink gets one answer, unless it is abandoned."""
        # Ids of clients may repeat, by mistake or malice; towards the module only our own ones count.
        self._count += 1
        now = self.clock.now()
        ends = now + work.budget_ms - self.unread_for_ms()  # its client has waited since it wrote the last byte
        early = min(EARLY, EARLY_PART * work.budget_ms)
        r = Request(f"r{self._count}", work, sink, ends - early)
        self.live[r.request_id] = r
        self.open_requests += 1
        self._watch(ends + BACKSTOP, r, -1)
        zone, zones = ("", None) if self.zone_router is None else self.zone_router.route(work.request_class)
        self._post(
            api.RequestArrived(
                r.request_id,
                work.request_class,
                work.tenant,
                max(0.0, r.deadline_ms - now),
                work.table_group,
                work.ordering_key,
                preferred_zone=zone,
                allowed_zones=zones,
            )
        )
        return r

    def abandon(self, r: Request) -> None:
        """Nobody waits any more: no answer, and the work is freed at once."""
        if not r.answered:
            self._finish(r)
            self._post(api.ClientGone(r.request_id))
            for a in r.attempts:
                self._give_up(a, Outcome.CANCELLED)

    def cancel(self, r: Request) -> None:
        """Its client wants it no more; without anything that outlives the client this is the same."""
        self.abandon(r)

    def update_endpoints(self, entries: list[api.Endpoint]) -> None:
        """The whole list of engines, as last heard."""
        # Guards the drains: what waits for a connection when its engine begins to drain may not begin much later.
        up = {e.engine_id for e in entries if e.phase is api.Phase.UP}
        latest = self.clock.now() + self.settings.drain_grace_ms
        for r in self.live.values():
            for a in r.attempts:
                if not a.ended and a.engine_id not in up:
                    a.start_deadline_ms = min(a.start_deadline_ms, latest)
        self._post(api.EndpointsUpdated(entries, True))

    def health_checked(self, engine: str, outcome: Outcome) -> None:
        """What probes by any member found of an engine; NOCONN: it can't be reached."""
        self._post(api.HealthCheckResult(engine, outcome, 0.0))

    def shut_down(self) -> None:
        """The process is about to end: the module answers all that is open."""
        self._post(api.ShutdownStarted())

    # What attempts call.

    def attempt_ended(self, a: Attempt, outcome: Outcome, result: bytes) -> None:
        """One attempt's end; the first good one is the request's answer."""
        if a.ended or a.abandoned:
            return
        r = a.request
        if outcome is Outcome.SUCCESS and not r.answered:
            self._finish(r)
            self._answer(r, lambda: r.sink.served(result))
        self._close(a, outcome)

    def attempt_uncertain(self, a: Attempt) -> None:
        """The connection of an attempt has ended soon after its answer."""
        key = a.request.incoming.ordering_key
        if a.ended and not a.abandoned and key is not None:
            self.log.answer_in_doubt(a)
            self._post(api.CompletionUncertain(key))

    def attempt_progressed(self, a: Attempt, kind: int, level: float) -> None:
        """Progress of an attempt that is out."""
        if not (a.ended or a.abandoned):
            self._post(api.AttemptProgress(a.request.request_id, a.number, kind, level))

    # Inside.

    def _post(self, event: api.Event) -> None:
        self._pending.append(event)
        if self._due is None:
            wait = max(0.0, self._last + self.settings.tick_ms - self.clock.now())
            self._due = call_after_reading(self.clock, wait, self._step)

    def _step(self) -> None:
        self._due = None
        events, self._pending = self._pending, []
        closed, self._closed = self._closed, []
        self._last = self.clock.now()
        try:
            actions = self.gateway.step(self._last, events)
        except Exception:  # a fault of the decisions must not take the sockets down: the backstop answers
            logger.exception("decision module failed on {count} events", event="module-failed", count=len(events))
            actions = [api.SetTimer(self.settings.tick_ms * 10, "again")]
        for action in actions:
            self._act(action)
        for ident in closed:  # the module has now been told; what it just did about them was let pass
            self._forget(self.live.pop(ident))

    def _act(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                if (r := self.live.get(action.request_id)) is not None:
                    self._send(r, action)
            case api.CancelAttempt():
                r = self.live.get(action.request_id)
                if r is not None and 0 <= action.attempt < len(r.attempts):
                    self._give_up(r.attempts[action.attempt], Outcome.CANCELLED)
            case api.Reject():
                r = self.live.get(action.request_id)
                if r is not None and not r.answered:
                    sink, wait = r.sink, action.retry_after_ms
                    self._turn_away(r, "refused")
                    self._answer(r, lambda: sink.rejected(wait))
            case api.Fail():
                r = self.live.get(action.request_id)
                if r is not None and not r.answered:
                    self._turn_away(r, "failed")
                    self._answer(r, r.sink.failed)
            case api.SetTimer():
                label = action.label
                self.clock.call_later(action.delay_ms, lambda: self._post(api.TimerFired(label)))
            case _:  # terms, probes, peers and calls for the list have no counterpart on these wires
                logger.debug("no counterpart on this wire: {action}", event="no-counterpart", action=str(action))

    def _send(self, r: Request, action: api.StartAttempt) -> None:
        now = self.clock.now()
        left = r.deadline_ms - now
        a = Attempt(self, r, action.engine_id, now, min(left, action.timeout_ms or left))
        out = r.has_open_attempt()
        a.start_deadline_ms = min(a.start_deadline_ms, self._repeatable(r))
        r.attempts.append(a)
        if r.answered or out or left <= 0 or now > a.start_deadline_ms:
            # Guards the rules on overlap, repeats and final answers whatever the module says: it never goes out.
            if out:
                logger.error(
                    "second attempt for {request} while one is out", event="overlap-stopped", request=r.request_id
                )
            return self._close(a, Outcome.NEVER_SENT)
        self._watch(a.deadline_ms, r, a.number)
        self.engines.start(a)

    def _repeatable(self, r: Request) -> float:
        """Until when its class lets another attempt begin."""
        ran = next((a for a in r.attempts if a.outcome not in NEVER_EXECUTED), None)
        spec = self.settings.classes.get(r.incoming.request_class)
        if ran is None or spec is None or spec.effect is Effect.SAFE:
            return math.inf
        return ran.started_at_ms + spec.deduplication_window_ms if spec.effect is Effect.KEYED else -math.inf

    def _forget(self, r: Request) -> None:
        # Requests and attempts name each other. Left to the garbage collector, thousands of such circles a
        # second made its full collections take 20 to 50 ms, in which deadlines passed.
        if r.request_id not in self.live and not r.has_open_attempt():
            r.attempts.clear()

    def _watch(self, when: float, r: Request, leg: int) -> None:
        heappush(self._deadlines, (when, r.request_id, leg))
        if not self._watching:
            self._watching = True
            call_after_reading(self.clock, WATCH, self._due_now)

    def _due_now(self) -> None:
        now, due = self.clock.now(), self._deadlines
        while due and due[0][0] <= now:
            _, ident, leg = heappop(due)
            r = self.live.get(ident)
            if r is not None and leg >= 0:
                self._give_up(r.attempts[leg], Outcome.TIMED_OUT)
            elif r is not None:
                self._overdue(r)
        self._watching = bool(due)
        if due:
            call_after_reading(self.clock, WATCH, self._due_now)

    def _give_up(self, a: Attempt, outcome: Outcome) -> None:
        if a.ended or a.abandoned:
            return
        a.abandoned, a.timed_out = True, outcome is Outcome.TIMED_OUT
        # Until the engine has let go it is still out, and the module may not send another.
        begun = a.sent
        self.engines.abandon(a, lambda: self._close(a, outcome if begun else Outcome.NEVER_SENT))

    def _close(self, a: Attempt, outcome: Outcome) -> None:
        a.ended, a.outcome, a.handle = True, outcome, None
        r = a.request
        took = max(LEAST, self.clock.now() - a.started_at_ms)
        if outcome is not Outcome.SUCCESS:
            self.log.attempt_ended(a, outcome.value, took)
        if self.zone_router is not None and outcome is not Outcome.NEVER_SENT:
            self.zone_router.attempt_ended(a.engine_id, r.incoming.request_class, outcome, took)
        self._post(api.AttemptEnded(r.request_id, a.number, a.engine_id, outcome, took, r.answered))
        self._forget(r)

    def _overdue(self, r: Request) -> None:
        if not r.answered:
            logger.warning(
                "deadline backstop for {request} of class {lane}",
                event="backstop",
                request=r.request_id,
                lane=r.incoming.request_class,
            )
            sink = r.sink
            self.abandon(r)
            self._answer(r, sink.failed)

    def _finish(self, r: Request) -> None:
        """From here on the request has had its answer; nothing else may be told to its client."""
        r.answered = True
        self.open_requests -= 1
        self._closed.append(r.request_id)
        if not self.open_requests:  # only after whoever called has written the answer
            self.clock.call_later(0, self._idle)

    def _turn_away(self, r: Request, answer: str) -> None:
        self.log.turned_away(r, answer, r.deadline_ms - self.clock.now())
        self._finish(r)

    def _idle(self) -> None:
        if not self.open_requests:
            self.on_idle()

    def _answer(self, r: Request, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:  # a front's fault with one client must not stop the others
            logger.exception("answer to {request} failed", event="answer-failed", request=r.request_id)
