"""Shared health-check verdicts: the newest result on each subject, and the updates for the dispatcher that follow.

A result with a higher term replaces one with a lower term; a result that is not repeated expires. If most subjects are
reported down at once (a mass failure), these verdicts are held back for a while. The scheduler of each kind of duty has
one table; `node` regularly collects the updates for the dispatcher from it.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

from decklb.cluster.messages import DutyResult, HealthStatus
from decklb.cluster.settings import DutySettings

# Time between repetitions of an update that is still valid, since the policy drops updates that are not repeated.
UPDATE_INTERVAL_MS = 1000.0


class HealthUpdate(NamedTuple):
    """An update for the dispatcher: whether a subject is up."""

    kind: str
    subject: str
    is_up: bool


@dataclass(slots=True)
class Verdict:
    """The newest result on one subject.

    Attributes:
        term: term of the owner that found the result.
        found_at_ms: time of the result by the owner's wall clock (Unix ms).
        owner: name of the owner.
        status: the found status; None after the result has expired.
        last_received: when the result was received, local monotonic ms.
        status_since: when the subject's status last changed at this instance, local monotonic ms.
    """

    term: int
    found_at_ms: int
    owner: str
    status: HealthStatus | None
    last_received: float
    status_since: float

    @property
    def order(self) -> tuple[int, int, str]:
        """Sort key of the results on one subject; the highest is the newest."""
        return self.term, self.found_at_ms, self.owner


class VerdictTable:
    """The verdicts of one kind of duty, as known to this instance.

    Attributes:
        by_subject: the newest verdict on each subject.
        outdated_results: number of results dropped because a newer one was known.
        mass_failure_since: when most subjects were first down at once; None while they are not.
    """

    def __init__(self, settings: DutySettings) -> None:
        self.settings = settings
        self.by_subject: dict[str, Verdict] = {}
        self.outdated_results = 0
        self.mass_failure_since: float | None = None
        self._down: set[str] = set()
        self._down_updated: dict[str, float] = {}  # by subject reported down to the dispatcher: time of the last update

    def term(self, subject: str) -> int:
        """Return the term of the newest result on a subject; 0 if there is none."""
        verdict = self.by_subject.get(subject)
        return verdict.term if verdict else 0

    def is_down(self, subject: str) -> bool:
        """Return whether the newest result on a subject is DOWN and has not expired."""
        return subject in self._down

    def apply(self, now: float, result: DutyResult) -> bool:
        """Store a result if it is newer than the current one; return whether it is."""
        current = self.by_subject.get(result.subject)
        order = (result.term, result.found_at_ms, result.owner)
        if current is not None and order <= current.order:
            self.outdated_results += order != current.order
            return False
        since = current.status_since if current is not None and current.status == result.status else now
        self.by_subject[result.subject] = Verdict(*order, result.status, now, since)
        (self._down.add if result.status == HealthStatus.DOWN else self._down.discard)(result.subject)
        return True

    def retain(self, subjects: Collection[str]) -> None:
        """Remove the verdicts on all other subjects."""
        for subject in [known for known in self.by_subject if known not in subjects]:
            del self.by_subject[subject]
            self._down.discard(subject)

    def take_updates(self, now: float, listed: Collection[str]) -> list[HealthUpdate]:
        """Return the updates that are due for the dispatcher.

        Args:
            now: local monotonic ms.
            listed: subjects that are up in the endpoint list. Only these are reported, so that a result never makes an
                engine usable that is draining or removed by the list.
        """
        self._expire(now)
        down = self._credible_down(now, listed)
        recovered = [subject for subject in self._down_updated if subject not in down]
        for subject in recovered:
            del self._down_updated[subject]
        kind = self.settings.kind
        updates = [
            HealthUpdate(kind, subject, True) for subject in recovered if subject in listed and self._is_up(subject)
        ]
        for subject in sorted(down):
            if now - self._down_updated.get(subject, -math.inf) >= UPDATE_INTERVAL_MS:
                self._down_updated[subject] = now
                updates.append(HealthUpdate(kind, subject, False))
        return updates

    def _expire(self, now: float) -> None:
        ttl_ms = self.settings.result_ttl_ms
        for subject in [down for down in self._down if now - self.by_subject[down].last_received > ttl_ms]:
            self.by_subject[subject].status = None
            self._down.discard(subject)

    def _credible_down(self, now: float, listed: Collection[str]) -> set[str]:
        """Return the listed subjects that are down, without those held back because of a mass failure.

        If most subjects go down at once, a failure of the network path to them is more likely than that of the engines.
        """
        down = {subject for subject in self._down if subject in listed}
        if not down or len(down) < self.settings.mass_failure_ratio * len(listed):
            self.mass_failure_since = None
        elif self.mass_failure_since is None:
            self.mass_failure_since = now
        since, hold_ms = self.mass_failure_since, self.settings.mass_failure_hold_ms
        if since is not None and now < since + hold_ms:
            return {subject for subject in down if self.by_subject[subject].status_since < since - hold_ms}
        return down

    def _is_up(self, subject: str) -> bool:
        verdict = self.by_subject.get(subject)
        return verdict is not None and verdict.status == HealthStatus.UP
