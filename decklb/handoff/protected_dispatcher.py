"""A request handler between a front and the dispatcher that protects requests with an idempotency key.

All other requests pass through. A protected request runs once a quorum has its record, each attempt is sent once a
quorum has recorded it, and the final answer is given to the client once a quorum has it. The client may disconnect and
retry with the key, here or at another member. A request that can't be protected now, for example because no quorum can
be reached, is rejected: a retry with the same key is always harmless.

This module is independent of the wire protocol. `ProtectedDispatcher` owns the protected requests that this member
runs. Fronts call it in place of the dispatcher, and `HandoffCoordinator` calls `run` and `stop`. Its only I/O is to log
at DEBUG level.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from decklb.core.attempts import Request
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock, IncomingRequest, ResponseSink
from decklb.handoff.admission_result import AdmissionResult, AdmissionState
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.handoff.held_request import QuorumCallback
from decklb.handoff.protected_attempts import AttemptPhase, ProtectedAttempt, ProtectedEngineClient
from decklb.handoff.records import Outcome, Record, Stage, fingerprint

RETRY_AFTER_MS = 200.0  # sent to a client whose request still runs, or can't be protected now
GENERATED_KEY = "auto"  # key that asks this member to generate a key
MIN_BUDGET_MS = 1.0  # budget of a request that is run past its deadline; the dispatcher then ends it


class RequestCodec(Protocol):
    """Encodes a front's requests so that another member with the same front can run them."""

    def encode(self, request: IncomingRequest) -> bytes:
        """Return all that another member needs to run the request except its budget; equal for equal requests."""

    def decode(self, body: bytes, budget_ms: float) -> IncomingRequest:
        """Return the encoded request, with its remaining budget."""


@dataclass(eq=False, slots=True)
class ProtectedRequest:
    """A request with a key, from its arrival until its answer is given or another member holds it.

    It is the dispatcher's `ResponseSink` for the request.
    """

    dispatcher: ProtectedDispatcher
    key: str
    sink: ResponseSink | None  # None: no client waits here; the answer is still retained
    request: Request | None = None  # the dispatcher's request, while it runs
    attempt: ProtectedAttempt | None = None  # the attempt in flight
    after_attempt: list[Callable[[], None]] = field(default_factory=list)  # called once no attempt is in flight
    cancelled: bool = False  # by its client

    def served(self, result: bytes) -> None:
        """The dispatcher has an engine's complete answer."""
        self.dispatcher.complete(self, Outcome.SERVED, result)

    def failed(self) -> None:
        """The dispatcher failed the request; it may or may not have been executed."""
        self.dispatcher.complete(self, Outcome.FAILED, b"")

    def rejected(self, retry_after_ms: float) -> None:
        """The dispatcher rejected the request; it was not executed, so the key is free again."""
        self.dispatcher.reject(self, retry_after_ms)

    def respond(self, answer: Callable[[ResponseSink], None]) -> None:
        """Answer the waiting client, if there is one, at most once."""
        sink, self.sink = self.sink, None
        if sink is not None:
            answer(sink)

    def respond_retry(self) -> None:
        """Inform the waiting client, if there is one, that it may retry the request."""
        self.respond(lambda sink: sink.rejected(RETRY_AFTER_MS))


