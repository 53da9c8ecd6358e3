"""Status of one kind of duty for operators: the rows of `decklb duties` and counters, with the JSON output's keys."""

from __future__ import annotations

from typing import Any

from decklb.cluster.duties import DutyScheduler
from decklb.cluster.messages import HealthStatus


def duty_rows(scheduler: DutyScheduler, now: float) -> list[dict[str, Any]]:
    """Return all duties of a kind: the owner as seen from here, the term, the last result and its age in ms.

    Members report results only on failure and recovery, so `up` is None for most duties of other members.
    """
    declined = scheduler.declines.active(now)
    return [
        _row(scheduler, now, subject, declined.get(subject, set())) for subject in sorted(scheduler.ranking.duties())
    ]


def _row(scheduler: DutyScheduler, now: float, subject: str, declined: set[str]) -> dict[str, Any]:
    duty, verdict = scheduler.duties.get(subject), scheduler.verdicts.by_subject.get(subject)
    owned = duty if duty is not None and duty.is_owned else None
    is_up: bool | None = None
    age_ms: float | None = None
    if owned is not None and owned.last_ok is not None:
        is_up, age_ms = owned.last_ok, now - owned.last_ended
    elif verdict is not None and verdict.status is not None:
        is_up, age_ms = verdict.status != HealthStatus.DOWN, now - verdict.last_received
    if owned is not None:
        term: int | None = owned.term
    else:
        term = verdict.term if verdict is not None else None
    return {
        "kind": scheduler.settings.kind,
        "subject": subject,
        "owner": scheduler.ranking.owner(subject, scheduler.eligible, declined),
        "term": term,
        "up": is_up,
        "age_ms": None if age_ms is None else round(age_ms),
        "own": owned is not None,
        "down": scheduler.verdicts.is_down(subject),
        "passed": sorted(declined),
    }


def duty_health(scheduler: DutyScheduler) -> dict[str, Any]:
    """Return the counters of a kind of duty."""
    counters = scheduler.counters
    return {
        "owned": sum(duty.is_owned for duty in scheduler.duties.values()),
        "running": scheduler.running,
        "started": counters.started,
        "failed": counters.failed,
        "overruns": counters.overruns,
        "gained": counters.gained,
        "lost": counters.lost,
        "handed_on": counters.declined,
        "older_results": scheduler.verdicts.outdated_results,
        "doubted": scheduler.verdicts.mass_failure_since is not None,
    }
