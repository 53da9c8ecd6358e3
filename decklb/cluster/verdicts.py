"""What is held of each subject: the newest result of the highest term, aged out, doubted when all seem dead at once."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from decklb.cluster.messages import DutyResult, HealthStatus
from decklb.cluster.settings import DutySettings

AGAIN = 1000.0  # ms between repeats of what still holds, so that the decision module does not forget it


@dataclass(slots=True)
class Verdict:
    """The last word on one subject. `state` 0 is unknown: what was said is too old."""

    term: int
    at: int
    owner: str
    state: int
    heard: float
    since: float  # when this state began here


class Verdicts:
    """All subjects of one kind of duty, as one instance holds them."""

    def __init__(self, settings: DutySettings) -> None:
        self.s = settings
        self.held: dict[str, Verdict] = {}
        self.dropped = 0  # results of an older term, or from before
        self.surge: float | None = None  # when nearly all came to be down
        self._down: set[str] = set()
        self._told: dict[str, float] = {}  # subjects told to be down, and when

    def term(self, subject: str) -> int:
        """The highest heard of."""
        held = self.held.get(subject)
        return held.term if held else 0

    def take(self, now: float, r: DutyResult) -> bool:
        """True if it is newer than what is held; terms only rise."""
        held = self.held.get(r.subject)
        if held is not None and (r.term, r.found_at_ms, r.owner) <= (held.term, held.at, held.owner):
            self.dropped += (r.term, r.found_at_ms, r.owner) != (held.term, held.at, held.owner)
            return False
        since = held.since if held is not None and held.state == r.status else now
        self.held[r.subject] = Verdict(r.term, r.found_at_ms, r.owner, r.status, now, since)
        (self._down.add if r.status == HealthStatus.DOWN else self._down.discard)(r.subject)
        return True

    def down(self, subject: str) -> bool:
        """Whether the last word is that it is down."""
        return subject in self._down

    def keep(self, subjects: Collection[str]) -> None:
        """Forget all others."""
        for subject in [s for s in self.held if s not in subjects]:
            del self.held[subject]
            self._down.discard(subject)

    def effects(self, now: float, listed: Collection[str]) -> list[tuple[str, bool]]:
        """What to tell the decision module now, as (subject, whether it is up).

        Only of subjects in `listed`, those that the list of engines calls up: a result never lets one in that the list
        calls draining or gone. A verdict that nearly all are down, come about at once, has no effect until `doubt` has
        passed: more often than the engines it is the way to them that has failed.
        """
        for subject in [s for s in self._down if now - self.held[s].heard > self.s.result_ttl_ms]:
            self.held[subject].state = 0
            self._down.discard(subject)
        down = {s for s in self._down if s in listed}
        if not down or len(down) < self.s.mass_failure_ratio * len(listed):
            self.surge = None
        elif self.surge is None:
            self.surge = now
        if self.surge is not None and now < self.surge + self.s.mass_failure_hold_ms:
            down = {s for s in down if self.held[s].since < self.surge - self.s.mass_failure_hold_ms}
        out = [(s, True) for s in self._told if s not in down]
        for s, _ in out:
            del self._told[s]
        out = [(s, up) for s, up in out if s in listed and self._said_up(s)]
        for s in sorted(down):
            if now - self._told.get(s, -1e12) >= AGAIN:
                self._told[s] = now
                out.append((s, False))
        return out

    def _said_up(self, subject: str) -> bool:
        held = self.held.get(subject)
        return held is not None and held.state == HealthStatus.UP
