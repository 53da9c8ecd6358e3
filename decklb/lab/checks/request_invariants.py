"""Invariants of requests and attempts, checked while an emulated run goes on. Free of I/O and clocks.

`InvariantChecker` is told of everything that passes between clients, managers and engines, and counts violations by
rule. It is owned by the run's context; managers report to it, and the summary takes its counts. State is kept for open
requests only.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

from decklb.interface import Effect, Outcome, Settings
from decklb.policy.records import NEVER_EXECUTED

MAX_DESCRIPTIONS = 20  # descriptions of violations that are kept


class Rule(StrEnum):
    """What must hold. Values are part of the stored figures' names (`broken_...`)."""

    ANSWER = "answer"  # each request gets one final answer, and none is owed at the end
    OVERLAP = "overlap"  # one attempt of a request at a time
    ATTEMPTS = "attempts"  # no more attempts than the settings allow
    REPEAT = "repeat"  # a request that may have run is repeated only where its class permits
    DRAIN = "drain"  # no attempt goes to an engine that the endpoint list calls draining
    COLD = "cold"  # no engine crashes under overload while it warms up
    KEY = "key"  # requests of one key run in the order they came
    RATION = "ration"  # retries stay within the retry budget


@dataclass(slots=True)
class OpenRequest:
    """A request from its arrival until its answer and its last attempt's end.

    Attributes:
        class_name: Name of its class.
        key: By which it is ordered, if any.
        order: Of its arrival, over all managers.
        answered: Whether the client has an answer.
        answer_owed: Whether the client still waits for one.
        attempts: Sent so far.
        in_flight: Attempts that have not ended.
        may_have_run: Whether an attempt ended in a way that leaves this open.
    """

    class_name: str
    key: str | None
    order: int
    answered: bool = False
    answer_owed: bool = True
    attempts: int = 0
    in_flight: int = 0
    may_have_run: bool = False


