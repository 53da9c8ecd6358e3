"""Policies that experiments compare: the real decision module, and baselines with the same `step` interface.

The baselines obey the same rules (effect of a class, maximum attempts, retry budget, order by key, endpoint list), but
each selects engines by one simple method. They send every request on arrival: they have no queues, no priorities and
no concurrency limits. Each emulated manager creates the policy that its world names from POLICIES.
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

MAX_RETRY_FRACTION = 0.9  # fraction of a request's time budget after which it is not retried
MIN_WEIGHT = 1e-9  # lower bound of an engine's weight: random.choices fails if all weights are 0

ExpectedDuration = Callable[[str, float, int], float]  # engine id, work in ms, threads -> duration of a query in ms


class Policy(Protocol):
    """The decision module as the dispatcher calls it."""

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process a batch of events and return the resulting actions."""


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final answer yet or has an attempt in flight.

    Attributes:
        arrival: The event that announced the request.
        spec: The request's class.
        arrived_ms: Time of arrival.
        tried_engines: Engines of its attempts so far, in order.
        in_flight: Number of attempts that have not ended.
        may_have_run: An attempt ended in a way that does not rule out that it was executed.
        done: The request has received its final answer.
    """

    arrival: api.RequestArrived
    spec: api.RequestClass
    arrived_ms: float
    tried_engines: list[str] = field(default_factory=list)
    in_flight: int = 0
    may_have_run: bool = False
    done: bool = False


class BaselinePolicy:
    """Sends each request on arrival to the engine that `pick` selects.

    Attributes:
        settings: Settings of the manager.
        rng: Random generator, seeded by the manager.
        open_requests: Open requests by id.
        endpoints: Endpoint list by engine id.
        usable: Entries of the endpoint list that are up.
        in_flight: Number of this manager's attempts in flight, by engine.
        key_queues: Ids of the open requests of each ordering key, in order of arrival; only the first may be sent.
        arrival_times_ms: Arrival times within the window of the retry budget.
        retry_times_ms: Times of retries within the window of the retry budget.
        deadlines: Heap of (time, request id): when to give up a request that waits for others of its key.
        actions: Actions of the current step.
        now: Time of the current step.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.open_requests: dict[str, OpenRequest] = {}
        self.endpoints: dict[str, api.Endpoint] = {}
        self.usable: list[api.Endpoint] = []
        self.in_flight: dict[str, int] = {}
        self.key_queues: dict[str, deque[str]] = {}
        self.arrival_times_ms: deque[float] = deque()
        self.retry_times_ms: deque[float] = deque()
        self.deadlines: list[tuple[float, str]] = []
        self.actions: list[api.Action] = []
        self.now = 0.0

    def pick(self, request: OpenRequest) -> str:
        """Select one of the usable engines for a request."""
        raise NotImplementedError

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process a batch of events and return the resulting actions."""
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
                case api.ClientGone() if event.request_id in self.open_requests:
                    self._close(self.open_requests[event.request_id])
                case api.ShutdownStarted():
                    for request in [request for request in self.open_requests.values() if not request.done]:
                        self._answer(request)
        return self.actions

    def _expire_waiting(self) -> None:
        """Answer the requests that ran out of time while waiting for their key.

        They have no attempt whose timeout would end them.
        """
        while self.deadlines and self.deadlines[0][0] <= self.now:
            request = self.open_requests.get(heappop(self.deadlines)[1])
            if request is not None and not request.done and not request.in_flight:
                self._answer(request)

    def _endpoints_updated(self, event: api.EndpointsUpdated) -> None:
        if event.complete:
            self.endpoints = {}
        self.endpoints |= {endpoint.engine_id: endpoint for endpoint in event.endpoints}
        self.usable = [endpoint for endpoint in self.endpoints.values() if endpoint.phase is Phase.UP]

    def _request_arrived(self, event: api.RequestArrived) -> None:
        self.arrival_times_ms.append(self.now)
        request = self.open_requests[event.request_id] = OpenRequest(
            event, self.settings.classes[event.request_class], self.now
        )
        if request.spec.ordered_by_key and event.ordering_key is not None:
            queue = self.key_queues.setdefault(event.ordering_key, deque())
            queue.append(event.request_id)
            if len(queue) > 1:
                self._queue_behind_key(event)
                return
        self._send(request)

    def _queue_behind_key(self, event: api.RequestArrived) -> None:
        tick = self.settings.tick_ms
        # Given up 4 ticks before the deadline; the timer fires a tick later, so that this time has certainly passed.
        heappush(self.deadlines, (self.now + event.time_left_ms - 4 * tick, event.request_id))
        self.actions.append(api.SetTimer(max(tick, event.time_left_ms - 3 * tick), "due"))

    def _send(self, request: OpenRequest) -> None:
        if not self.usable:
            return self._answer(request)
        engine = self.pick(request)
        request.tried_engines.append(engine)
        request.in_flight += 1
        self.in_flight[engine] = self.in_flight.get(engine, 0) + 1
        time_left = request.arrival.time_left_ms - (self.now - request.arrived_ms)
        self.actions.append(api.StartAttempt(request.arrival.request_id, engine, max(1.0, time_left)))

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        self.in_flight[event.engine_id] = self.in_flight.get(event.engine_id, 0) - 1
        request = self.open_requests.get(event.request_id)
        if request is None:
            return
        request.in_flight -= 1
        request.may_have_run = request.may_have_run or event.outcome not in NEVER_EXECUTED
        if request.done or event.request_finished:
            self._close(request)
        elif self._may_retry(request):
            self.retry_times_ms.append(self.now)
            self._send(request)
        else:
            self._answer(request)

    def _may_retry(self, request: OpenRequest) -> bool:
        if len(request.tried_engines) >= self.settings.max_attempts:
            return False
        if self.now - request.arrived_ms > MAX_RETRY_FRACTION * request.arrival.time_left_ms:
            return False
        if request.may_have_run and request.spec.effect is not Effect.SAFE:
            return False
        return self._within_retry_budget()

    def _within_retry_budget(self) -> bool:
        settings = self.settings
        if settings.retry_budget_ratio is None:
            return True
        # A margin of one tick at both ends of the window, since attempts are sent slightly after the decision.
        start_ms = self.now - settings.retry_budget_window_ms
        _drop_before(self.arrival_times_ms, start_ms + 2 * settings.tick_ms)
        _drop_before(self.retry_times_ms, start_ms - settings.tick_ms)
        return len(self.retry_times_ms) + 1 <= settings.retry_budget_floor + settings.retry_budget_ratio * len(
            self.arrival_times_ms
        )

    def _answer(self, request: OpenRequest) -> None:
        """Reject a request that is safe to retry, and fail any other."""
        request_id = request.arrival.request_id
        if not request.may_have_run or request.spec.effect is Effect.SAFE:
            self.actions.append(api.Reject(request_id, self.settings.max_retry_after_ms))
        else:
            self.actions.append(api.Fail(request_id))
        self._close(request)

    def _close(self, request: OpenRequest) -> None:
        request.done = True
        if request.in_flight > 0:  # the key stays blocked until the attempt in flight has ended
            return
        request_id, key = request.arrival.request_id, request.arrival.ordering_key
        self.open_requests.pop(request_id, None)
        queue = self.key_queues.get(key) if key is not None and request.spec.ordered_by_key else None
        if key is None or queue is None or request_id not in queue:
            return
        was_first = queue[0] == request_id
        queue.remove(request_id)
        if not queue:
            del self.key_queues[key]
        elif was_first and queue[0] in self.open_requests:
            self._send(self.open_requests[queue[0]])


def _drop_before(times_ms: deque[float], start_ms: float) -> None:
    while times_ms and times_ms[0] < start_ms:
        times_ms.popleft()


class Random(BaselinePolicy):
    """Selects a usable engine at random."""

    def pick(self, request: OpenRequest) -> str:
        """Draw a usable engine, all with the same probability."""
        return self.rng.choice(self.usable).engine_id


class RoundRobin(BaselinePolicy):
    """Selects the usable engines in turn."""

    sent = 0

    def pick(self, request: OpenRequest) -> str:
        """Return the next usable engine."""
        self.sent += 1
        return self.usable[self.sent % len(self.usable)].engine_id


class LeastOutstanding(BaselinePolicy):
    """Selects the engine with the fewest attempts of this manager in flight."""

    def pick(self, request: OpenRequest) -> str:
        """Return the engine with the fewest attempts in flight; ties are broken at random."""
        fewest = min(self.in_flight.get(endpoint.engine_id, 0) for endpoint in self.usable)
        candidates = [e for e in self.usable if self.in_flight.get(e.engine_id, 0) == fewest]
        return self.rng.choice(candidates).engine_id


class PowerOfTwo(BaselinePolicy):
    """Selects the less loaded of two random engines (Mitzenmacher, 2001)."""

    def pick(self, request: OpenRequest) -> str:
        """Draw two engines and return the one with fewer attempts of this manager in flight."""
        candidates = self.rng.sample(self.usable, min(2, len(self.usable)))
        return min(candidates, key=lambda endpoint: self.in_flight.get(endpoint.engine_id, 0)).engine_id


class Weighted(BaselinePolicy):
    """Selects engines at random, weighted by the capacity hints in the endpoint list."""

    def pick(self, request: OpenRequest) -> str:
        """Draw a usable engine with a probability in proportion to its capacity hint."""
        weights = [max(MIN_WEIGHT, endpoint.capacity_hint) for endpoint in self.usable]
        return self.rng.choices(self.usable, weights)[0].engine_id


class Oracle(BaselinePolicy):
    """Selects by the true state of all engines, which no real policy can know; an upper bound for comparison.

    Attributes:
        expected_ms: Function that reads the engine models; set by the manager.
    """

    expected_ms: ExpectedDuration = staticmethod(lambda engine, work_ms, threads: 0.0)

    def pick(self, request: OpenRequest) -> str:
        """Return the engine at which the request would finish first; ties are broken at random."""
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
