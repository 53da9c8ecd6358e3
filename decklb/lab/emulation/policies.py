"""Policies that experiments compare: the real decision module, and plain ones behind the same `step`.

The plain ones keep the rules that bind them (class, number and budget of attempts, order by key, the endpoint list) and
choose an engine by one idea each. They know no queues, weights or limits: what arrives is sent. Emulated managers make
the policy that their world names, from POLICIES, and own it.
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

MAX_RETRY_SHARE = 0.9  # of a request's time, after which it is not retried any more
MIN_WEIGHT = 1e-9  # so that an engine without weight can still be drawn

ExpectedMs = Callable[[str, float, int], float]  # engine, work in ms, threads -> ms that a query would take


class Policy(Protocol):
    """What the dispatcher asks of a decision module."""

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take events, return actions."""


@dataclass(slots=True)
class OpenRequest:
    """A request without a final answer, or with an attempt in flight.

    Attributes:
        arrival: The event it came by.
        spec: Of its class.
        arrived_ms: When it came.
        tried: Engines of its attempts, in order.
        in_flight: Attempts that have not ended.
        may_have_run: Whether an attempt ended in a way that leaves this open.
        done: Whether it has its final answer.
    """

    arrival: api.RequestArrived
    spec: api.RequestClass
    arrived_ms: float
    tried: list[str] = field(default_factory=list)
    in_flight: int = 0
    may_have_run: bool = False
    done: bool = False


class PlainPolicy:
    """Sends each request at once to the engine that `pick` names.

    Attributes:
        settings, rng: Given and seeded by the manager.
        open: Open requests by id.
        endpoints: The endpoint list by engine; `usable` are those of it that are up.
        in_flight: This manager's attempts in flight, by engine.
        key_queues: Open requests of each key, in order; only the first may be sent.
        taken_ms, retried_ms: Moments of requests and retries within the retry budget's window.
        deadlines: Heap of when to give up requests that wait behind others of their key, and their ids.
        actions: Of the step under way, which is at `now`.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.open: dict[str, OpenRequest] = {}
        self.endpoints: dict[str, api.Endpoint] = {}
        self.usable: list[api.Endpoint] = []
        self.in_flight: dict[str, int] = {}
        self.key_queues: dict[str, deque[str]] = {}
        self.taken_ms: deque[float] = deque()
        self.retried_ms: deque[float] = deque()
        self.deadlines: list[tuple[float, str]] = []
        self.actions: list[api.Action] = []
        self.now = 0.0

    def pick(self, request: OpenRequest) -> str:
        """Return the engine for a request, one of those that are usable."""
        raise NotImplementedError

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take events, return actions."""
        self.now, self.actions = now, []
        self._expire_waiting()
        for event in events:
            match event:
                case api.RequestArrived():
                    self._request_arrived(event)
                case api.AttemptEnded():
                    self._attempt_ended(event)
                case api.EndpointsUpdated(failed=False):
                    self._endpoints_updated(event)
                case api.ClientGone() if event.request_id in self.open:
                    self._close(self.open[event.request_id])
                case api.ShutdownStarted():
                    for request in [request for request in self.open.values() if not request.done]:
                        self._answer(request)
        return self.actions

    def _expire_waiting(self) -> None:
        """Answer requests whose time is over; those that wait for their key have no attempt whose end would tell."""
        while self.deadlines and self.deadlines[0][0] <= self.now:
            request = self.open.get(heappop(self.deadlines)[1])
            if request is not None and not request.done and not request.in_flight:
                self._answer(request)

    def _endpoints_updated(self, event: api.EndpointsUpdated) -> None:
        if event.complete:
            self.endpoints = {}
        self.endpoints |= {endpoint.engine_id: endpoint for endpoint in event.endpoints}
        self.usable = [endpoint for endpoint in self.endpoints.values() if endpoint.phase is Phase.UP]

    def _request_arrived(self, event: api.RequestArrived) -> None:
        self.taken_ms.append(self.now)
        request = self.open[event.request_id] = OpenRequest(event, self.settings.classes[event.request_class], self.now)
        if request.spec.ordered_by_key and event.ordering_key is not None:
            queue = self.key_queues.setdefault(event.ordering_key, deque())
            queue.append(event.request_id)
            if len(queue) > 1:
                self._wait_for_key(event)
                return
        self._send(request)

    def _wait_for_key(self, event: api.RequestArrived) -> None:
        tick = self.settings.tick_ms
        heappush(self.deadlines, (self.now + event.time_left_ms - 4 * tick, event.request_id))
        self.actions.append(api.SetTimer(max(tick, event.time_left_ms - 3 * tick), "due"))

    def _send(self, request: OpenRequest) -> None:
        if not self.usable:
            return self._answer(request)
        engine = self.pick(request)
        request.tried.append(engine)
        request.in_flight += 1
        self.in_flight[engine] = self.in_flight.get(engine, 0) + 1
        time_left = request.arrival.time_left_ms - (self.now - request.arrived_ms)
        self.actions.append(api.StartAttempt(request.arrival.request_id, engine, max(1.0, time_left)))

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        self.in_flight[event.engine_id] = self.in_flight.get(event.engine_id, 0) - 1
        request = self.open.get(event.request_id)
        if request is None:
            return
        request.in_flight -= 1
        request.may_have_run = request.may_have_run or event.outcome not in NEVER_EXECUTED
        if request.done or event.request_finished:
            self._close(request)
        elif self._may_retry(request):
            self.retried_ms.append(self.now)
            self._send(request)
        else:
            self._answer(request)

    def _may_retry(self, request: OpenRequest) -> bool:
        if len(request.tried) >= self.settings.max_attempts:
            return False
        if self.now - request.arrived_ms > MAX_RETRY_SHARE * request.arrival.time_left_ms:
            return False
        if request.may_have_run and request.spec.effect is not Effect.SAFE:
            return False
        return self._within_retry_budget()

    def _within_retry_budget(self) -> bool:
        settings = self.settings
        if settings.retry_budget_ratio is None:
            return True
        # A tick to the safe side at both ends of the window: what is decided now goes out a little later.
        start_ms = self.now - settings.retry_budget_window_ms
        _drop_before(self.taken_ms, start_ms + 2 * settings.tick_ms)
        _drop_before(self.retried_ms, start_ms - settings.tick_ms)
        return len(self.retried_ms) + 1 <= settings.retry_budget_floor + settings.retry_budget_ratio * len(
            self.taken_ms
        )

    def _answer(self, request: OpenRequest) -> None:
        """Reject a request that did no harm, and fail any other."""
        request_id = request.arrival.request_id
        if not request.may_have_run or request.spec.effect is Effect.SAFE:
            self.actions.append(api.Reject(request_id, self.settings.max_retry_after_ms))
        else:
            self.actions.append(api.Fail(request_id))
        self._close(request)

    def _close(self, request: OpenRequest) -> None:
        request.done = True
        if request.in_flight > 0:  # its key waits for the attempt that is in flight
            return
        request_id, key = request.arrival.request_id, request.arrival.ordering_key
        self.open.pop(request_id, None)
        queue = self.key_queues.get(key) if key is not None and request.spec.ordered_by_key else None
        if key is None or queue is None or request_id not in queue:
            return
        was_first = queue[0] == request_id
        queue.remove(request_id)
        if not queue:
            del self.key_queues[key]
        elif was_first and queue[0] in self.open:
            self._send(self.open[queue[0]])


