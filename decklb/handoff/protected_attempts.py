"""Attempts of protected requests, between the dispatcher and its engine client.

An attempt is sent only once a quorum has the record that says so, and its end is written into the record before the
dispatcher hears of it. Attempts of requests without an idempotency key pass through unchanged. `ProtectedDispatcher`
makes the one `ProtectedEngineClient` of a dispatcher.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Any

from decklb.core.dispatcher import Attempt
from decklb.core.ports import EngineClient
from decklb.interface import Outcome

if TYPE_CHECKING:
    from decklb.handoff.protected_dispatcher import ProtectedDispatcher, ProtectedRequest

NEVER_RAN = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)  # ends by which an attempt provably never ran


class AttemptPhase(Enum):
    """How far a protected attempt has come. The values are read in the log at DEBUG."""

    AWAITING_QUORUM = "awaiting-quorum"
    SENT = "sent"  # given to the engine client
    ENDED = "ended"


class ProtectedAttempt:
    """An attempt as the engine client sees it; what is not defined here is the dispatcher's attempt's own."""

    __slots__ = ("attempt", "protected", "handle", "phase", "cancel_token")

    def __init__(self, attempt: Attempt, protected: ProtectedRequest) -> None:
        self.attempt, self.protected = attempt, protected
        self.handle: object = None  # the engine client's own
        self.phase = AttemptPhase.AWAITING_QUORUM
        self.cancel_token = b""  # as the record has it

    def __getattr__(self, name: str) -> Any:
        return getattr(self.attempt, name)  # request, engine_id, deadline_ms and the like

    @property
    def sent(self) -> bool:
        """Whether a transport has it, which the engine client tells."""
        return self.attempt.sent

    @sent.setter
    def sent(self, value: bool) -> None:
        self.attempt.sent = value

    def set_cancel_token(self, cancel_token: bytes) -> None:
        """It went out on a connection by which it can be cancelled, also by whoever takes the request over."""
        if self.phase is AttemptPhase.SENT and cancel_token != self.cancel_token:
            self.protected.dispatcher.attempt_cancellable(self, cancel_token)

    def end(self, outcome: Outcome, result: bytes = b"") -> None:
        """The engine client tells how it ended."""
        self.protected.dispatcher.attempt_ended(self, outcome.value, never_ran=outcome in NEVER_RAN)
        self.attempt.end(outcome, result)


class ProtectedEngineClient:
    """The engine client of a dispatcher whose requests are protected."""

    def __init__(self, inner: EngineClient, dispatcher: ProtectedDispatcher) -> None:
        """`inner` may have `reserve` and `cancel_by_token`, where its protocol can cancel attempts by a token."""
        self.inner, self._dispatcher = inner, dispatcher

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, a protected one once a quorum knows of it."""
        protected = self._dispatcher.running.get(attempt.request.request_id)
        if protected is None:
            self.inner.start(attempt)
            return
        protected_attempt = protected.attempt = ProtectedAttempt(attempt, protected)
        attempt.handle = protected_attempt
        reserve = getattr(self.inner, "reserve", None)
        if reserve is not None:  # so that the record can say how to cancel it
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

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel an attempt; one that waits for its quorum is never sent."""
        protected_attempt = attempt.handle
        if not isinstance(protected_attempt, ProtectedAttempt):
            self.inner.abandon(attempt, freed)
            return
        phase = protected_attempt.phase
        self._dispatcher.log_step(protected_attempt.protected, f"attempt cancelled, {phase.value}")
        protected_attempt.phase = AttemptPhase.ENDED
        if phase is not AttemptPhase.AWAITING_QUORUM:
            self._cancel_sent(protected_attempt, freed)
            return
        self._dispatcher.attempt_out_of_engine(protected_attempt)
        if protected_attempt.cancel_token:  # gives the reserved connection back
            self.inner.abandon(protected_attempt, freed)  # type: ignore[arg-type]
        else:
            self._dispatcher.clock.call_later(0, freed)

    def _cancel_sent(self, attempt: ProtectedAttempt, freed: Callable[[], None]) -> None:
        def out_of_engine() -> None:
            self._dispatcher.attempt_out_of_engine(attempt)
            freed()

        self.inner.abandon(attempt, out_of_engine)  # type: ignore[arg-type]
