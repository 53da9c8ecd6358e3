"""The records a member holds, its own and copies of others', bounded in number and in time (free of I/O)."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace

from decklb.handoff.errors import KeyReused, TableFull
from decklb.handoff.fencing import Claim, Promises
from decklb.handoff.records import Outcome, Record, Stage
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.takeover import lapsed


@dataclass(frozen=True, slots=True)
class Lookup:
    """What a client that comes back with a key is told: not known, still running at `owner`, or its final answer."""

    owner: str = ""
    outcome: Outcome | None = None
    answer: bytes = b""

    @property
    def known(self) -> bool:
        return bool(self.owner) or self.outcome is not None


UNKNOWN = Lookup()


class Table:
    """Records by key; each is dropped once it has lingered past its deadline."""

    def __init__(self, settings: HandoffSettings) -> None:
        self.settings = settings
        self.promises = Promises()
        self._records: dict[str, Record] = {}
        self._ends: list[tuple[float, str]] = []  # (deadline, key); stale entries are skipped when they come up

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: str) -> bool:
        return key in self._records

    def get(self, key: str) -> Record | None:
        return self._records.get(key)

    def take(self, record: Record) -> Record:
        """A request taken here. The same request again under its key gets the record it has; another, KeyReused."""
        held = self._records.get(record.key)
        if held is not None:
            if held.digest != record.digest:
                raise KeyReused(record.key)
            return held
        if len(self._records) >= self.settings.capacity:
            raise TableFull(self.settings.capacity)
        self._store(record)
        return record

    def write(self, record: Record) -> None:
        """A new version of a record held here, by its holder."""
        self._store(record)

    def receive(self, record: Record, left: float, now: float) -> bool:
        """A copy from its holder, with `left` ms of its budget: True to acknowledge it. Copies of a term that a claim
        has passed, older versions, requests of another digest and copies beyond the room are not acknowledged."""
        if not self.promises.admits(record):
            return False
        held = self._records.get(record.key)
        if held is not None and (held.digest != record.digest or not record.newer(held)):
            return held.digest == record.digest and held.order() == record.order()  # the same copy twice
        if held is None and len(self._records) >= self.settings.capacity:
            return False
        self._store(replace(record, deadline=now + left))
        return True

    def claim(self, key: str, me: str, floor: int = 0) -> Claim | None:
        """A claim of a record held here, above any term granted here, its own grant written down; None where none
        is held."""
        held = self._records.get(key)
        if held is None:
            return None
        claim = Claim.start(held, me, self.settings, max(floor, self.promises.term(key)))
        self.promises.grant(key, claim.ballot)
        return claim

    def lookup(self, key: str, digest: str) -> Lookup:
        """For a client that comes back. Raises KeyReused where the key was given to another request."""
        held = self._records.get(key)
        if held is None:
            return UNKNOWN
        if held.digest != digest:
            raise KeyReused(key)
        if held.stage >= Stage.ANSWERED:
            return Lookup(outcome=held.outcome, answer=held.answer)
        return Lookup(owner=held.owner)

    def expire(self, now: float) -> int:
        """Drops what has lingered out; how many."""
        dropped = 0
        while self._ends and self._ends[0][0] < now:
            _, key = heapq.heappop(self._ends)
            held = self._records.get(key)
            if held is not None and lapsed(held, now, self.settings):
                del self._records[key]
                self.promises.drop(key)
                dropped += 1
        return dropped

    def _store(self, record: Record) -> None:
        held = self._records.get(record.key)
        self._records[record.key] = record
        if held is None or held.deadline != record.deadline:
            heapq.heappush(self._ends, (record.deadline + self.settings.slack + self.settings.linger, record.key))
