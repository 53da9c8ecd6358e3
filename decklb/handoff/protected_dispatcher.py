"""Between a front and the dispatcher: requests with an idempotency key are protected, all others pass through.

This module knows no wire. A protected request runs once a quorum has its record, an attempt is sent once a quorum knows
of it, and its final answer is given once a quorum has that. Its client may leave and come back with the key, here or to
another member. Whatever can't be vouched for is rejected: with its key, coming back is always harmless.

`ProtectedDispatcher` owns the protected requests that this member runs. Fronts call it in place of the dispatcher, and
the `HandoffCoordinator` calls `run` and `stop`. It does no I/O but for lines of the log at DEBUG.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from decklb.core.dispatcher import Dispatcher, Request
from decklb.core.ports import Clock, IncomingRequest, ResponseSink
from decklb.handoff.admission_result import AdmissionResult, AdmissionState
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.handoff.held_request import QuorumCallback
from decklb.handoff.protected_attempts import AttemptPhase, ProtectedAttempt, ProtectedEngineClient
from decklb.handoff.records import Outcome, Record, Stage, fingerprint

RETRY_AFTER_MS = 200.0  # told to a client whose request still runs, or can't be vouched for now
GENERATED_KEY = "auto"  # the key by which a client asks this member to generate one
MIN_BUDGET_MS = 1.0  # of a request that is run: what is past its deadline is the dispatcher's to end


class RequestCodec(Protocol):
    """How a front encodes its requests for another member with the same front."""

    def encode(self, work: IncomingRequest) -> bytes:
        """All that another member needs to run it, but for its budget; the same for the same request."""

    def decode(self, body: bytes, budget_ms: float) -> IncomingRequest:
        """The request again, with what is left of its budget."""


@dataclass(eq=False, slots=True)
class ProtectedRequest:
    """One request with a key, from its arrival until its answer is given, or until another member holds it.

    It is the dispatcher's `ResponseSink` for the request.
    """

    dispatcher: ProtectedDispatcher
    key: str
    sink: ResponseSink | None  # None: no client waits here, but the answer is retained
    request: Request | None = None  # the dispatcher's, while it runs
    attempt: ProtectedAttempt | None = None  # the one that is out
    after_attempt: list[Callable[[], None]] = field(default_factory=list)  # called once none is out
    cancelled: bool = False  # by its client, before it was admitted

    def served(self, result: bytes) -> None:
        """The dispatcher: an engine's complete answer."""
        self.dispatcher.complete(self, Outcome.SERVED, result)

    def failed(self) -> None:
        """The dispatcher: failed, with no promise about what was done."""
        self.dispatcher.complete(self, Outcome.FAILED, b"")

    def rejected(self, retry_after_ms: float) -> None:
        """The dispatcher: not run, so that the key is free again."""
        self.dispatcher.reject(self, retry_after_ms)

    def respond(self, answer: Callable[[ResponseSink], None]) -> None:
        """Give whoever waits an answer, once."""
        sink, self.sink = self.sink, None
        if sink is not None:
            answer(sink)

    def respond_retry(self) -> None:
        """Tell whoever waits to come back."""
        self.respond(lambda sink: sink.rejected(RETRY_AFTER_MS))


