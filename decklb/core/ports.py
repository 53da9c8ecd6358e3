"""What the core asks of the world: a clock, somewhere to answer, something that runs attempts.

Times are milliseconds on a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from decklb.interface import Outcome

if TYPE_CHECKING:
    from decklb.core.dispatcher import Attempt


@dataclass(slots=True)
class Work:
    """One request as a front took it. `rid`, class, statement and token reach engines unchanged.

    `once` names the request to all managers where its client may come back for its one answer; "" is most.
    """

    rid: str
    lane: str
    tenant: str
    budget: float
    statement: bytes
    tables: int = 0
    key: str | None = None
    token: str = ""
    once: str = ""


class Timer(Protocol):
    """A call that is still to come."""

    def cancel(self) -> None:
        """Forget the call."""


class Clock(Protocol):
    """Monotonic time and calls at a later time."""

    def now(self) -> float:
        """Milliseconds."""

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Make the call once, after that many milliseconds."""


class AnswerSink(Protocol):
    """Where a front takes the one final answer of a request; exactly one of these is called, once."""

    def served(self, result: bytes) -> None:
        """The whole result."""

    def refused(self, backoff: float) -> None:
        """A retry is harmless; it had better come after that many milliseconds."""

    def failed(self) -> None:
        """No promise about what was done."""


class Intake(Protocol):
    """Where a front brings its requests: the dispatcher, or what stands before it."""

    def submit(self, work: Work, sink: AnswerSink) -> Any:
        """Take a request; its sink gets one answer, unless it is abandoned. Returns what names it here."""

    def abandon(self, taken: Any) -> None:
        """Its client has left: nobody waits for an answer."""

    def cancel(self, taken: Any) -> None:
        """Its client wants it no more: no answer, and its work ends."""


class Places(Protocol):
    """Where requests had better run: what stands above the module's own choice of an engine."""

    def place(self, lane: str) -> tuple[str, Collection[str] | None]:
        """For one request of a class: the zone to use first ("" for any), and all that it may use (None for any)."""

    def ended(self, engine: str, lane: str, outcome: Outcome, took: float) -> None:
        """How an attempt there ended, after that many ms."""


class EngineClient(Protocol):
    """Runs attempts; for each it calls `attempt.end` once, unless it is told to give it up first."""

    def start(self, attempt: Attempt) -> None:
        """Send the attempt to its engine."""

    def give_up(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Tell the engine that nobody waits any more, and never call the attempt again.

        `freed` is called once, later: when the attempt is no longer out there, and another may go elsewhere.
        """
