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
from decklb.core.ports import AnswerSink, Clock, EngineClient, Places, Timer, Work
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

    __slots__ = ("ident", "work", "sink", "deadline", "attempts", "answered")

    def __init__(self, ident: str, work: Work, sink: AnswerSink, deadline: float) -> None:
        self.ident, self.work, self.sink, self.deadline = ident, work, sink, deadline
        self.attempts: list[Attempt] = []
        self.answered = False

    def out(self) -> bool:
        """Whether an attempt lacks its end."""
        return any(not a.ended for a in self.attempts)


class Attempt:
    """One send of a request to one engine, named by its directory id."""

    __slots__ = (
        "request",
        "leg",
        "engine",
        "started",
        "deadline",
        "latest",
        "given_up",
        "overdue",
        "ended",
        "outcome",
        "begun",
        "handle",
        "_owner",
    )

    def __init__(self, owner: Dispatcher, request: Request, engine: str, started: float, wait: float) -> None:
        self.request, self.engine, self.started, self._owner = request, engine, started, owner
        self.leg = len(request.attempts)
        self.deadline = self.latest = started + wait  # latest: after this it may no longer begin
        self.outcome: Outcome | None = None
        self.begun = True  # its engine client says no while it waits, as for a connection
        self.given_up = self.overdue = self.ended = False
        self.handle: object = None  # the engine client's own

    def end(self, outcome: Outcome, result: bytes = b"") -> None:
        """The engine client's word on how it ended. Late words are ignored."""
        self._owner.attempt_ended(self, outcome, result)

    def doubt(self) -> None:
        """Its connection has ended right behind its answer: the engine may not count it as finished."""
        self._owner.attempt_doubted(self)

    def note(self, kind: int, level: float) -> None:
        """Word of progress: 1 share done, 2 spills, 3 waits."""
        self._owner.attempt_noted(self, kind, level)


