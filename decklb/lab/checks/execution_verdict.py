"""Judges a handoff run by comparing the answers that clients received with the executions that engines logged. No I/O.

The fault runs between real processes and the simulated handoff collect the client records and execution events. The
rules: every request gets a final answer in time and never two different ones; a request of an at-most-once class is
executed at most once; two managers never execute the same request at the same time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

WAIT_PERCENTILES = (50, 99)
COUNT_FIELDS = ("requests", "served", "failed", "refused", "came_back")
LIST_FIELDS = ("lost", "doubled", "repeated", "overlapping")


class FinalAnswer(NamedTuple):
    """An answer that settles the request: served or failed."""

    kind: str  # "served" or "failed"
    row: str  # result row; empty if the request failed
    at_s: float  # time at which the client received it

    @property
    def content(self) -> tuple[str, str]:
        """The content of the answer, which must be the same for every repeat of the request."""
        return self.kind, self.row


@dataclass(slots=True)
class ClientRecord:
    """One request as its client saw it. Times are seconds of the clock of the run.

    Attributes:
        key: Idempotency key of the request.
        class_name: Name of its class.
        sent_s: Time of the first try.
        due_s: Deadline plus the slack within which an answer still counts.
        final_answers: Final answers in order of arrival.
        tries: Number of times that it was sent.
        unanswered_tries: Number of tries without an answer, as the connection was lost or the manager did not answer.
        last: Result of the latest try, for reports; in the simulation the manager that it was sent to.
        path: Description of each try for reports: manager, time, duration and answer.
    """

    key: str
    class_name: str
    sent_s: float
    due_s: float
    final_answers: list[FinalAnswer] = field(default_factory=list)
    tries: int = 0
    unanswered_tries: int = 0
    last: str = ""
    path: list[str] = field(default_factory=list)

    @property
    def answered_in_time(self) -> bool:
        """Whether the first final answer arrived in time."""
        return bool(self.final_answers) and self.final_answers[0].at_s <= self.due_s


@dataclass(frozen=True, slots=True)
class ExecutionEvent:
    """A line of an engine's log: an execution started or ended.

    Attributes:
        what: "start" or "end".
        key: Idempotency key of the request.
        run: Number of the execution at its engine.
        manager: Index of the manager that sent it.
        at: Time on the clock of the run.
        engine: Name of the engine.
    """

    what: str
    key: str
    run: int
    manager: int
    at: float
    engine: str


Executions = dict[tuple[str, int], list[ExecutionEvent]]  # events of each execution, by engine and number


def executions_by_key(events: Iterable[ExecutionEvent]) -> dict[str, Executions]:
    """Group the events by request and execution."""
    by_key: dict[str, Executions] = {}
    for event in events:
        by_key.setdefault(event.key, {}).setdefault((event.engine, event.run), []).append(event)
    return by_key


@dataclass(slots=True)
class Verdict:
    """Counts of one run, and descriptions of violated rules.

    Attributes:
        requests: Number of requests.
        served, failed: Number of requests with such a final answer in time.
        refused: Number of requests that were never executed and got no final answer: all answers until the end asked
            the client to retry.
        lost: Descriptions of requests that were executed or answered, but got no final answer in time.
        doubled: Descriptions of requests with different final answers.
        repeated: Descriptions of at-most-once requests that were executed more than once.
        overlapping: Keys of requests that two managers executed at the same time.
        came_back: Number of final answers that arrived after more than one try.
        waits: Seconds to the final answer of requests with an unanswered try.
        late_ms: Longest time in ms by which a timer of the process with the network proxy fired late.
    """

    requests: int = 0
    served: int = 0
    failed: int = 0
    refused: int = 0
    lost: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    repeated: list[str] = field(default_factory=list)
    overlapping: list[str] = field(default_factory=list)
    came_back: int = 0
    waits: list[float] = field(default_factory=list)
    late_ms: float = 0.0

    @property
    def clean(self) -> bool:
        """Whether no rule was violated."""
        return not (self.lost or self.doubled or self.repeated or self.overlapping)

    def count_answer(self, client: ClientRecord, executions: Executions) -> None:
        """Count a request by its result."""
        self.requests += 1
        if client.answered_in_time:
            answer = client.final_answers[0]
            self.served += answer.kind == "served"
            self.failed += answer.kind == "failed"
            self.came_back += client.tries > 1
            if client.unanswered_tries:
                self.waits.append(answer.at_s - client.sent_s)
        elif executions or client.final_answers:
            self.lost.append(
                f"{client.key}: {client.tries} tries, last {client.last!r}, {len(executions)} runs; "
                f"{', '.join(client.path)}"
            )
        else:
            self.refused += 1

    def check_executions(self, client: ClientRecord, executions: Executions, at_most_once: bool) -> None:
        """Record the rules that the answers or executions of a request violate."""
        contents = [answer.content for answer in client.final_answers]
        if len(set(contents)) > 1:
            self.doubled.append(f"{client.key}: {contents}")
        if at_most_once and len(executions) > 1:
            self.repeated.append(f"{client.key}: {list(executions)}")
        if overlaps(list(executions.values())):
            self.overlapping.append(client.key)


def judge(clients: Iterable[ClientRecord], events: Iterable[ExecutionEvent], at_most_once_class: str) -> Verdict:
    """Compare what clients saw with what engines executed.

    Args:
        clients: All requests of the run.
        events: All events in the engines' logs.
        at_most_once_class: Name of the class whose requests must be executed at most once.
    """
    by_key = executions_by_key(events)
    verdict = Verdict()
    for client in clients:
        executions = by_key.get(client.key, {})
        verdict.count_answer(client, executions)
        verdict.check_executions(client, executions, client.class_name == at_most_once_class)
    return verdict


def overlaps(executions: list[list[ExecutionEvent]]) -> bool:
    """Return whether executions for two managers overlapped in time; one without an end event lasts forever."""
    intervals = sorted(
        (events[0].at, events[-1].at if len(events) > 1 else float("inf"), events[0].manager) for events in executions
    )
    return any(
        manager != other_manager and other_start < end
        for index, (_, end, manager) in enumerate(intervals)
        for other_start, _, other_manager in intervals[index + 1 :]
    )


def total(verdicts: Iterable[Verdict]) -> dict[str, object]:
    """Return the sums over many runs for a report."""
    runs = list(verdicts)
    counts: Counter[str] = Counter()
    for verdict in runs:
        for name in COUNT_FIELDS:
            counts[name] += getattr(verdict, name)
        for name in LIST_FIELDS:
            counts[name] += len(getattr(verdict, name))
    waits = sorted(wait for verdict in runs for wait in verdict.waits)
    percentiles = {
        f"wait_p{p}_s": round(waits[min(len(waits) - 1, len(waits) * p // 100)], 3) for p in WAIT_PERCENTILES if waits
    }
    return {
        "runs": len(runs),
        "clean": sum(verdict.clean for verdict in runs),
        **counts,
        **percentiles,
        "rig_late_ms": max((verdict.late_ms for verdict in runs), default=0.0),
    }
