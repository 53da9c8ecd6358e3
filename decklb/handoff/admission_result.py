"""Results of submitting a request with an idempotency key."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from decklb.handoff.records import Outcome


class AdmissionState(Enum):
    """State of a submitted request. The values appear in the log at DEBUG level."""

    ADMITTED = "admitted"  # a quorum has its record, so the front may run it
    RUNNING = "running"  # already running here or elsewhere, or being taken over
    ANSWERED = "answered"  # the final answer is known
    REJECTED = "rejected"  # not admitted; the client may retry with the same key at any time
    KEY_REUSED = "key-reused"  # the key already belongs to a different request


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """The result of an admission, with the final answer if `state` is ANSWERED."""

    state: AdmissionState
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""  # a short code for the log


ResultCallback = Callable[[AdmissionResult], None]
