"""State shared by the handoff's mechanisms in one member: records, held requests, fleet view and outputs.

`HandoffCoordinator` creates one `MemberState` and passes it to each mechanism. Outputs are queued in `outbox` and
`events`; the runtime (or the simulated network of the laboratory) sends and logs them.
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

REJECT_COUNTERS = {  # last parts of the counter names that `decklb handoff` shows
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
    """A line for the operators' log: its event code, the key, and further fields."""

    code: str
    key: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestRunner:
    """Callbacks that run and stop requests at the front.

    Attributes:
        run: Run a request that was taken over or resumed; the body is the request as encoded by the front.
        stop: Cancel the request of a key, which this member may not act on now.
    """

    run: Callable[[Record, bytes], None]
    stop: Callable[[str], None]


class MemberState:
    """State of one member that several mechanisms use."""

    def __init__(
        self, settings: HandoffSettings, member: str, incarnation: int, rng: random.Random, runner: RequestRunner
    ) -> None:
        """`member` and `incarnation` identify this process; `rng` randomizes the delay of repeated claims."""
        self.settings, self.member, self.incarnation, self.rng, self.runner = settings, member, incarnation, rng, runner
        self.table = RecordTable(settings)
        self.leases = LeaseTracker(settings, member)
        self.fleet = FleetView(settings, member, incarnation, self.leases)
        self.held: dict[str, HeldRequest] = {}  # by key
        # Keys held here for which a caller waits or that have no final answer yet; checked at each tick.
        self.supervised_keys: dict[str, None] = {}
        self.outbox: list[tuple[str, Message]] = []  # receiver and message, in order
        self.events: list[HandoffEvent] = []
        self.counters: Counter[str] = Counter()
        self.closed = False

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for a member."""
        self.outbox.append((peer, message))

    def log(self, code: str, key: str, **fields: Any) -> None:
        """Queue a line for the log."""
        self.events.append(HandoffEvent(code, key, fields))

    def reject(self, on_result: ResultCallback, reason: str) -> None:
        """Count a rejected admission and report it to its caller."""
        self.counters[f"refused-{reason}"] += 1
        on_result(AdmissionResult(AdmissionState.REJECTED, reason=reason))

    def is_held(self, held: HeldRequest) -> bool:
        """Whether `held` is still the request held under its key: not released, and not replaced by a later one."""
        return self.held.get(held.key) is held

    def may_act(self, now: float, held: HeldRequest, margin_ms: float = 0.0) -> bool:
        """Whether the lease on a held request is valid now and for the next `margin_ms`."""
        return self.leases.permits(held.record, now, self.table.ballots, held.ineligible_voters, margin_ms)
