"""Ports of the core: the interfaces between the dispatcher, the fronts and the runtime.

The core is independent of any wire protocol. The fronts (`net`, `pg`, `middleware`) read requests, the engine clients
of the same packages run attempts, and the reactor supplies the clock. Times are milliseconds on a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any, Protocol

from decklb.core.memory_account import RequestCharge
from decklb.interface import Outcome


@dataclass(slots=True)
class IncomingRequest:
    """One request as a front read it.

    The client's request id, the class, the statement and the deduplication token are passed to engines unchanged.
    """

    client_request_id: str
    request_class: str
    tenant: str
    budget_ms: float  # how long the client waits for the answer, counted from when it sent the request
    statement: bytes
    table_group: int = 0
    ordering_key: str | None = None  # requests with the same key run one after another if their class requires it
    deduplication_token: str = ""
    idempotency_key: str = ""  # with this key the client can ask any manager again for the same answer; "": none
    # The charge of the memory that the request holds; no part of what was read.
    charge: RequestCharge | None = field(default=None, compare=False, repr=False)

    def release(self) -> None:
        """The request is over and none of its attempts is open: drop what only an attempt needs."""
        self.statement = b""
        if self.charge is not None:
            self.charge.release()


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Clock(Protocol):
    """A monotonic clock that can schedule calls."""

    def now(self) -> float:
        """Return the current time in ms since an arbitrary moment."""

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule one call of `callback` after `delay_ms`."""


class ResponseSink(Protocol):
    """Receives the final answer of a request for its front: exactly one of these methods is called, once."""

    def served(self, result: bytes) -> None:
        """The request succeeded; `result` is complete."""

    def rejected(self, retry_after_ms: float) -> None:
        """The request was not executed and is safe to retry, after `retry_after_ms` (0: unspecified)."""

    def failed(self) -> None:
        """The request failed; it may or may not have been executed."""


class RequestHandler(Protocol):
    """Accepts requests from a front: the dispatcher, or a subsystem in front of it."""

    def submit(
        self, request: IncomingRequest, sink: ResponseSink, client_has_left: Callable[[], bool] = lambda: False
    ) -> Any:
        """Accept a request and return a handle for the other methods.

        The sink gets exactly one answer, unless the request is abandoned or cancelled. No attempt starts once
        `client_has_left` returns true, except of a request that outlives its client.
        """

    def abandon(self, handle: Any) -> None:
        """The client has disconnected, so nobody waits for an answer."""

    def cancel(self, handle: Any) -> None:
        """The client has cancelled the request: send no answer and stop its execution."""


class ZoneRouter(Protocol):
    """Selects the zones for a request before the policy selects an engine."""

    def route(self, request_class: str) -> tuple[str, Collection[str] | None]:
        """Return the preferred zone ("" for any) and all allowed zones (None for any) for one request."""

    def attempt_ended(self, engine_id: str, request_class: str, outcome: Outcome, duration_ms: float) -> None:
        """Record the outcome and duration of an attempt of that class at an engine."""
