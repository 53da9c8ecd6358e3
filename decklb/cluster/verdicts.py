"""Shared health-check verdicts: the newest result held of each subject, and what follows from them at this instance.

A result of a higher term outdoes one of a lower; a result that is not repeated expires. A sudden verdict that most
subjects are down is held back for a while. One table a kind of duty, owned by its scheduler in `duties`; `node` asks it
regularly for the updates that the dispatcher is to be told.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

from decklb.cluster.messages import DutyResult, HealthStatus
from decklb.cluster.settings import DutySettings

# Between repetitions of an update that still holds, so that the decision module does not forget it.
UPDATE_INTERVAL_MS = 1000.0


class HealthUpdate(NamedTuple):
    """What the dispatcher is to be told of a subject."""

    kind: str
    subject: str
    is_up: bool


@dataclass(slots=True)
class Verdict:
    """The newest result on one subject. Times in ms.

    Attributes:
        term: of the owner that found it.
        found_at_ms: the owner's wall clock.
        owner: name of the member.
        status: None where the result has expired.
        last_received: when the result came, local monotonic time.
        status_since: when the status began here, local monotonic time.
    """

    term: int
    found_at_ms: int
    owner: str
    status: HealthStatus | None
    last_received: float
    status_since: float

    @property
    def order(self) -> tuple[int, int, str]:
        """By which results on one subject are ordered; the highest is the newest."""
        return self.term, self.found_at_ms, self.owner


class VerdictTable:
    """The verdicts of one kind of duty, as this instance holds them.

    Attributes:
        by_subject: the newest verdict on each subject.
        outdated_results: count of results dropped as older than the one held.
        mass_failure_since: when most subjects came to be down; None while they are not.
    """

    def __init__(self, settings: DutySettings) -> None:
        self.settings = settings
        self.by_subject: dict[str, Verdict] = {}
        self.outdated_results = 0
        self.mass_failure_since: float | None = None
        self._down: set[str] = set()
        self._down_updated: dict[str, float] = {}  # subjects reported down to the dispatcher, and when last

    def term(self, subject: str) -> int:
        """The highest term heard of; 0 for none."""
        verdict = self.by_subject.get(subject)
        return verdict.term if verdict else 0

    def is_down(self, subject: str) -> bool:
        """Whether the newest result is that it is down."""
        return subject in self._down

    def apply(self, now: float, result: DutyResult) -> bool:
        """Hold a result if it is newer than the current one; true if it is."""
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
        """Forget all other subjects."""
        for subject in [known for known in self.by_subject if known not in subjects]:
            del self.by_subject[subject]
            self._down.discard(subject)

    def take_updates(self, now: float, listed: Collection[str]) -> list[HealthUpdate]:
        """What the dispatcher is to be told now.

        Args:
            now: local monotonic ms.
            listed: subjects that the endpoint list calls up. Only these are reported, so that a result never lets in
                what the list calls draining or gone.
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
        """Listed subjects that are down, without those of a mass failure that is still held back.

        Where most come to be down at once it is, more often than the engines, the way to them that has failed.
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
