"""Attempts of protected requests, between the dispatcher and its engine client.

An attempt is sent only once a quorum has recorded it. If it provably never ran, this is written into the record before
the dispatcher is notified of its end. Attempts of requests without an idempotency key pass through unchanged.
`ProtectedDispatcher` creates the one `ProtectedEngineClient` of a dispatcher.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Any

from decklb.core.attempts import Attempt
from decklb.core.engine_client import EngineClient
from decklb.interface import Outcome

if TYPE_CHECKING:
    from decklb.handoff.protected_dispatcher import ProtectedDispatcher, ProtectedRequest

NEVER_RAN = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)  # these prove that an attempt never ran


class AttemptPhase(Enum):
    """State of a protected attempt. The values appear in the log at DEBUG level."""

    AWAITING_QUORUM = "awaiting-quorum"
    SENT = "sent"  # passed to the engine client
    ENDED = "ended"


class ProtectedAttempt:
    """Wraps the dispatcher's attempt for the engine client; all members not defined here are the attempt's."""

    __slots__ = ("attempt", "protected", "handle", "phase", "cancel_token")

    def __init__(self, attempt: Attempt, protected: ProtectedRequest) -> None:
        self.attempt, self.protected = attempt, protected
        self.handle: object = None  # set and used by the engine client
        self.phase = AttemptPhase.AWAITING_QUORUM
        self.cancel_token = b""  # the token in the record

    def __getattr__(self, name: str) -> Any:
        return getattr(self.attempt, name)  # request, engine_id, deadline_ms and the like

    @property
    def sent(self) -> bool:
        """Whether the attempt was handed to a transport; set by the engine client."""
        return self.attempt.sent

    @sent.setter
    def sent(self, value: bool) -> None:
        self.attempt.sent = value

    def set_cancel_token(self, cancel_token: bytes) -> None:
        """Record the token that cancels the attempt on its connection, so that a new holder can cancel it too."""
        if self.phase is AttemptPhase.SENT and cancel_token != self.cancel_token:
            self.protected.dispatcher.set_cancel_token(self, cancel_token)

    def end(self, outcome: Outcome, result: bytes = b"") -> None:
        """Called by the engine client with the outcome of the attempt."""
        self.protected.dispatcher.attempt_ended(self, outcome.value, never_ran=outcome in NEVER_RAN)
        self.attempt.end(outcome, result)


class ProtectedEngineClient:
    """Wraps the engine client of a dispatcher whose requests are protected."""

    def __init__(self, inner: EngineClient, dispatcher: ProtectedDispatcher) -> None:
        """`inner` may have `reserve` and `cancel_by_token` if its protocol can cancel attempts by a token."""
        self.inner, self._dispatcher = inner, dispatcher

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; a protected one only once a quorum has recorded it."""
        protected = self._dispatcher.running.get(attempt.request.request_id)
        if protected is None:
            self.inner.start(attempt)
            return
        protected_attempt = protected.attempt = ProtectedAttempt(attempt, protected)
        attempt.handle = protected_attempt
        reserve = getattr(self.inner, "reserve", None)
        if reserve is not None:  # so that the record includes the token that cancels the attempt
            protected_attempt.cancel_token = reserve(protected_attempt)
        self._dispatcher.begin_attempt(protected_attempt, lambda reached: self._send(protected_attempt, reached))

    def _send(self, attempt: ProtectedAttempt, quorum_reached: bool) -> None:
        self._dispatcher.log_step(attempt.protected, f"quorum for the attempt: {quorum_reached}, {attempt.phase.value}")
        if attempt.phase is not AttemptPhase.AWAITING_QUORUM:
            return
        if not quorum_reached:
            self._dispatcher.suspend(attempt.protected)
            return
        attempt.phase = AttemptPhase.SENT
        self.inner.start(attempt)  # type: ignore[arg-type]

    def abandon(self, attempt: Attempt, on_released: Callable[[], None]) -> None:
        """Cancel an attempt; one that still waits for its quorum is never sent."""
        protected_attempt = attempt.handle
        if not isinstance(protected_attempt, ProtectedAttempt):
            self.inner.abandon(attempt, on_released)
            return
        phase = protected_attempt.phase
        self._dispatcher.log_step(protected_attempt.protected, f"attempt cancelled, {phase.value}")
        protected_attempt.phase = AttemptPhase.ENDED
        if phase is not AttemptPhase.AWAITING_QUORUM:
            self._cancel_sent(protected_attempt, on_released)
            return
        self._dispatcher.attempt_left_engine(protected_attempt)
        if protected_attempt.cancel_token:  # releases the reserved connection
            self.inner.abandon(protected_attempt, on_released)  # type: ignore[arg-type]
        else:
            self._dispatcher.clock.call_later(0, on_released)

    def _cancel_sent(self, attempt: ProtectedAttempt, on_released: Callable[[], None]) -> None:
        def on_left_engine() -> None:
            self._dispatcher.attempt_left_engine(attempt)
            on_released()

        self.inner.abandon(attempt, on_left_engine)  # type: ignore[arg-type]