class Dispatcher:
    """Carries out the decisions of one Gateway. `on_idle` is called whenever the last request has ended."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, engines: EngineClient) -> None:
        self.settings, self.clock, self.engines = settings, clock, engines
        # No two attempts of a request are let out here. A module told that it may send copies spent attempts and ration
        # on ones that were held back, where it could call the first off and try again.
        self.gateway = Gateway(replace(settings, duplicates=False), seed)
        self.live: dict[str, Request] = {}
        self.open = 0  # requests that lack their final answer
        self.on_idle: Callable[[], None] = lambda: None
        self.places: Places | None = None  # given where traffic is kept near
        self.unread_for: Callable[[], float] = lambda: 0.0  # ms that what is submitted now may have lain unread
        self.log = RequestLog(clock)
        self._count = 0
        self._pending: list[api.Event] = []
        self._closed: list[str] = []  # answered, and the module may not know yet
        self._due: Timer | None = None
        self._last = clock.now() - settings.tick
        # (when, request, leg), leg -1 for the request itself; what has ended since is passed over when due.
        self._deadlines: list[tuple[float, str, int]] = []
        self._watching = False

    # What fronts and the directory call.

    def submit(self, work: Work, sink: AnswerSink) -> Request:
        """Take a request; its sink gets one answer, unless it is abandoned."""
        # Ids of clients may repeat, by mistake or malice; towards the module only our own ones count.
        self._count += 1
        now = self.clock.now()
        ends = now + work.budget - self.unread_for()  # its client has waited since it wrote the last byte
        early = min(EARLY, EARLY_PART * work.budget)
        r = Request(f"r{self._count}", work, sink, ends - early)
        self.live[r.ident] = r
        self.open += 1
        self._watch(ends + BACKSTOP, r, -1)
        zone, zones = ("", None) if self.places is None else self.places.place(work.lane)
        self._post(
            api.Arrival(
                r.ident,
                work.lane,
                work.tenant,
                max(0.0, r.deadline - now),
                work.tables,
                work.key,
                zone=zone,
                zones=zones,
            )
        )
        return r

    def abandon(self, r: Request) -> None:
        """Nobody waits any more: no answer, and the work is freed at once."""
        if not r.answered:
            self._finish(r)
            self._post(api.Left(r.ident))
            for a in r.attempts:
                self._give_up(a, Outcome.CXL)

    def cancel(self, r: Request) -> None:
        """Its client wants it no more; without anything that outlives the client this is the same."""
        self.abandon(r)

    def members(self, entries: list[api.Entry]) -> None:
        """The whole list of engines, as last heard."""
        # Guards the drains: what waits for a connection when its engine begins to drain may not begin much later.
        up = {e.engine for e in entries if e.phase is api.Phase.UP}
        latest = self.clock.now() + self.settings.drain_grace
        for r in self.live.values():
            for a in r.attempts:
                if not a.ended and a.engine not in up:
                    a.latest = min(a.latest, latest)
        self._post(api.Members(entries, True))

    def probed(self, engine: str, outcome: Outcome) -> None:
        """What probes by any member found of an engine; NOCONN: it can't be reached."""
        self._post(api.Probed(engine, outcome, 0.0))

    def close(self) -> None:
        """The process is about to end: the module answers all that is open."""
        self._post(api.Closing())

    # What attempts call.

    def attempt_ended(self, a: Attempt, outcome: Outcome, result: bytes) -> None:
        """One attempt's end; the first good one is the request's answer."""
        if a.ended or a.given_up:
            return
        r = a.request
        if outcome is Outcome.GOOD and not r.answered:
            self._finish(r)
            self._answer(r, lambda: r.sink.served(result))
        self._close(a, outcome)

    def attempt_doubted(self, a: Attempt) -> None:
        """The connection of an attempt has ended soon after its answer."""
        key = a.request.work.key
        if a.ended and not a.given_up and key is not None:
            self.log.answer_in_doubt(a)
            self._post(api.Doubted(key))

    def attempt_noted(self, a: Attempt, kind: int, level: float) -> None:
        """Progress of an attempt that is out."""
        if not (a.ended or a.given_up):
            self._post(api.Progress(a.request.ident, a.leg, kind, level))

    # Inside.

    def _post(self, event: api.Event) -> None:
        self._pending.append(event)
        if self._due is None:
            wait = max(0.0, self._last + self.settings.tick - self.clock.now())
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
            actions = [api.Sleep(self.settings.tick * 10, "again")]
        for action in actions:
            self._act(action)
        for ident in closed:  # the module has now been told; what it just did about them was let pass
            self._forget(self.live.pop(ident))

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                if (r := self.live.get(action.req)) is not None:
                    self._send(r, action)
            case api.Cancel():
                r = self.live.get(action.req)
                if r is not None and 0 <= action.leg < len(r.attempts):
                    self._give_up(r.attempts[action.leg], Outcome.CXL)
            case api.Refuse():
                r = self.live.get(action.req)
                if r is not None and not r.answered:
                    sink, wait = r.sink, action.wait
                    self._turn_away(r, "refused")
                    self._answer(r, lambda: sink.refused(wait))
            case api.Fail():
                r = self.live.get(action.req)
                if r is not None and not r.answered:
                    self._turn_away(r, "failed")
                    self._answer(r, r.sink.failed)
            case api.Sleep():
                label = action.label
                self.clock.call_later(action.delay, lambda: self._post(api.Tick(label)))
            case _:  # terms, probes, peers and calls for the list have no counterpart on these wires
                logger.debug("no counterpart on this wire: {action}", event="no-counterpart", action=str(action))

    def _send(self, r: Request, action: api.Send) -> None:
        now = self.clock.now()
        left = r.deadline - now
        a = Attempt(self, r, action.engine, now, min(left, action.max_wait or left))
        out = r.out()
        a.latest = min(a.latest, self._repeatable(r))
        r.attempts.append(a)
        if r.answered or out or left <= 0 or now > a.latest:
            # Guards the rules on overlap, repeats and final answers whatever the module says: it never goes out.
            if out:
                logger.error("second attempt for {request} while one is out", event="overlap-stopped", request=r.ident)
            return self._close(a, Outcome.NOP)
        self._watch(a.deadline, r, a.leg)
        self.engines.start(a)

    def _repeatable(self, r: Request) -> float:
        """Until when its class lets another attempt begin."""
        ran = next((a for a in r.attempts if a.outcome not in NEVER_EXECUTED), None)
        spec = self.settings.classes.get(r.work.lane)
        if ran is None or spec is None or spec.effect is Effect.SAFE:
            return math.inf
        return ran.started + spec.memory_span if spec.effect is Effect.KEYED else -math.inf

    def _forget(self, r: Request) -> None:
        # Requests and attempts name each other. Left to the garbage collector, thousands of such circles a
        # second made its full collections take 20 to 50 ms, in which deadlines passed.
        if r.ident not in self.live and not r.out():
            r.attempts.clear()

    def _watch(self, when: float, r: Request, leg: int) -> None:
        heappush(self._deadlines, (when, r.ident, leg))
        if not self._watching:
            self._watching = True
            call_after_reading(self.clock, WATCH, self._due_now)

    def _due_now(self) -> None:
        now, due = self.clock.now(), self._deadlines
        while due and due[0][0] <= now:
            _, ident, leg = heappop(due)
            r = self.live.get(ident)
            if r is not None and leg >= 0:
                self._give_up(r.attempts[leg], Outcome.LATE)
            elif r is not None:
                self._overdue(r)
        self._watching = bool(due)
        if due:
            call_after_reading(self.clock, WATCH, self._due_now)

    def _give_up(self, a: Attempt, outcome: Outcome) -> None:
        if a.ended or a.given_up:
            return
        a.given_up, a.overdue = True, outcome is Outcome.LATE
        # Until the engine has let go it is still out, and the module may not send another.
        begun = a.begun
        self.engines.give_up(a, lambda: self._close(a, outcome if begun else Outcome.NOP))

    def _close(self, a: Attempt, outcome: Outcome) -> None:
        a.ended, a.outcome, a.handle = True, outcome, None
        r = a.request
        took = max(LEAST, self.clock.now() - a.started)
        if outcome is not Outcome.GOOD:
            self.log.attempt_ended(a, outcome.value, took)
        if self.places is not None and outcome is not Outcome.NOP:
            self.places.ended(a.engine, r.work.lane, outcome, took)
        self._post(api.Verdict(r.ident, a.leg, a.engine, outcome, took, r.answered))
        self._forget(r)

    def _overdue(self, r: Request) -> None:
        if not r.answered:
            logger.warning(
                "deadline backstop for {request} of class {lane}", event="backstop", request=r.ident, lane=r.work.lane
            )
            sink = r.sink
            self.abandon(r)
            self._answer(r, sink.failed)

    def _finish(self, r: Request) -> None:
        """From here on the request has had its answer; nothing else may be told to its client."""
        r.answered = True
        self.open -= 1
        self._closed.append(r.ident)
        if not self.open:  # only after whoever called has written the answer
            self.clock.call_later(0, self._idle)

    def _turn_away(self, r: Request, answer: str) -> None:
        self.log.turned_away(r, answer, r.deadline - self.clock.now())
        self._finish(r)

    def _idle(self) -> None:
        if not self.open:
            self.on_idle()

    def _answer(self, r: Request, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:  # a front's fault with one client must not stop the others
            logger.exception("answer to {request} failed", event="answer-failed", request=r.ident)
