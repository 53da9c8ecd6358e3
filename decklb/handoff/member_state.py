"""What the handoff's mechanisms share in one member: its records, held requests, view of the fleet, and outputs.

`HandoffCoordinator` makes one and gives it to each mechanism. Outputs gather in `outbox` and `events`, which the
runtime (or the simulated network of the tests) takes and carries out.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from decklb.handoff.admission_result import AdmissionResult, AdmissionState, ResultCallback
from decklb.handoff.fleet_view import FleetView
from decklb.handoff.held_request import HeldRequest
from decklb.handoff.lease_tracker import LeaseTracker
from decklb.handoff.messages import Message, RejectReason
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings

REJECT_COUNTERS = {  # the last part of a counter's name, as `decklb handoff` shows it
    RejectReason.KEY_HELD: "taken",
    RejectReason.KEY_REUSED: "key-reused",
    RejectReason.FENCED: "fenced",
    RejectReason.MEMORY_TOO_SHORT: "no-memory",
    RejectReason.BODY_MISSING: "not-whole",
    RejectReason.OUT_OF_CAPACITY: "no-room",
    RejectReason.HOLDER_ALIVE: "holder-alive",
    RejectReason.TERM_TOO_LOW: "below-term",
}


@dataclass(frozen=True, slots=True)
class HandoffEvent:
    """Something that operators read in the log: its code, the key, and further fields of the line."""

    code: str
    key: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestRunner:
    """Callbacks by which the handoff runs and stops requests at the front.

    Attributes:
        run: Run a request that was taken over, or taken up again; its body is the request as the front encoded it.
        stop: Cancel what runs under a key: this member may not act on it now.
    """

    run: Callable[[Record, bytes], None]
    stop: Callable[[str], None]


class MemberState:
    """State of one member that more than one mechanism uses."""

    def __init__(
        self, settings: HandoffSettings, member: str, incarnation: int, rng: random.Random, runner: RequestRunner
    ) -> None:
        """`member` and `incarnation` name this process, as membership does; `rng` spreads claims that are repeated."""
        self.settings, self.member, self.incarnation, self.rng, self.runner = settings, member, incarnation, rng, runner
        self.table = RecordTable(settings)
        self.leases = LeaseTracker(settings, member)
        self.fleet = FleetView(settings, member, incarnation, self.leases)
        self.held: dict[str, HeldRequest] = {}  # by key
        self.supervised_keys: dict[str, None] = {}  # held here, and waiting for something or for a final answer
        self.outbox: list[tuple[str, Message]] = []  # receiver and message, in order
        self.events: list[HandoffEvent] = []
        self.counters: Counter[str] = Counter()
        self.closed = False

    def send(self, peer: str, message: Message) -> None:
        """Queue a message to a member."""
        self.outbox.append((peer, message))

    def log(self, code: str, key: str, **fields: Any) -> None:
        """Queue a line of the log."""
        self.events.append(HandoffEvent(code, key, fields))

    def reject(self, on_result: ResultCallback, reason: str) -> None:
        """Count and tell a rejected admission."""
        self.counters[f"refused-{reason}"] += 1
        on_result(AdmissionResult(AdmissionState.REJECTED, reason=reason))

    def is_held(self, held: HeldRequest) -> bool:
        """Whether this very request is still held, and not a later one under its key."""
        return self.held.get(held.key) is held

    def may_act(self, now: float, held: HeldRequest, margin_ms: float = 0.0) -> bool:
        """Whether the lease on a held request is current, and stays so for `margin_ms`."""
        return self.leases.permits(held.record, now, self.table.ballots, held.ineligible_voters, margin_ms)