class ProtectedDispatcher:
    """Protects the requests of one dispatcher."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, codec: RequestCodec, member: str) -> None:
        """Wrap a dispatcher and its engine client.

        Args:
            dispatcher: Runs the requests.
            clock: The dispatcher's clock.
            codec: The front's codec for requests.
            member: This member's name, the prefix of the keys that it generates.
        """
        self.dispatcher, self.clock, self._codec, self._member = dispatcher, clock, codec, member
        self.coordinator: HandoffCoordinator  # set by `attach`
        self.flush: Callable[[], None] = lambda: None  # sends the coordinator's output
        self.running: dict[str, ProtectedRequest] = {}  # by the dispatcher's request id
        self._by_key: dict[str, ProtectedRequest] = {}
        self._generated_keys = 0
        self._cancelling_keys: set[str] = set()  # keys for which the former holder's attempt is being cancelled
        self._engines = dispatcher.engines = ProtectedEngineClient(dispatcher.engines, self)

    def attach(self, coordinator: HandoffCoordinator, flush: Callable[[], None]) -> None:
        """Set the coordinator and the function that sends its output. Must be called before the first request."""
        self.coordinator, self.flush = coordinator, flush

    # Calls from fronts.

    def submit(
        self, request: IncomingRequest, sink: ResponseSink, client_has_left: Callable[[], bool] = lambda: False
    ) -> Request | ProtectedRequest:
        """Accept a request; its sink gets one answer, unless the request is abandoned or cancelled.

        A request without a key ends once `client_has_left` returns true.
        """
        if not request.idempotency_key:
            return self.dispatcher.submit(request, sink, client_has_left)
        generated = request.idempotency_key == GENERATED_KEY
        if generated:
            request.idempotency_key = self._generate_key()
        request.budget_ms = min(request.budget_ms, self.coordinator.settings.max_budget_ms)
        body, now = self._codec.encode(request), self.clock.now()
        protected = ProtectedRequest(self, request.idempotency_key, sink)
        record = Record(
            key=request.idempotency_key,
            holder="",
            term=0,
            version=0,
            tenant=request.tenant,
            request_class=request.request_class,
            effect=self.dispatcher.settings.classes[request.request_class].effect,
            deadline_ms=now + request.budget_ms,
            request_digest=fingerprint(body),
            key_generated=generated,
        )
        self.coordinator.admit(
            now, record, body, lambda result: self._on_admission_result(protected, request, result, now)
        )
        self.flush()
        return protected

    def _generate_key(self) -> str:
        self._generated_keys += 1
        return f"{self._member}.{self.coordinator.incarnation:x}.{self._generated_keys}"

    def abandon(self, handle: Request | ProtectedRequest) -> None:
        """The client has disconnected. A protected request continues, as the client may retry to get the answer."""
        if isinstance(handle, ProtectedRequest):
            handle.sink = None
        else:
            self.dispatcher.abandon(handle)

    def cancel(self, handle: Request | ProtectedRequest) -> None:
        """The client has cancelled the request; its front confirms this to the client."""
        if not isinstance(handle, ProtectedRequest):
            self.dispatcher.abandon(handle)
            return
        handle.sink, handle.cancelled = None, True
        if handle.request is not None and not handle.request.answered:
            self.dispatcher.abandon(handle.request)
            self._detach(handle)
            self.coordinator.complete(
                self.clock.now(), handle.key, Outcome.FAILED, b"", "cancelled", lambda reached: None
            )
            self.flush()

    # Calls from the coordinator.

    def _on_admission_result(
        self, protected: ProtectedRequest, request: IncomingRequest, result: AdmissionResult, submitted_at_ms: float
    ) -> None:
        self.log_step(protected, f"{result.state.value} {result.reason}")
        if result.state is not AdmissionState.ADMITTED or protected.cancelled:  # the dispatcher never gets it
            request.release()
        match result.state:
            case AdmissionState.ADMITTED if protected.cancelled:
                self.coordinator.release(protected.key)
            case AdmissionState.ADMITTED:
                request.budget_ms = max(MIN_BUDGET_MS, request.budget_ms - (self.clock.now() - submitted_at_ms))
                self._start(protected, request)
            case AdmissionState.ANSWERED if result.outcome is Outcome.SERVED:
                protected.respond(lambda sink: sink.served(result.answer))
            case AdmissionState.ANSWERED:
                protected.respond(lambda sink: sink.failed())
            case AdmissionState.KEY_REUSED:  # sinks may have a `conflict` method to report this
                protected.respond(lambda sink: getattr(sink, "conflict", sink.failed)())
            case AdmissionState.RUNNING | AdmissionState.REJECTED:
                protected.respond_retry()

    def run(self, record: Record, body: bytes) -> None:
        """Run a request that was taken over or resumed."""
        earlier = self._by_key.get(record.key)
        if earlier is not None and earlier.attempt is not None:  # a cancelled attempt has not left its engine yet
            earlier.after_attempt.append(lambda: self.run(record, body))
            return
        if self.coordinator.held(record.key) is None or record.key in self._cancelling_keys:
            return
        cancel_by_token = getattr(self._engines.inner, "cancel_by_token", None)
        if not record.cancel_token or cancel_by_token is None:
            self._run_again(record, body)
            return
        # The engine still executes the attempt of the lost member. Two executions must not overlap, even if the class
        # allows repeated execution.
        self.log_step(ProtectedRequest(self, record.key, None), f"cancelled at {record.engine}")
        self._cancelling_keys.add(record.key)
        hold_down_ms = self.dispatcher.settings.key_hold_down_ms
        cancel_by_token(
            record.engine,
            record.cancel_token,
            lambda: self.clock.call_later(hold_down_ms, lambda: self._on_cancelled(record, body)),
        )

    def _on_cancelled(self, record: Record, body: bytes) -> None:
        self._cancelling_keys.discard(record.key)
        held = self.coordinator.held(record.key)
        # If the request is suspended now, `run` is called again when it is resumed.
        if held is not None and not held.suspended and held.record.stage < Stage.ANSWERED:
            if held.record.term == record.term:
                self._run_again(record, body)
            else:
                self.run(held.record, body)  # lost and taken over again in the meantime

    def _run_again(self, record: Record, body: bytes) -> None:
        request = self._codec.decode(body, max(MIN_BUDGET_MS, record.deadline_ms - self.clock.now()))
        request.idempotency_key = record.key
        self._start(ProtectedRequest(self, record.key, None), request)

    def stop(self, key: str) -> None:
        """Cancel a request that this member may not act on now, and inform its client that it may retry."""
        protected = self._by_key.get(key)
        if protected is not None:
            self.suspend(protected)

    # Calls from protected requests and their attempts.

    def begin_attempt(self, attempt: ProtectedAttempt, on_quorum: QuorumCallback) -> None:
        """Write an attempt into its request's record; `on_quorum` is called with whether it may be sent."""
        self.coordinator.begin_attempt(
            self.clock.now(), attempt.protected.key, attempt.engine_id, on_quorum, attempt.cancel_token
        )
        self.flush()

    def set_cancel_token(self, attempt: ProtectedAttempt, cancel_token: bytes) -> None:
        """Write the token that cancels an attempt in flight into the record."""
        self.coordinator.set_cancel_token(self.clock.now(), attempt.protected.key, attempt.engine_id, cancel_token)
        self.flush()

    def attempt_ended(self, attempt: ProtectedAttempt, outcome: str, never_ran: bool) -> None:
        """An attempt has ended at its engine; `outcome` is for the log."""
        self.log_step(attempt.protected, f"attempt ended {outcome}")
        if never_ran:
            self.coordinator.attempt_rejected(self.clock.now(), attempt.protected.key)
            self.flush()
        self.attempt_left_engine(attempt)

    def attempt_left_engine(self, attempt: ProtectedAttempt) -> None:
        """An attempt is no longer in flight, so another may be sent."""
        protected, attempt.phase = attempt.protected, AttemptPhase.ENDED
        if protected.attempt is not attempt:
            return
        protected.attempt = None
        after_attempt, protected.after_attempt = protected.after_attempt, []
        for call in after_attempt:
            call()
        if protected.request is None and self._by_key.get(protected.key) is protected:
            del self._by_key[protected.key]

    def suspend(self, protected: ProtectedRequest) -> None:
        """Stop a request that this member may not act on now, and inform its client that it may retry."""
        self.log_step(protected, "suspended")
        if protected.request is not None and not protected.request.answered:
            self.dispatcher.abandon(protected.request)
        self._detach(protected)
        protected.respond_retry()

    def complete(self, protected: ProtectedRequest, outcome: Outcome, answer: bytes) -> None:
        """Record the dispatcher's final answer, and give it to the client once a quorum has it."""

        def on_quorum(reached: bool) -> None:
            self.log_step(protected, f"quorum for the answer: {reached}")
            if not reached:
                protected.respond_retry()
            elif outcome is Outcome.SERVED:
                protected.respond(lambda sink: sink.served(answer))
            else:
                protected.respond(lambda sink: sink.failed())

        self.log_step(protected, f"final: {outcome.name}")
        self._detach(protected)
        self.coordinator.complete(self.clock.now(), protected.key, outcome, answer, "", on_quorum)
        self.flush()

    def reject(self, protected: ProtectedRequest, retry_after_ms: float) -> None:
        """Release the key of a request that the dispatcher rejected, and pass the rejection on to the client."""
        self.log_step(protected, "rejected")
        self._detach(protected)
        self.coordinator.release(protected.key)
        self.flush()
        protected.respond(lambda sink: sink.rejected(retry_after_ms))

    def log_step(self, protected: ProtectedRequest, step: str) -> None:
        """Log a step of a request at DEBUG level."""
        logger.debug("key {key}: {what}", event="handoff-step", key=protected.key, what=step)

    def _start(self, protected: ProtectedRequest, request: IncomingRequest) -> None:
        self._by_key[protected.key] = protected
        protected.request = self.dispatcher.submit(request, protected)
        self.running[protected.request.request_id] = protected

    def _detach(self, protected: ProtectedRequest) -> None:
        """Detach a request that the dispatcher no longer runs; an attempt of it may still be in flight."""
        if protected.request is not None:
            self.running.pop(protected.request.request_id, None)
            protected.request = None
        if protected.attempt is None and self._by_key.get(protected.key) is protected:
            del self._by_key[protected.key]