@dataclass(slots=True)
class RetryWindow:
    """Moments, in ms, at which a manager took requests and sent retries within the retry budget's window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def drop_before(self, start_ms: float) -> None:
        """Forget what is older."""
        for moments in (self.requests, self.retries):
            while moments and moments[0] < start_ms:
                moments.popleft()


class InvariantChecker:
    """Counts violations over one run.

    Attributes:
        violations: Their number by rule.
        descriptions: Texts of the first MAX_DESCRIPTIONS.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._open: dict[tuple[int, str], OpenRequest] = {}  # by manager and request id
        self._key_queues: dict[tuple[int, str], list[tuple[int, str]]] = {}  # open requests of a key, in order
        self._retry_windows: dict[int, RetryWindow] = {}  # by manager
        self._arrivals = 0
        self.violations: Counter[Rule] = Counter()
        self.descriptions: list[str] = []

    def _violated(self, rule: Rule, text: str) -> None:
        self.violations[rule] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{rule}: {text}")

    def request_arrived(self, now: float, manager: int, request_id: str, class_name: str, key: str | None) -> None:
        """A manager has taken a request."""
        self._arrivals += 1
        if (manager, request_id) in self._open:
            self._violated(Rule.ANSWER, f"{request_id} taken twice")
        self._open[manager, request_id] = OpenRequest(class_name, key, self._arrivals)
        self._retry_windows.setdefault(manager, RetryWindow()).requests.append(now)
        if key is not None and self._settings.classes[class_name].ordered_by_key:
            self._key_queues.setdefault((manager, key), []).append((self._arrivals, request_id))

    def attempt_sent(self, now: float, manager: int, request_id: str, engine: str, draining: bool) -> None:
        """An attempt goes out to an engine, which the manager may know to be draining."""
        request = self._open.get((manager, request_id))
        if request is None:
            return self._violated(Rule.ANSWER, f"{request_id} sent after it was over")
        request.attempts += 1
        if request.in_flight:
            self._violated(Rule.OVERLAP, f"{request_id} sent to {engine} while an attempt is out")
        if request.attempts > self._settings.max_attempts:
            self._violated(Rule.ATTEMPTS, f"{request_id} sent {request.attempts} times")
        if request.may_have_run and self._settings.classes[request.class_name].effect is not Effect.SAFE:
            text = f"{request_id} of class {request.class_name} sent again after it may have run"
            self._violated(Rule.REPEAT, text)
        if draining:
            self._violated(Rule.DRAIN, f"{request_id} sent to {engine}, which the list calls draining")
        if request.attempts > 1:
            self._check_retry_budget(now, manager)
        self._check_key_order(manager, request_id, request)
        request.in_flight += 1

    def _check_retry_budget(self, now: float, manager: int) -> None:
        settings = self._settings
        if settings.retry_budget_ratio is None:
            return
        window = self._retry_windows[manager]
        window.drop_before(now - settings.retry_budget_window_ms)
        window.retries.append(now)
        if len(window.retries) > settings.retry_budget_floor + settings.retry_budget_ratio * len(window.requests):
            self._violated(Rule.RATION, f"manager {manager}: {len(window.retries)} further attempts")

    def _check_key_order(self, manager: int, request_id: str, request: OpenRequest) -> None:
        if request.key is None or not self._settings.classes[request.class_name].ordered_by_key:
            return
        for order, other_id in self._key_queues.get((manager, request.key), []):
            if order >= request.order:
                break
            other = self._open.get((manager, other_id))
            if other is not None and (other.in_flight or other.answer_owed):
                self._violated(Rule.KEY, f"{request_id} sent before {other_id} of key {request.key} was over")

    def attempt_ended(self, manager: int, request_id: str, outcome: Outcome) -> None:
        """An attempt is over: by an answer, or cancelled and freed."""
        request = self._open.get((manager, request_id))
        if request is not None:
            request.in_flight -= 1
            request.may_have_run = request.may_have_run or outcome not in NEVER_EXECUTED
            self._forget_if_over(manager, request_id, request)

    def request_answered(self, manager: int, request_id: str, kind: str) -> None:
        """The client has its answer."""
        request = self._open.get((manager, request_id))
        if request is None or request.answered or not request.answer_owed:
            return self._violated(Rule.ANSWER, f"{request_id} answered again: {kind}")
        request.answered, request.answer_owed = True, False
        self._forget_if_over(manager, request_id, request)

    def client_left(self, manager: int, request_id: str) -> None:
        """The client has gone; no answer is owed."""
        request = self._open.get((manager, request_id))
        if request is not None:
            request.answer_owed = False
            self._forget_if_over(manager, request_id, request)

    def manager_died(self, manager: int) -> None:
        """A manager was killed; what was open there is owed by nobody."""
        for request in [entry for entry in self._open if entry[0] == manager]:
            del self._open[request]
        for queue in [entry for entry in self._key_queues if entry[0] == manager]:
            del self._key_queues[queue]
        self._retry_windows.pop(manager, None)

    def engine_crashed(self, engine: str) -> None:
        """An engine that was warming up was given more than it bears."""
        self._violated(Rule.COLD, f"{engine} fell over")

    def run_ended(self) -> None:
        """No answer may be owed now."""
        for (manager, request_id), request in self._open.items():
            if request.answer_owed:
                self._violated(Rule.ANSWER, f"{request_id} at manager {manager} has no answer")

    def _forget_if_over(self, manager: int, request_id: str, request: OpenRequest) -> None:
        if request.answer_owed or request.in_flight > 0:
            return
        del self._open[manager, request_id]
        if request.key is None or not self._settings.classes[request.class_name].ordered_by_key:
            return
        queue = self._key_queues.get((manager, request.key))
        if queue is not None:
            queue.remove((request.order, request_id))
            if not queue:
                del self._key_queues[manager, request.key]
