"""Policies to compare: the real decision module, and plain ones with the same door (`step`).

The plain ones keep the rules that bind them (class, count and ration of attempts, order by key, the list) and choose an
engine by one idea each. They know no queues, weights or bounds: what arrives is sent.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Protocol

from decklb import interface as api
from decklb.interface import Effect, Phase, Settings
from decklb.policy.gateway import Gateway
from decklb.policy.records import NEVER_EXECUTED

Truth = Callable[[str, float, int], float]  # engine, work, threads: ms that it would take


class Policy(Protocol):
    """What the dispatcher asks of a decision module."""

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take events, return actions."""


@dataclass(slots=True)
class Open:
    """A request that has no final answer yet, or whose attempt is out."""

    a: api.RequestArrived
    spec: api.RequestClass
    arrived: float
    tried: list[str] = field(default_factory=list)
    out: int = 0
    ran: bool = False
    done: bool = False


class Plain:
    """Sends at once to the engine that `pick` names."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rng = settings, random.Random(seed)
        self.open: dict[str, Open] = {}
        self.ups: list[api.Endpoint] = []
        self.entries: dict[str, api.Endpoint] = {}
        self.running: dict[str, int] = {}  # own attempts out, by engine
        self.lines: dict[str, deque[str]] = {}
        self.taken: deque[float] = deque()
        self.extra: deque[float] = deque()
        self.due: list[tuple[float, str]] = []
        self.actions: list[api.Action] = []
        self.now = 0.0

    def pick(self, r: Open) -> str:
        """One of those up."""
        raise NotImplementedError

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take events, return actions."""
        self.now, self.actions = now, []
        while self.due and self.due[0][0] <= now:  # those that wait behind others of their key have no attempt to end
            r = self.open.get(heappop(self.due)[1])
            if r is not None and not r.done and not r.out:
                self._answer(r)
        for e in events:
            match e:
                case api.RequestArrived():
                    self._arrive(e)
                case api.AttemptEnded():
                    self._verdict(e)
                case api.EndpointsUpdated(failed=False):
                    self._members(e)
                case api.ClientGone() if e.request_id in self.open:
                    self._close(self.open[e.request_id])
                case api.ShutdownStarted():
                    for r in [r for r in self.open.values() if not r.done]:
                        self._answer(r)
        return self.actions

    def _members(self, e: api.EndpointsUpdated) -> None:
        if e.complete:
            self.entries = {}
        self.entries |= {x.engine_id: x for x in e.endpoints}
        self.ups = [x for x in self.entries.values() if x.phase is Phase.UP]

    def _arrive(self, a: api.RequestArrived) -> None:
        self.taken.append(self.now)
        r = self.open[a.request_id] = Open(a, self.s.classes[a.request_class], self.now)
        if r.spec.ordered_by_key and a.ordering_key is not None:
            line = self.lines.setdefault(a.ordering_key, deque())
            line.append(a.request_id)
            if len(line) > 1:
                heappush(self.due, (self.now + a.time_left_ms - 4 * self.s.tick_ms, a.request_id))
                self.actions.append(api.SetTimer(max(self.s.tick_ms, a.time_left_ms - 3 * self.s.tick_ms), "due"))
                return
        self._send(r)

    def _send(self, r: Open) -> None:
        if not self.ups:
            return self._answer(r)
        engine = self.pick(r)
        r.tried.append(engine)
        r.out += 1
        self.running[engine] = self.running.get(engine, 0) + 1
        self.actions.append(
            api.StartAttempt(r.a.request_id, engine, max(1.0, r.a.time_left_ms - (self.now - r.arrived)))
        )

    def _verdict(self, e: api.AttemptEnded) -> None:
        self.running[e.engine_id] = self.running.get(e.engine_id, 0) - 1
        r = self.open.get(e.request_id)
        if r is None:
            return
        r.out -= 1
        r.ran = r.ran or e.outcome not in NEVER_EXECUTED
        if r.done or e.request_finished:
            self._close(r)
        elif self._may_repeat(r):
            self.extra.append(self.now)
            self._send(r)
        else:
            self._answer(r)

    def _may_repeat(self, r: Open) -> bool:
        s = self.s
        if len(r.tried) >= s.max_attempts or self.now - r.arrived > 0.9 * r.a.time_left_ms:
            return False
        if r.ran and r.spec.effect is not Effect.SAFE:
            return False
        if s.retry_budget_ratio is None:
            return True
        # A tick to the safe side at both ends of the window: what is decided now goes out a little later.
        start = self.now - s.retry_budget_window_ms
        for times, since in ((self.taken, start + 2 * s.tick_ms), (self.extra, start - s.tick_ms)):
            while times and times[0] < since:
                times.popleft()
        return len(self.extra) + 1 <= s.retry_budget_floor + s.retry_budget_ratio * len(self.taken)

    def _answer(self, r: Open) -> None:
        harmless = not r.ran or r.spec.effect is Effect.SAFE
        self.actions.append(
            api.Reject(r.a.request_id, self.s.max_retry_after_ms) if harmless else api.Fail(r.a.request_id)
        )
        self._close(r)

    def _close(self, r: Open) -> None:
        r.done = True
        if r.out > 0:  # its key waits for the attempt that is out
            return
        self.open.pop(r.a.request_id, None)
        key = r.a.ordering_key
        line = self.lines.get(key) if key is not None and r.spec.ordered_by_key else None
        if key is None or line is None or r.a.request_id not in line:
            return
        first = line[0] == r.a.request_id
        line.remove(r.a.request_id)
        if not line:
            del self.lines[key]
        elif first and line[0] in self.open:
            self._send(self.open[line[0]])


class Random(Plain):
    """Any."""

    def pick(self, r: Open) -> str:
        """Any."""
        return self.rng.choice(self.ups).engine_id


class RoundRobin(Plain):
    """Each in turn."""

    turn = 0

    def pick(self, r: Open) -> str:
        """The next."""
        self.turn += 1
        return self.ups[self.turn % len(self.ups)].engine_id


class LeastOutstanding(Plain):
    """The one with the fewest own attempts out."""

    def pick(self, r: Open) -> str:
        """Ties by chance."""
        least = min(self.running.get(x.engine_id, 0) for x in self.ups)
        return self.rng.choice([x for x in self.ups if self.running.get(x.engine_id, 0) == least]).engine_id


class PowerOfTwo(Plain):
    """The less loaded of two drawn (Mitzenmacher, 2001)."""

    def pick(self, r: Open) -> str:
        """By own attempts out."""
        pair = self.rng.sample(self.ups, min(2, len(self.ups)))
        return min(pair, key=lambda x: self.running.get(x.engine_id, 0)).engine_id


class Weighted(Plain):
    """By the weights in the list."""

    def pick(self, r: Open) -> str:
        """Drawn."""
        return self.rng.choices(self.ups, [max(1e-9, x.capacity_hint) for x in self.ups])[0].engine_id


class Oracle(Plain):
    """Sees the true state of all engines; no real policy can."""

    truth: Truth = staticmethod(lambda engine, work, threads: 0.0)

    def pick(self, r: Open) -> str:
        """Where it would end first."""
        return min(self.ups, key=lambda x: (self.truth(x.engine_id, 1.0, r.spec.threads), self.rng.random())).engine_id


POLICIES: dict[str, Callable[[Settings, int], Policy]] = {
    "decklb": Gateway,
    "random": Random,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "power-of-two": PowerOfTwo,
    "weighted": Weighted,
    "oracle": Oracle,
}
