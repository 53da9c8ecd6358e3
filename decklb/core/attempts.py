"""Requests in flight and their attempts: the objects that the dispatcher, engine clients and subsystems hand round.

A Request lives from its arrival until its final answer is out and its last attempt has ended. The dispatcher owns both;
engine clients report on attempts by the methods of Attempt.
"""

from __future__ import annotations

from typing import Protocol

from decklb.core.ports import IncomingRequest, ResponseSink
from decklb.interface import Outcome


class Request:
    """A request from its arrival until its final answer."""

    __slots__ = ("request_id", "incoming", "sink", "deadline_ms", "attempts", "answered")

    def __init__(self, request_id: str, incoming: IncomingRequest, sink: ResponseSink, deadline_ms: float) -> None:
        """`request_id` is the dispatcher's own; `deadline_ms` is on the clock of the core."""
        self.request_id, self.incoming, self.sink, self.deadline_ms = request_id, incoming, sink, deadline_ms
        self.attempts: list[Attempt] = []  # by their numbers
        self.answered = False  # its client has had its answer, or wants none

    def has_open_attempt(self) -> bool:
        """Whether an attempt lacks its end."""
        return any(not attempt.ended for attempt in self.attempts)


class AttemptListener(Protocol):
    """Who is told of an attempt's fate: the dispatcher."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes) -> None:
        """It has ended, with a complete result if it was a success."""

    def attempt_uncertain(self, attempt: Attempt) -> None:
        """Its engine may not count it as finished."""

    def attempt_progressed(self, attempt: Attempt, kind: int, level: float) -> None:
        """Its engine has told of progress."""


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
        "_listener",
    )

    def __init__(
        self, listener: AttemptListener, request: Request, engine_id: str, started_at_ms: float, timeout_ms: float
    ) -> None:
        self._listener = listener
        self.request, self.engine_id, self.started_at_ms = request, engine_id, started_at_ms
        self.number = len(request.attempts)
        self.deadline_ms = started_at_ms + timeout_ms
        self.start_deadline_ms = self.deadline_ms  # after this it may no longer begin
        self.outcome: Outcome | None = None
        self.sent = True  # its engine client says no while it waits, as for a connection
        self.abandoned = self.timed_out = self.ended = False
        self.handle: object = None  # the engine client's own

    def end(self, outcome: Outcome, result: bytes = b"") -> None:
        """The engine client reports how it ended. A second report, or one after it was abandoned, is ignored."""
        self._listener.attempt_ended(self, outcome, result)

    def mark_uncertain(self) -> None:
        """Its connection has ended right behind its answer: the engine may not count it as finished."""
        self._listener.attempt_uncertain(self)

    def report_progress(self, kind: int, level: float) -> None:
        """The engine has told of progress: kind 1 is the share done, 2 spills, 3 waits."""
        self._listener.attempt_progressed(self, kind, level)
