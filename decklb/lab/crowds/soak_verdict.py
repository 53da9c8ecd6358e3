"""Judges what was observed in one run of a soak. No I/O.

A request is allowed to be lost only if its manager was killed while it was open, if it was sent when the manager had
been told to end for so long that clients do not send to it any more, or if it crossed the close of a connection that a
draining manager ends: then clients send it once more elsewhere, which these clients don't.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from decklb.lab.crowds.reports import AnswerKind, ClientReport
from decklb.lab.crowds.soak_plan import DRAIN_GRACE_S

MEMORY_SHARE = 0.9  # of the memory in the settings, which resident memory may reach
CLOSE_CROSSING_S = 0.05  # within which a request that was sent may meet the close of its connection
ERROR_EVENTS = ("Traceback", "unexpected failure", "policy failed", "deadline backstop", "overlap")


@dataclass(slots=True)
class ManagerRecord:
    """What was observed of one manager.

    Attributes:
        memory_mb: Memory in the settings.
        peaks_mb: Peak resident memory of each of its processes.
        unexpected_exits: Exit statuses of processes that ended without having been told to.
        failed_starts: Number of starts that did not listen.
        killed_at: Times of SIGKILL, in s of the monotonic clock.
        terminated_at: Times of the first SIGTERM of each process, on the same clock.
        log_errors: Lines of the log that tell of a fault of the program.
        usual: Report of its usual clients.
        crowd: Report of its crowds.
    """

    memory_mb: float
    peaks_mb: list[float] = field(default_factory=list)
    unexpected_exits: list[int] = field(default_factory=list)
    failed_starts: int = 0
    killed_at: list[float] = field(default_factory=list)
    terminated_at: list[float] = field(default_factory=list)
    log_errors: list[str] = field(default_factory=list)
    usual: ClientReport = field(default_factory=ClientReport)
    crowd: ClientReport = field(default_factory=ClientReport)


@dataclass(slots=True)
class SoakRecord:
    """What was observed in one run.

    Attributes:
        managers: Its managers.
        late_attempts_ms: Attempts that began too long after their client had left, in ms after it.
        overlaps: Attempts of one request that ran at the same time.
        own_delay_ms: Longest delay of the run's own processes; told, and subtracted from nothing.
    """

    managers: list[ManagerRecord]
    late_attempts_ms: list[float] = field(default_factory=list)
    overlaps: list[str] = field(default_factory=list)
    own_delay_ms: float = 0.0


def findings(record: SoakRecord) -> list[str]:
    """Return what broke a rule."""
    found = [text for manager in record.managers for text in _findings_of_manager(manager)]
    if record.late_attempts_ms:
        worst = max(record.late_attempts_ms)
        found.append(f"{len(record.late_attempts_ms)} attempts began after their client had left, worst {worst:.0f} ms")
    return found + record.overlaps


def _findings_of_manager(manager: ManagerRecord) -> list[str]:
    found = []
    limit_mb = MEMORY_SHARE * manager.memory_mb
    if max(manager.peaks_mb, default=0.0) > limit_mb:
        found.append(f"resident memory {max(manager.peaks_mb):.0f} MB of {limit_mb:.0f}")
    found += [f"exit with status {status}" for status in manager.unexpected_exits]
    if manager.failed_starts:
        found.append(f"{manager.failed_starts} starts failed")
    found += [f"log: {line}" for line in manager.log_errors]
    for name, report in (("usual", manager.usual), ("crowd", manager.crowd)):
        if repeated := report.answers[AnswerKind.REPEATED]:
            found.append(f"{repeated} second answers to {name} clients")
    unexcused = [span for span in manager.usual.lost_spans if not _is_excused(manager, *span)]
    if unexcused:
        found.append(f"{len(unexcused)} requests of usual clients lost")
    return found


def _is_excused(manager: ManagerRecord, sent_at: float, noticed_at: float) -> bool:
    killed_meanwhile = any(sent_at - DRAIN_GRACE_S <= at <= noticed_at for at in manager.killed_at)
    sent_late = any(
        at + DRAIN_GRACE_S <= sent_at and not any(at <= killed <= sent_at for killed in manager.killed_at)
        for at in manager.terminated_at
    )
    draining = any(
        at <= sent_at and not any(at <= killed <= sent_at for killed in manager.killed_at)
        for at in manager.terminated_at
    )
    return killed_meanwhile or sent_late or (draining and noticed_at - sent_at <= CLOSE_CROSSING_S)


def summary(record: SoakRecord) -> str:
    """Return the figures of a run in a few words."""
    served = sum(manager.usual.answers[AnswerKind.SERVED] for manager in record.managers)
    lost = sum(manager.usual.answers[AnswerKind.LOST] for manager in record.managers)
    peak_mb = max((peak for manager in record.managers for peak in manager.peaks_mb), default=0.0)
    slowest_ms = max((max(manager.usual.times_ms, default=0.0) for manager in record.managers), default=0.0)
    return (
        f"peak {peak_mb:.0f} MB, usual clients {served} served, {lost} lost, slowest {slowest_ms:.0f} ms, "
        f"own delay {record.own_delay_ms:.0f} ms"
    )
