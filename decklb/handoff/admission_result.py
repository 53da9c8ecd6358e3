"""What becomes of a request that a front brings under an idempotency key."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from decklb.handoff.records import Outcome


class AdmissionState(Enum):
    """The result of an admission. The values are read in the log at DEBUG."""

    ADMITTED = "admitted"  # a quorum has its record: the front may run it
    RUNNING = "running"  # it runs already, here or elsewhere, or is being taken over
    ANSWERED = "answered"  # its final answer is known
    REJECTED = "rejected"  # nobody can vouch for it now; the client may come back with its key at any time
    KEY_REUSED = "key-reused"  # its key was given to another request


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """The result of an admission, and the final answer where `state` is ANSWERED."""

    state: AdmissionState
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""  # a short code for the log


ResultCallback = Callable[[AdmissionResult], None]
