"""Between a front and the dispatcher: requests with a key are protected, all others pass by.

The guard knows no wire. A protected request is taken once a quorum has its record, an attempt goes out once a quorum
knows of it, and its final answer is given once a quorum has it. Its client may leave and come back with the key, here
or to another manager. Whatever can't be vouched for is told as `refused`: with its key, coming back is always harmless.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from loguru import logger

from decklb.core.attempts import Attempt, Request
from decklb.core.dispatcher import Dispatcher
from decklb.core.engine_client import EngineClient
from decklb.core.ports import Clock, IncomingRequest, ResponseSink
from decklb.handoff.admission_result import AdmissionResult, AdmissionState
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.handoff.records import Outcome, Record, Stage, fingerprint
from decklb.interface import Outcome as AttemptOutcome

BACK = 200.0  # ms after which a client whose request still runs had better ask again
MADE = "auto"  # the key by which a client asks the manager to make one


class Codec(Protocol):
    """How a front's requests are written down for another manager of the same front."""

    def encode(self, work: IncomingRequest) -> bytes:
        """All that another manager needs to run it, without its budget; the same for the same request."""

    def decode(self, body: bytes, budget: float) -> IncomingRequest:
        """The request again, with what is left of its budget."""


@dataclass(eq=False, slots=True)
class Protected:
    """One request with a key, from its arrival here until its answer is given, or until it is another's."""

    guard: Guard
    key: str
    sink: ResponseSink | None  # none: nobody waits here, but the answer is kept
    request: Request | None = None
    carried: Carried | None = None  # the attempt that is out
    after: list[Callable[[], None]] = field(default_factory=list)  # once it is out no longer
    unwanted: bool = False  # cancelled before it was taken

    def served(self, result: bytes) -> None:
        """The core's word: an engine's whole answer."""
        self.guard.final(self, Outcome.SERVED, result)

    def failed(self) -> None:
        """The core's word: no promise."""
        self.guard.final(self, Outcome.FAILED, b"")

    def rejected(self, retry_after_ms: float) -> None:
        """The core's word: a retry is harmless, so the key is free again."""
        self.guard.turned_away(self, retry_after_ms)

    def tell(self, call: Callable[[ResponseSink], None]) -> None:
        """To whoever waits, once."""
        sink, self.sink = self.sink, None
        if sink is not None:
            call(sink)


class Carried:
    """An attempt as the engine client sees it, where its start waits for a quorum and its end is looked at first."""

    __slots__ = ("attempt", "owner", "handle", "state", "trace")

    def __init__(self, attempt: Attempt, owner: Protected) -> None:
        self.attempt, self.owner = attempt, owner
        self.handle: object = None
        self.state = "waiting"  # then "out", "gone"
        self.trace = b""  # by which it can be called off, as the record says

    def __getattr__(self, name: str) -> Any:
        return getattr(self.attempt, name)  # request, engine, deadline and the like

    @property
    def begun(self) -> bool:
        """Whether it has been given to a transport, which the engine client tells."""
        return self.attempt.sent

    @begun.setter
    def begun(self, value: bool) -> None:
        self.attempt.sent = value

    def traced(self, trace: bytes) -> None:
        """It has gone out on a connection by which it can be called off, also by whoever takes it over."""
        guard = self.owner.guard
        if self.state == "out" and trace != self.trace:
            guard.coordinator.set_cancel_token(guard.clock.now(), self.owner.key, self.attempt.engine_id, trace)
            guard.pump()

    def end(self, outcome: AttemptOutcome, result: bytes = b"") -> None:
        """How it ended."""
        guard = self.owner.guard
        guard.say(self.owner, f"attempt ended {outcome.value}")
        if outcome in (
            AttemptOutcome.OVERLOADED,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.NEVER_SENT,
        ):  # it provably never ran
            guard.coordinator.attempt_rejected(guard.clock.now(), self.owner.key)
            guard.pump()
        guard.ended(self)
        self.attempt.end(outcome, result)


