"""Requests in flight and their attempts, as the dispatcher, the engine clients and the subsystems exchange them.

The dispatcher owns both. It keeps a request until the final answer has been sent and the last attempt has ended. Engine
clients report about an attempt through its methods.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from decklb.core.ports import IncomingRequest, ResponseSink
from decklb.interface import Outcome


class Request:
    """An accepted request."""

    __slots__ = ("request_id", "incoming", "sink", "deadline_ms", "client_has_left", "attempts", "answered")

    def __init__(
        self,
        request_id: str,
        incoming: IncomingRequest,
        sink: ResponseSink,
        deadline_ms: float,
        client_has_left: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a request without attempts.

        Args:
            request_id: Assigned by the dispatcher.
            incoming: What the front read.
            sink: Receives the final answer.
            deadline_ms: A time on the dispatcher's clock.
            client_has_left: Whether the client is known to have left, though its front has not reported it yet.
        """
        self.client_has_left = client_has_left
        self.request_id, self.incoming, self.sink, self.deadline_ms = request_id, incoming, sink, deadline_ms
        self.attempts: list[Attempt] = []  # in order of attempt numbers
        self.answered = False  # has its final answer, or needs none because its client has gone

    def has_open_attempt(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(not attempt.ended for attempt in self.attempts)


class AttemptListener(Protocol):
    """Receives what engine clients report about attempts; implemented by `AttemptRunner`."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes) -> None:
        """The attempt has ended; `result` is complete if it succeeded."""

    def attempt_uncertain(self, attempt: Attempt) -> None:
        """The engine may still be executing an attempt that it has answered."""

    def attempt_progressed(self, attempt: Attempt, kind: int, level: float) -> None:
        """The engine has sent a progress report; `kind` and `level` are those of `AttemptProgress`."""


class Attempt:
    """One attempt to execute a request at an engine, which is named by its id in the service directory."""

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
        self.start_deadline_ms = self.deadline_ms  # time in ms after which it must not be sent any more
        self.outcome: Outcome | None = None
        # The engine client sets it to False while the attempt is still unsent, such as while it waits for a connection.
        self.sent = True
        self.abandoned = self.timed_out = self.ended = False
        self.handle: object = None  # for use by the engine client

    def end(self, outcome: Outcome, result: bytes = b"") -> None:
        """Report how the attempt ended. Ignored if it has already ended or was abandoned."""
        self._listener.attempt_ended(self, outcome, result)

    def mark_uncertain(self) -> None:
        """Report that the connection ended right after the answer, so the engine may still be executing the attempt."""
        self._listener.attempt_uncertain(self)

    def report_progress(self, kind: int, level: float) -> None:
        """Report progress. `kind` 1: `level` is the completed fraction; 2: the query spills to disk; 3: it waits."""
        self._listener.attempt_progressed(self, kind, level)