def _drop_before(moments: deque[float], start_ms: float) -> None:
    while moments and moments[0] < start_ms:
        moments.popleft()


class Random(PlainPolicy):
    """Chooses any usable engine."""

    def pick(self, request: OpenRequest) -> str:
        """Draw one."""
        return self.rng.choice(self.usable).engine_id


class RoundRobin(PlainPolicy):
    """Chooses each usable engine in turn."""

    sent = 0

    def pick(self, request: OpenRequest) -> str:
        """Return the next one."""
        self.sent += 1
        return self.usable[self.sent % len(self.usable)].engine_id


class LeastOutstanding(PlainPolicy):
    """Chooses the engine with the fewest attempts of this manager in flight."""

    def pick(self, request: OpenRequest) -> str:
        """Return it; ties are drawn."""
        fewest = min(self.in_flight.get(endpoint.engine_id, 0) for endpoint in self.usable)
        candidates = [e for e in self.usable if self.in_flight.get(e.engine_id, 0) == fewest]
        return self.rng.choice(candidates).engine_id


class PowerOfTwo(PlainPolicy):
    """Chooses the less loaded of two drawn engines (Mitzenmacher, 2001)."""

    def pick(self, request: OpenRequest) -> str:
        """Compare them by this manager's attempts in flight."""
        drawn = self.rng.sample(self.usable, min(2, len(self.usable)))
        return min(drawn, key=lambda endpoint: self.in_flight.get(endpoint.engine_id, 0)).engine_id


class Weighted(PlainPolicy):
    """Draws engines by the weights in the endpoint list."""

    def pick(self, request: OpenRequest) -> str:
        """Draw one."""
        weights = [max(MIN_WEIGHT, endpoint.capacity_hint) for endpoint in self.usable]
        return self.rng.choices(self.usable, weights)[0].engine_id


class Oracle(PlainPolicy):
    """Sees the true state of all engines, as no real policy can; an upper bound to compare with.

    Attributes:
        expected_ms: Set by the manager to look into the engines' models.
    """

    expected_ms: ExpectedMs = staticmethod(lambda engine, work_ms, threads: 0.0)

    def pick(self, request: OpenRequest) -> str:
        """Return the engine where the request would end first; ties are drawn."""
        threads = request.spec.threads
        return min(
            self.usable,
            key=lambda endpoint: (self.expected_ms(endpoint.engine_id, 1.0, threads), self.rng.random()),
        ).engine_id


POLICIES: dict[str, Callable[[Settings, int], Policy]] = {
    "decklb": Gateway,
    "random": Random,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "power-of-two": PowerOfTwo,
    "weighted": Weighted,
    "oracle": Oracle,
}