class Engines:
    """The engine client of a guarded core."""

    def __init__(self, inner: EngineClient, guard: Guard) -> None:
        self.inner, self.guard = inner, guard

    def start(self, attempt: Attempt) -> None:
        """Send it, a protected one once a quorum knows."""
        owner = self.guard.running.get(attempt.request.request_id)
        if owner is None:
            return self.inner.start(attempt)
        carried = owner.carried = Carried(attempt, owner)
        attempt.handle = carried
        reserve = getattr(self.inner, "reserve", None)
        if reserve is not None:  # so that the record can say how to call it off
            carried.trace = reserve(carried)
        self.guard.coordinator.begin_attempt(
            self.guard.clock.now(), owner.key, attempt.engine_id, lambda ok: self._go(carried, ok), carried.trace
        )
        self.guard.pump()

    def _go(self, carried: Carried, ok: bool) -> None:
        self.guard.say(carried.owner, f"quorum for the attempt: {ok}, {carried.state}")
        if carried.state != "waiting":
            return
        if not ok:
            return self.guard.hold_back(carried.owner)
        carried.state = "out"
        self.inner.start(carried)  # type: ignore[arg-type]

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Call it off; one that waits never goes out."""
        carried = attempt.handle
        if not isinstance(carried, Carried):
            return self.inner.abandon(attempt, freed)
        self.guard.say(carried.owner, f"attempt called off, {carried.state}")
        waiting, carried.state = carried.state == "waiting", "gone"
        if waiting:
            self.guard.ended(carried)
            if carried.trace:
                self.inner.abandon(carried, freed)  # type: ignore[arg-type]
            else:
                self.guard.clock.call_later(0, freed)
        else:
            self.inner.abandon(carried, lambda: (self.guard.ended(carried), freed())[1])  # type: ignore[arg-type,func-returns-value]


class Guard:
    """Protects the requests of one dispatcher."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, codec: Codec, name: str) -> None:
        self.dispatcher, self.clock, self.codec, self.name = dispatcher, clock, codec, name
        self.coordinator: HandoffCoordinator  # given by whoever runs it, whose hooks we are
        self.pump: Callable[[], None] = lambda: None
        self.running: dict[str, Protected] = {}  # by the core's name of the request
        self.by_key: dict[str, Protected] = {}
        self._made = 0
        self._called: set[str] = set()  # keys of which an attempt of another is being called off
        self.engines = dispatcher.engines = Engines(dispatcher.engines, self)

    # What fronts call.

    def submit(self, work: IncomingRequest, sink: ResponseSink) -> Request | Protected:
        """Take a request; its sink gets one answer, unless it is abandoned."""
        if not work.idempotency_key:
            return self.dispatcher.submit(work, sink)
        made = work.idempotency_key == MADE
        if made:
            self._made += 1
            work.idempotency_key = f"{self.name}.{self.coordinator.incarnation:x}.{self._made}"
        work.budget_ms = min(work.budget_ms, self.coordinator.settings.max_budget_ms)
        body, now = self.codec.encode(work), self.clock.now()
        p = Protected(self, work.idempotency_key, sink)
        record = Record(
            work.idempotency_key,
            "",
            0,
            0,
            work.tenant,
            work.request_class,
            self.dispatcher.settings.classes[work.request_class].effect,
            now + work.budget_ms,
            fingerprint(body),
            key_generated=made,
        )
        self.coordinator.admit(now, record, body, lambda result: self._admitted(p, work, result, now))
        self.pump()
        return p

    def abandon(self, taken: Request | Protected) -> None:
        """Its client has left. A protected request goes on: the client may come back for the answer."""
        if isinstance(taken, Protected):
            taken.sink = None
        else:
            self.dispatcher.abandon(taken)

    def cancel(self, taken: Request | Protected) -> None:
        """Its client wants it no more, and is told so by its front."""
        if not isinstance(taken, Protected):
            return self.dispatcher.abandon(taken)
        taken.sink, taken.unwanted = None, True
        if taken.request is not None and not taken.request.answered:
            self.dispatcher.abandon(taken.request)
            self._forget(taken)
            self.coordinator.complete(self.clock.now(), taken.key, Outcome.FAILED, b"", "cancelled", lambda ok: None)
            self.pump()

    # What the coordinator calls.

    def adopt(self, record: Record, body: bytes) -> None:
        """A request taken over, or taken up again, is run here."""
        earlier = self.by_key.get(record.key)
        if earlier is not None and earlier.carried is not None:  # what was called off is not out of the engine yet
            earlier.after.append(lambda: self.adopt(record, body))
            return
        if self.coordinator.held(record.key) is None or record.key in self._called:
            return
        call_off = getattr(self.engines.inner, "call_off", None)
        if not record.cancel_token or call_off is None:
            return self._again(record, body)
        # Its engine goes on with what a lost manager sent; two runs at once are one too many, also where both may be.
        self.say(Protected(self, record.key, None), f"called off at {record.engine}")
        self._called.add(record.key)
        call_off(
            record.engine,
            record.cancel_token,
            lambda: self.clock.call_later(
                self.dispatcher.settings.key_hold_down_ms, lambda: self._called_off(record, body)
            ),
        )

    def _called_off(self, record: Record, body: bytes) -> None:
        self._called.discard(record.key)
        held = self.coordinator.held(record.key)
        # Where it may not be acted on now, it is taken up again, and comes here once more.
        if held is not None and not held.suspended and held.record.stage < Stage.ANSWERED:
            if held.record.term == record.term:
                self._again(record, body)
            else:
                self.adopt(held.record, body)  # lost and won again meanwhile

    def _again(self, record: Record, body: bytes) -> None:
        now = self.clock.now()
        work = self.codec.decode(body, max(1.0, record.deadline_ms - now))
        work.idempotency_key = record.key
        self._run(Protected(self, record.key, None), work)

    def stop(self, key: str) -> None:
        """This member may not act on it now: what is out is called off, and its client asks again."""
        p = self.by_key.get(key)
        if p is not None:
            self.hold_back(p)

    # What the parts above call.

    def hold_back(self, p: Protected) -> None:
        """Nobody can vouch for it here at the moment."""
        self.say(p, "held back")
        if p.request is not None and not p.request.answered:
            self.dispatcher.abandon(p.request)
        self._forget(p)
        p.tell(lambda sink: sink.rejected(BACK))

    def ended(self, carried: Carried) -> None:
        """An attempt is out no longer."""
        p, carried.state = carried.owner, "gone"
        if p.carried is carried:
            p.carried = None
            after, p.after = p.after, []
            for call in after:
                call()
            if p.request is None and self.by_key.get(p.key) is p:
                del self.by_key[p.key]

    def final(self, p: Protected, outcome: Outcome, answer: bytes) -> None:
        """The core has its final answer; it is given once a quorum has it."""

        def told(ok: bool) -> None:
            self.say(p, f"quorum for the answer: {ok}")
            if not ok:
                return p.tell(lambda sink: sink.rejected(BACK))
            p.tell(lambda sink: sink.served(answer) if outcome is Outcome.SERVED else sink.failed())

        self.say(p, f"final: {outcome.name}")
        self._forget(p)
        self.coordinator.complete(self.clock.now(), p.key, outcome, answer, "", told)
        self.pump()

    def turned_away(self, p: Protected, backoff: float) -> None:
        """The core turned it away."""
        self.say(p, "turned away")
        self._forget(p)
        self.coordinator.release(p.key)
        self.pump()
        p.tell(lambda sink: sink.rejected(backoff))

    def say(self, p: Protected, what: str) -> None:
        """For whoever follows one key, at the level DEBUG."""
        logger.debug("key {key}: {what}", event="handoff-step", key=p.key, what=what)

    # Inside.

    def _admitted(self, p: Protected, work: IncomingRequest, result: AdmissionResult, since: float) -> None:
        self.say(p, f"{result.state.value} {result.reason}")
        match result.state:
            case AdmissionState.ADMITTED if p.unwanted:
                self.coordinator.release(p.key)
            case AdmissionState.ADMITTED:
                work.budget_ms = max(1.0, work.budget_ms - (self.clock.now() - since))
                self._run(p, work)
            case AdmissionState.ANSWERED if result.outcome is Outcome.SERVED:
                p.tell(lambda sink: sink.served(result.answer))
            case AdmissionState.ANSWERED:
                p.tell(lambda sink: sink.failed())
            case AdmissionState.KEY_REUSED:
                p.tell(lambda sink: getattr(sink, "conflict", sink.failed)())
            case AdmissionState.RUNNING | AdmissionState.REJECTED:
                p.tell(lambda sink: sink.rejected(BACK))

    def _run(self, p: Protected, work: IncomingRequest) -> None:
        self.by_key[p.key] = p
        p.request = self.dispatcher.submit(work, p)
        self.running[p.request.request_id] = p

    def _forget(self, p: Protected) -> None:
        if p.request is not None:
            self.running.pop(p.request.request_id, None)
            p.request = None
        if p.carried is None and self.by_key.get(p.key) is p:
            del self.by_key[p.key]
