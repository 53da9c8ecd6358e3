"""Judges a handoff run: each request's answers at its client beside the executions that engines logged. Free of I/O.

Used by the fault runs between real processes and by the simulated handoff, which collect client records and execution
events. What must hold: every request gets a final answer in time, never two different ones; what may run at most once
runs once; no two managers run one request at the same time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

WAIT_PERCENTILES = (50, 99)
COUNTED = ("requests", "served", "failed", "refused", "came_back")
LISTED = ("lost", "doubled", "repeated", "overlapping")


class FinalAnswer(NamedTuple):
    """An answer after which a client does not ask again."""

    kind: str  # served or failed
    row: str
    at_s: float

    @property
    def content(self) -> tuple[str, str]:
        """What it says, which must be the same however often it is asked for."""
        return self.kind, self.row


@dataclass(slots=True)
class ClientRecord:
    """One request as its client saw it. Times are seconds of the machine's monotonic clock.

    Attributes:
        key: Idempotency key of the request.
        class_name: Of its class.
        sent_s: When it was first sent.
        due_s: Its deadline and the slack in which an answer still counts.
        final_answers: In the order they came.
        tries: How often it was sent.
        unanswered_tries: Tries that ended without an answer: lost connections, silent managers.
        last: What the last try was answered.
        path: Each try, for people: whom it asked, when, for how long, and its answer.
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
        """Whether its first final answer came before it was due."""
        return bool(self.final_answers) and self.final_answers[0].at_s <= self.due_s


@dataclass(frozen=True, slots=True)
class ExecutionEvent:
    """A line of an engine's log: an execution started or ended.

    Attributes:
        what: start or end.
        key: Of the request.
        run: Number of the execution at its engine.
        manager: Index of the manager that sent it.
        at: When, on the clock of the run.
        engine: Where.
    """

    what: str
    key: str
    run: int
    manager: int
    at: float
    engine: str


Executions = dict[tuple[str, int], list[ExecutionEvent]]  # events of each, by engine and number


def executions_by_key(events: Iterable[ExecutionEvent]) -> dict[str, Executions]:
    """Return each request's executions."""
    by_key: dict[str, Executions] = {}
    for event in events:
        by_key.setdefault(event.key, {}).setdefault((event.engine, event.run), []).append(event)
    return by_key


@dataclass(slots=True)
class Verdict:
    """Counts of one run, and descriptions of what must not be.

    Attributes:
        requests, served, failed: Numbers of requests.
        refused: Never executed, and told to come back until the end.
        lost: Without a final answer in time.
        doubled: With two different final answers.
        repeated: To run at most once, and yet executed twice.
        overlapping: Executed for two managers at once.
        came_back: Final answers that another try than the first brought.
        waits: Seconds to the final answer of those that lost a manager.
        late_ms: By which the proxy process itself was late at worst.
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
        """Whether no rule was broken."""
        return not (self.lost or self.doubled or self.repeated or self.overlapping)

    def count_answer(self, client: ClientRecord, executions: Executions) -> None:
        """Count how a request ended."""
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
        """Note a request that was answered or executed as it must not be."""
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
        events: All lines of the engines' logs.
        at_most_once_class: Name of the class of what may run at most once.
    """
    by_key = executions_by_key(events)
    verdict = Verdict()
    for client in clients:
        executions = by_key.get(client.key, {})
        verdict.count_answer(client, executions)
        verdict.check_executions(client, executions, client.class_name == at_most_once_class)
    return verdict


def overlaps(executions: list[list[ExecutionEvent]]) -> bool:
    """Return whether executions for two managers were under way at one moment; one without an end lasts for ever."""
    spans = sorted(
        (events[0].at, events[-1].at if len(events) > 1 else float("inf"), events[0].manager) for events in executions
    )
    return any(
        manager != other_manager and other_start < end
        for index, (_, end, manager) in enumerate(spans)
        for other_start, _, other_manager in spans[index + 1 :]
    )


def total(verdicts: Iterable[Verdict]) -> dict[str, object]:
    """Return the sum of many runs, for a report."""
    runs = list(verdicts)
    counts: Counter[str] = Counter()
    for verdict in runs:
        for name in COUNTED:
            counts[name] += getattr(verdict, name)
        for name in LISTED:
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