class ProtectedDispatcher:
    """Protects the requests of one dispatcher."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, codec: RequestCodec, member: str) -> None:
        """Stand before a dispatcher, and wrap its engine client.

        Args:
            dispatcher: Runs the requests.
            clock: The dispatcher's.
            codec: The front's.
            member: This member's name, which begins the keys that it generates.
        """
        self.dispatcher, self.clock, self._codec, self._member = dispatcher, clock, codec, member
        self.coordinator: HandoffCoordinator  # by `attach`
        self.flush: Callable[[], None] = lambda: None  # sends what the coordinator put out
        self.running: dict[str, ProtectedRequest] = {}  # by the dispatcher's request id
        self._by_key: dict[str, ProtectedRequest] = {}
        self._generated_keys = 0
        self._cancelling_keys: set[str] = set()  # whose former holder's attempt is being cancelled
        self._engines = dispatcher.engines = ProtectedEngineClient(dispatcher.engines, self)

    def attach(self, coordinator: HandoffCoordinator, flush: Callable[[], None]) -> None:
        """Give it the coordinator, and how to send what that puts out; before the first request."""
        self.coordinator, self.flush = coordinator, flush

    # What fronts call.

    def submit(self, work: IncomingRequest, sink: ResponseSink) -> Request | ProtectedRequest:
        """Take a request; its sink gets one answer, unless it is abandoned."""
        if not work.idempotency_key:
            return self.dispatcher.submit(work, sink)
        generated = work.idempotency_key == GENERATED_KEY
        if generated:
            work.idempotency_key = self._generate_key()
        work.budget_ms = min(work.budget_ms, self.coordinator.settings.max_budget_ms)
        body, now = self._codec.encode(work), self.clock.now()
        protected = ProtectedRequest(self, work.idempotency_key, sink)
        record = Record(
            key=work.idempotency_key,
            holder="",
            term=0,
            version=0,
            tenant=work.tenant,
            request_class=work.request_class,
            effect=self.dispatcher.settings.classes[work.request_class].effect,
            deadline_ms=now + work.budget_ms,
            request_digest=fingerprint(body),
            key_generated=generated,
        )
        self.coordinator.admit(now, record, body, lambda result: self._on_admission(protected, work, result, now))
        self.flush()
        return protected

    def _generate_key(self) -> str:
        self._generated_keys += 1
        return f"{self._member}.{self.coordinator.incarnation:x}.{self._generated_keys}"

    def abandon(self, taken: Request | ProtectedRequest) -> None:
        """The client has disconnected. A protected request goes on: the client may come back for the answer."""
        if isinstance(taken, ProtectedRequest):
            taken.sink = None
        else:
            self.dispatcher.abandon(taken)

    def cancel(self, taken: Request | ProtectedRequest) -> None:
        """The client has cancelled the request, and is told so by its front."""
        if not isinstance(taken, ProtectedRequest):
            self.dispatcher.abandon(taken)
            return
        taken.sink, taken.cancelled = None, True
        if taken.request is not None and not taken.request.answered:
            self.dispatcher.abandon(taken.request)
            self._forget(taken)
            self.coordinator.complete(
                self.clock.now(), taken.key, Outcome.FAILED, b"", "cancelled", lambda reached: None
            )
            self.flush()

    # What the coordinator calls.

    def _on_admission(
        self, protected: ProtectedRequest, work: IncomingRequest, result: AdmissionResult, since_ms: float
    ) -> None:
        self.log_step(protected, f"{result.state.value} {result.reason}")
        match result.state:
            case AdmissionState.ADMITTED if protected.cancelled:
                self.coordinator.release(protected.key)
            case AdmissionState.ADMITTED:
                work.budget_ms = max(MIN_BUDGET_MS, work.budget_ms - (self.clock.now() - since_ms))
                self._start(protected, work)
            case AdmissionState.ANSWERED if result.outcome is Outcome.SERVED:
                protected.respond(lambda sink: sink.served(result.answer))
            case AdmissionState.ANSWERED:
                protected.respond(lambda sink: sink.failed())
            case AdmissionState.KEY_REUSED:  # fronts that can say so have a method of their own
                protected.respond(lambda sink: getattr(sink, "conflict", sink.failed)())
            case AdmissionState.RUNNING | AdmissionState.REJECTED:
                protected.respond_retry()

    def run(self, record: Record, body: bytes) -> None:
        """Run a request that was taken over, or is taken up again."""
        earlier = self._by_key.get(record.key)
        if earlier is not None and earlier.attempt is not None:  # what was cancelled is not out of the engine yet
            earlier.after_attempt.append(lambda: self.run(record, body))
            return
        if self.coordinator.held(record.key) is None or record.key in self._cancelling_keys:
            return
        cancel_by_token = getattr(self._engines.inner, "cancel_by_token", None)
        if not record.cancel_token or cancel_by_token is None:
            self._run_again(record, body)
            return
        # The engine goes on with what a lost member sent; two runs at once are one too many, also where both may be.
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
        # Where it may not be acted on now, it is taken up again, and comes here once more.
        if held is not None and not held.suspended and held.record.stage < Stage.ANSWERED:
            if held.record.term == record.term:
                self._run_again(record, body)
            else:
                self.run(held.record, body)  # lost and won again meanwhile

    def _run_again(self, record: Record, body: bytes) -> None:
        work = self._codec.decode(body, max(MIN_BUDGET_MS, record.deadline_ms - self.clock.now()))
        work.idempotency_key = record.key
        self._start(ProtectedRequest(self, record.key, None), work)

    def stop(self, key: str) -> None:
        """This member may not act on a request now: what is out is cancelled, and its client comes back."""
        protected = self._by_key.get(key)
        if protected is not None:
            self.suspend(protected)

    # What protected requests and their attempts call.

    def begin_attempt(self, attempt: ProtectedAttempt, on_quorum: QuorumCallback) -> None:
        """Write an attempt into its record; `on_quorum` is told whether it may be sent."""
        self.coordinator.begin_attempt(
            self.clock.now(), attempt.protected.key, attempt.engine_id, on_quorum, attempt.cancel_token
        )
        self.flush()

    def attempt_cancellable(self, attempt: ProtectedAttempt, cancel_token: bytes) -> None:
        """Write into the record how an attempt that is out can be cancelled."""
        self.coordinator.set_cancel_token(self.clock.now(), attempt.protected.key, attempt.engine_id, cancel_token)
        self.flush()

    def attempt_ended(self, attempt: ProtectedAttempt, outcome: str, never_ran: bool) -> None:
        """An attempt ended at its engine; `outcome` is for the log."""
        self.log_step(attempt.protected, f"attempt ended {outcome}")
        if never_ran:
            self.coordinator.attempt_rejected(self.clock.now(), attempt.protected.key)
            self.flush()
        self.attempt_out_of_engine(attempt)

    def attempt_out_of_engine(self, attempt: ProtectedAttempt) -> None:
        """An attempt is out no longer, so that another may be sent."""
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
        """Nobody can vouch for a request here now: stop it, and tell its client to come back."""
        self.log_step(protected, "suspended")
        if protected.request is not None and not protected.request.answered:
            self.dispatcher.abandon(protected.request)
        self._forget(protected)
        protected.respond_retry()

    def complete(self, protected: ProtectedRequest, outcome: Outcome, answer: bytes) -> None:
        """The dispatcher has the final answer; it is given once a quorum has it."""

        def on_quorum(reached: bool) -> None:
            self.log_step(protected, f"quorum for the answer: {reached}")
            if not reached:
                protected.respond_retry()
            elif outcome is Outcome.SERVED:
                protected.respond(lambda sink: sink.served(answer))
            else:
                protected.respond(lambda sink: sink.failed())

        self.log_step(protected, f"final: {outcome.name}")
        self._forget(protected)
        self.coordinator.complete(self.clock.now(), protected.key, outcome, answer, "", on_quorum)
        self.flush()

    def reject(self, protected: ProtectedRequest, retry_after_ms: float) -> None:
        """The dispatcher rejected the request: its key is free again."""
        self.log_step(protected, "rejected")
        self._forget(protected)
        self.coordinator.release(protected.key)
        self.flush()
        protected.respond(lambda sink: sink.rejected(retry_after_ms))

    def log_step(self, protected: ProtectedRequest, step: str) -> None:
        """Log a step of one key at DEBUG."""
        logger.debug("key {key}: {what}", event="handoff-step", key=protected.key, what=step)

    def _start(self, protected: ProtectedRequest, work: IncomingRequest) -> None:
        self._by_key[protected.key] = protected
        protected.request = self.dispatcher.submit(work, protected)
        self.running[protected.request.request_id] = protected

    def _forget(self, protected: ProtectedRequest) -> None:
        """The dispatcher runs it no longer; an attempt may still be out."""
        if protected.request is not None:
            self.running.pop(protected.request.request_id, None)
            protected.request = None
        if protected.attempt is None and self._by_key.get(protected.key) is protected:
            del self._by_key[protected.key]
