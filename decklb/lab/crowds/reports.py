"""What the client processes of a crowd run report, and its encoding as one line of JSON. No I/O."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any

import ujson

from decklb.lab.crowds.shapes import Crowd, CrowdKind


class AnswerKind(StrEnum):
    """How a whole request of a client ended."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    LOST = "lost"  # the manager ended the connection without an answer, or let the time run out
    REPEATED = "repeated"  # a second answer to one request


@dataclass(slots=True)
class ClientReport:
    """What the clients of one process saw.

    Attributes:
        answers: Number of requests by how they ended.
        times_ms: Time from the last byte of a request to its answer, in ms; only of clients that measure it.
        left_at: For clients that leave: the time, in seconds of the monotonic clock, by the start of their request ids.
        connections: Number of connections that were opened.
        own_delay_ms: Longest time for which the event loop of this process was late.
        lost_spans: For each lost request, when it was sent and when that was noticed, in s of the monotonic clock.
        incidents: Descriptions of lost and repeated answers, the first few.
    """

    answers: dict[str, int] = field(default_factory=lambda: {kind.value: 0 for kind in AnswerKind})
    times_ms: list[float] = field(default_factory=list)
    left_at: dict[str, float] = field(default_factory=dict)
    connections: int = 0
    own_delay_ms: float = 0.0
    lost_spans: list[tuple[float, float]] = field(default_factory=list)
    incidents: list[str] = field(default_factory=list)

    def count(self, kind: AnswerKind) -> None:
        """Count one request."""
        self.answers[kind] += 1

    def percentile_ms(self, share: float) -> float:
        """Return the time within which this share of the requests was answered; 0 without requests."""
        ordered = sorted(self.times_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


@dataclass(frozen=True, slots=True)
class ClientTask:
    """What a client process is to do.

    Attributes:
        host: Address of the manager.
        port: Port of the manager.
        front: Protocol of the manager's clients, `platform` or `postgres`.
        seconds: Time after which the clients stop.
        seed: Seed of the times that clients draw.
        crowds: The crowds to play; none for a process of usual clients.
        usual_clients: Number of usual clients.
        budget_ms: Budget of each request.
        names_from: Added to the numbers in the names of clients, which differ between processes of clients by it.
    """

    host: str
    port: int
    front: str
    seconds: float
    seed: int
    crowds: tuple[Crowd, ...] = ()
    usual_clients: int = 0
    budget_ms: int = 3000
    names_from: int = 0


def encode_task(task: ClientTask) -> str:
    """Return the task as JSON."""
    return ujson.dumps(asdict(task))


def decode_task(text: str) -> ClientTask:
    """Return the task in this JSON."""
    values: dict[str, Any] = ujson.loads(text)
    crowds = tuple(Crowd(**crowd | {"kind": CrowdKind(crowd["kind"])}) for crowd in values.pop("crowds"))
    return ClientTask(**values, crowds=crowds)


def encode_report(report: ClientReport) -> str:
    """Return the report as one line of JSON."""
    return ujson.dumps(asdict(report))


def decode_report(text: str) -> ClientReport:
    """Return the report in this JSON."""
    return ClientReport(**ujson.loads(text))
