"""Invariants of requests and attempts, checked during an emulated run. No I/O and no clock.

Managers report every event between clients, managers and engines to the `InvariantChecker`, which counts violations by
rule; the run's summary includes the counts. The checker belongs to the run's context and keeps state for open requests
only.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

from decklb.interface import Effect, Outcome, Settings
from decklb.policy.records import NEVER_EXECUTED

MAX_DESCRIPTIONS = 20  # maximum number of violations that are described


class Rule(StrEnum):
    """The invariants. The values are part of the names of stored figures (`broken_...`)."""

    ANSWER = "answer"  # each request gets exactly one final answer before the end of the run
    OVERLAP = "overlap"  # at most one attempt of a request is in flight
    ATTEMPTS = "attempts"  # the number of attempts does not exceed the limit of the settings
    REPEAT = "repeat"  # a request that may have been executed is retried only if its class permits
    DRAIN = "drain"  # no attempt is sent to an engine that the endpoint list marks as draining
    COLD = "cold"  # no engine crashes under overload during its warm-up
    KEY = "key"  # requests with the same ordering key run in order of arrival
    RETRY_BUDGET = "ration"  # retries do not exceed the retry budget


@dataclass(slots=True)
class OpenRequest:
    """A request from its arrival until it has been answered and its last attempt has ended.

    Attributes:
        class_name: Name of its class.
        key: Ordering key, if any.
        arrival_number: Position of its arrival among those at all managers.
        answered: The client has received an answer.
        awaits_answer: The client is waiting for an answer.
        attempts: Number of attempts sent so far.
        in_flight: Number of attempts that have not ended.
        may_have_run: An attempt ended in a way that does not rule out that it was executed.
    """

    class_name: str
    key: str | None
    arrival_number: int
    answered: bool = False
    awaits_answer: bool = True
    attempts: int = 0
    in_flight: int = 0
    may_have_run: bool = False


@dataclass(slots=True)
class RetryWindow:
    """Times in ms at which a manager accepted requests and sent retries, within the window of the retry budget."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def drop_before(self, start_ms: float) -> None:
        """Remove all times before `start_ms`."""
        for times_ms in (self.requests, self.retries):
            while times_ms and times_ms[0] < start_ms:
                times_ms.popleft()


class InvariantChecker:
    """Counts the violations of invariants in one run.

    Attributes:
        violations: Number of violations by rule.
        descriptions: Descriptions of the first MAX_DESCRIPTIONS violations.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._open: dict[tuple[int, str], OpenRequest] = {}  # by manager and request id
        # Arrival numbers and ids of the open requests of a key in order of arrival, by manager and key.
        self._key_queues: dict[tuple[int, str], list[tuple[int, str]]] = {}
        self._retry_windows: dict[int, RetryWindow] = {}  # by manager
        self._arrival_count = 0
        self.violations: Counter[Rule] = Counter()
        self.descriptions: list[str] = []

    def _add_violation(self, rule: Rule, text: str) -> None:
        self.violations[rule] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{rule}: {text}")

    def request_arrived(self, now: float, manager: int, request_id: str, class_name: str, key: str | None) -> None:
        """A manager has accepted a request."""
        self._arrival_count += 1
        if (manager, request_id) in self._open:
            self._add_violation(Rule.ANSWER, f"{request_id} accepted twice")
        self._open[manager, request_id] = OpenRequest(class_name, key, self._arrival_count)
        self._retry_windows.setdefault(manager, RetryWindow()).requests.append(now)
        if key is not None and self._settings.classes[class_name].ordered_by_key:
            self._key_queues.setdefault((manager, key), []).append((self._arrival_count, request_id))

    def attempt_sent(self, now: float, manager: int, request_id: str, engine: str, draining: bool) -> None:
        """An attempt is sent to an engine; `draining` states whether the manager knows that the engine is draining."""
        request = self._open.get((manager, request_id))
        if request is None:
            return self._add_violation(Rule.ANSWER, f"attempt of {request_id} sent after the request had ended")
        request.attempts += 1
        if request.in_flight:
            self._add_violation(Rule.OVERLAP, f"{request_id} sent to {engine} while another attempt is in flight")
        if request.attempts > self._settings.max_attempts:
            self._add_violation(Rule.ATTEMPTS, f"{request_id} sent {request.attempts} times")
        if request.may_have_run and self._settings.classes[request.class_name].effect is not Effect.SAFE:
            text = f"{request_id} of class {request.class_name} retried although it may have been executed"
            self._add_violation(Rule.REPEAT, text)
        if draining:
            self._add_violation(Rule.DRAIN, f"{request_id} sent to {engine}, which is listed as draining")
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
            self._add_violation(
                Rule.RETRY_BUDGET, f"manager {manager}: {len(window.retries)} retries exceed the retry budget"
            )

    def _check_key_order(self, manager: int, request_id: str, request: OpenRequest) -> None:
        if request.key is None or not self._settings.classes[request.class_name].ordered_by_key:
            return
        for other_number, other_id in self._key_queues.get((manager, request.key), []):
            if other_number >= request.arrival_number:
                break
            other = self._open.get((manager, other_id))
            if other is not None and (other.in_flight or other.awaits_answer):
                self._add_violation(
                    Rule.KEY, f"{request_id} sent before {other_id} of the same key {request.key} had ended"
                )

    def attempt_ended(self, manager: int, request_id: str, outcome: Outcome) -> None:
        """An attempt has ended: it was answered, or its cancellation has reached the engine."""
        request = self._open.get((manager, request_id))
        if request is not None:
            request.in_flight -= 1
            request.may_have_run = request.may_have_run or outcome not in NEVER_EXECUTED
            self._remove_if_finished(manager, request_id, request)

    def request_answered(self, manager: int, request_id: str, kind: str) -> None:
        """The client has received an answer."""
        request = self._open.get((manager, request_id))
        if request is None or request.answered or not request.awaits_answer:
            return self._add_violation(Rule.ANSWER, f"{request_id} answered again: {kind}")
        request.answered, request.awaits_answer = True, False
        self._remove_if_finished(manager, request_id, request)

    def client_left(self, manager: int, request_id: str) -> None:
        """The client has left and needs no answer."""
        request = self._open.get((manager, request_id))
        if request is not None:
            request.awaits_answer = False
            self._remove_if_finished(manager, request_id, request)

    def manager_killed(self, manager: int) -> None:
        """A manager was killed; its open requests need no answer any more."""
        for request in [entry for entry in self._open if entry[0] == manager]:
            del self._open[request]
        for queue in [entry for entry in self._key_queues if entry[0] == manager]:
            del self._key_queues[queue]
        self._retry_windows.pop(manager, None)

    def engine_crashed(self, engine: str) -> None:
        """An engine has crashed under overload during its warm-up."""
        self._add_violation(Rule.COLD, f"{engine} crashed under overload during its warm-up")

    def run_ended(self) -> None:
        """The run has ended: every request must have been answered."""
        for (manager, request_id), request in self._open.items():
            if request.awaits_answer:
                self._add_violation(Rule.ANSWER, f"{request_id} at manager {manager} was not answered")

    def _remove_if_finished(self, manager: int, request_id: str, request: OpenRequest) -> None:
        if request.awaits_answer or request.in_flight > 0:
            return
        del self._open[manager, request_id]
        if request.key is None or not self._settings.classes[request.class_name].ordered_by_key:
            return
        queue = self._key_queues.get((manager, request.key))
        if queue is not None:
            queue.remove((request.arrival_number, request_id))
            if not queue:
                del self._key_queues[manager, request.key]
