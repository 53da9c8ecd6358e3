"""Events for the log, each with its code and fields. The decision logic collects them; `runtime.log_notices` logs them.

docs/operations/duties.md lists the cluster's event codes and what an operator should do on each.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from decklb.cluster.member import Address, Member
from decklb.cluster.messages import DutyDecline, DutyResult, HealthStatus, MemberState


@dataclass(slots=True)
class Notice:
    """One event: its code and its fields."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


def state_name(state: MemberState) -> str:
    """Return the name of a state as shown in logs and by commands."""
    return state.name.lower()


def member_state_changed(member: Member, before: MemberState | None) -> Notice:
    """Another member's state has changed, or the member is new (`before` is None)."""
    return Notice(
        "member-state-changed",
        {
            "member": member.name,
            "state": state_name(member.state),
            "previous_state": "unknown" if before is None else state_name(before),
            "incarnation": member.incarnation,
        },
    )


def member_ready(live_members: int) -> Notice:
    """This instance has settled and may own duties."""
    return Notice("member-ready", {"members": live_members})


def name_conflict(name: str, address: Address, is_yielding: bool) -> Notice:
    """Another live process has this instance's name."""
    host, port = address
    return Notice("name-conflict", {"member": name, "yielding": is_yielding, "other_address": f"{host}:{port}"})


def process_stalled(stall_ms: float) -> Notice:
    """This process did not run for a while."""
    return Notice("process-stalled", {"stall_ms": round(stall_ms)})


def duty_reported(report: DutyResult | DutyDecline) -> Notice:
    """This instance has reported a duty's result, or declined the duty."""
    fields: dict[str, Any] = {"kind": report.kind, "subject": report.subject}
    if isinstance(report, DutyResult):
        fields |= {"term": report.term, "up": report.status != HealthStatus.DOWN}
        return Notice("duty-result", fields)
    fields["hold_ms"] = report.hold_ms
    return Notice("duty-declined", fields)


def mass_failure(kind: str, is_over: bool) -> Notice:
    """Most subjects have been reported down at once, or that is over."""
    return Notice("mass-failure-cleared" if is_over else "mass-failure-suspected", {"kind": kind})
