"""The ports of the core: what the dispatcher needs from the outside, and what fronts bring to it.

The core knows no wire. Fronts (`net`, `pg`, `middleware`) read requests, engine clients of the same packages run
attempts, the reactor supplies the clock. Times are milliseconds on a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from decklb.interface import Outcome

if TYPE_CHECKING:
    from decklb.core.dispatcher import Attempt


@dataclass(slots=True)
class IncomingRequest:
    """One request as a front read it.

    The client's request id, the class, the statement and the deduplication token go to engines unchanged.
    """

    client_request_id: str
    request_class: str
    tenant: str
    budget_ms: float  # how long its client waits, counted from when it sent the request
    statement: bytes
    table_group: int = 0
    ordering_key: str | None = None  # requests of one key run one after another, where the class asks for it
    deduplication_token: str = ""
    idempotency_key: str = ""  # under which its client may ask any manager for its one answer again; "": none


class Timer(Protocol):
    """A call that is still to come."""

    def cancel(self) -> None:
        """Forget the call."""


class Clock(Protocol):
    """Monotonic time and calls at a later time."""

    def now(self) -> float:
        """Milliseconds since an arbitrary moment."""

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Make the call once, after `delay` ms."""


class ResponseSink(Protocol):
    """Where a front receives the final answer of a request: exactly one of these methods is called, once."""

    def served(self, result: bytes) -> None:
        """The complete result."""

    def rejected(self, retry_after_ms: float) -> None:
        """Not served, and a retry is harmless; it should come after `retry_after_ms` (0: not told)."""

    def failed(self) -> None:
        """Failed, with no promise about what was done."""


class RequestHandler(Protocol):
    """What a front hands its requests to: the dispatcher, or a subsystem that stands before it."""

    def submit(self, work: IncomingRequest, sink: ResponseSink) -> Any:
        """Take a request; its sink gets one answer, unless it is abandoned. Returns a handle for the other methods."""

    def abandon(self, taken: Any) -> None:
        """The client has disconnected: nobody waits for an answer."""

    def cancel(self, taken: Any) -> None:
        """The client has cancelled the request: no answer, and its work is stopped."""


class ZoneRouter(Protocol):
    """Chooses zones for requests, above the policy's choice of an engine."""

    def route(self, request_class: str) -> tuple[str, Collection[str] | None]:
        """For one request: the zone to prefer ("" for any), and all zones that it may use (None for any)."""

    def attempt_ended(self, engine_id: str, request_class: str, outcome: Outcome, duration_ms: float) -> None:
        """How an attempt of that class ended at an engine."""


class EngineClient(Protocol):
    """Runs attempts at engines; it calls `attempt.end` once for each, unless the attempt was abandoned before."""

    def start(self, attempt: Attempt) -> None:
        """Send the attempt to its engine."""

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel the attempt at its engine, and never call it again.

        `freed` is called once, later: when the attempt is no longer out, so that another may be sent elsewhere.
        """
