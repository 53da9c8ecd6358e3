"""The records a member holds, its own and copies of others', bounded in number, bytes and time (free of I/O)."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from msgspec.structs import replace

from decklb.handoff.errors import KeyReusedError, RecordLimitError
from decklb.handoff.fencing import Claim, Promises
from decklb.handoff.records import Outcome, Record, Stage
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.takeover_policy import lapsed


@dataclass(frozen=True, slots=True)
class Lookup:
    """What a client that comes back with a key is told: not known, still running at `owner`, or its final answer."""

    owner: str = ""
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""

    @property
    def known(self) -> bool:
        """Whether anything at all is known of the key."""
        return bool(self.owner) or self.outcome is not None


UNKNOWN = Lookup()


class Table:
    """Records by key, with the request itself as long as it has no final answer; each is dropped once it has lingered
    past its deadline."""

    def __init__(self, settings: HandoffSettings) -> None:
        self.settings = settings
        self.touched: dict[str, None] = {}  # keys of which something changed, for whoever keeps them on disk
        self.promises = Promises(self.touched)
        self.held = 0  # bytes of requests and answers
        self._records: dict[str, Record] = {}
        self._bodies: dict[str, bytes] = {}
        self._ends: list[tuple[float, str]] = []  # (deadline, key); stale entries are skipped when they come up

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: str) -> bool:
        return key in self._records

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def get(self, key: str) -> Record | None:
        """The record of a key, if there is one."""
        return self._records.get(key)

    def body(self, key: str) -> bytes | None:
        """The request itself, as its front wrote it; None once it has its final answer."""
        return self._bodies.get(key)

    def take(self, record: Record, body: bytes = b"") -> Record:
        """A request taken here. The same request again gets the record it has.

        Raises KeyReusedError and RecordLimitError."""
        held = self._records.get(record.key)
        if held is not None:
            if held.request_digest != record.request_digest:
                raise KeyReusedError(record.key)
            return held
        if self._full(len(body)):
            raise RecordLimitError(self.settings.max_records)
        self._store(record, body)
        return record

    def write(self, record: Record, body: bytes | None = None) -> None:
        """A new version of a record held here, by its holder."""
        self._store(record, body)

    def receive(self, record: Record, left: float, now: float, body: bytes | None = None) -> bool:
        """A copy from its holder, with `left` ms of its budget: True to acknowledge it. Copies of a term that a claim
        has passed, older versions, requests of another digest and copies beyond the room are not acknowledged."""
        if not self.promises.admits(record):
            return False
        held = self._records.get(record.key)
        if held is not None and (held.request_digest != record.request_digest or not record.supersedes(held)):
            return (
                held.request_digest == record.request_digest and held.precedence() == record.precedence()
            )  # the same copy twice
        if self._full(len(body or b"") + len(record.answer), held is None):
            return False
        self._store(replace(record, deadline_ms=now + left), body)
        return True

    def claim(self, key: str, me: str, floor: int = 0) -> Claim | None:
        """A claim of a record held here, above any term granted here; None where none is held."""
        held = self._records.get(key)
        if held is None:
            return None
        return Claim.start(held, me, self.settings, max(floor, self.promises.term(key)))

    def grant(self, key: str, ballot: tuple[int, str], now: float) -> bool:
        """A claim by another member; what was granted is remembered for as long as a record of the key may live."""
        if not self.promises.grant(key, ballot):
            return False
        if key not in self._records:
            heapq.heappush(self._ends, (now + self.settings.record_lifetime_ms, key))
        return True

    def lookup(self, key: str, digest: str) -> Lookup:
        """For a client that comes back. Raises KeyReusedError where the key was given to another request."""
        held = self._records.get(key)
        if held is None:
            return UNKNOWN
        if held.request_digest != digest:
            raise KeyReusedError(key)
        if held.stage >= Stage.ANSWERED:
            return Lookup(outcome=held.outcome, answer=held.answer, reason=held.reason)
        return Lookup(owner=held.holder)

    def drop(self, key: str) -> None:
        """Its holder has let go of it: the key is free, for terms above if its holder had gone on from the first
        version. That is remembered until it would have lapsed, since another voter may have missed it: its stale copy
        must not outdo what is taken next."""
        held = self._records.pop(key, None)
        if held is not None:
            self.touched[key] = None
            self.held -= len(held.answer)
            self._forget_body(key)
            if held.admitted:
                self.promises.above(key, held.term)

    def restore(
        self, key: str, record: Record | None, body: bytes | None, granted: tuple[int, str] | None, now: float
    ) -> None:
        """What an earlier run held of a key."""
        if granted is not None:
            self.grant(key, granted, now)
        if record is not None:
            self._store(record, body)

    def expire(self, now: float) -> list[str]:
        """Drops what has lingered out, and says which keys."""
        dropped = []
        while self._ends and self._ends[0][0] < now:
            _, key = heapq.heappop(self._ends)
            held = self._records.get(key)
            if held is None:
                self.promises.drop(key)
            elif lapsed(held, now, self.settings):
                self.drop(key)
                self.promises.drop(key)
                dropped.append(key)
        return dropped

    def _full(self, more: int, another: bool = True) -> bool:
        return self.held + more > self.settings.max_bytes or another and len(self._records) >= self.settings.max_records

    def _store(self, record: Record, body: bytes | None) -> None:
        key, held = record.key, self._records.get(record.key)
        self.touched[key] = None
        self._records[key] = record
        self.held += len(record.answer) - (len(held.answer) if held is not None else 0)
        if record.stage >= Stage.ANSWERED:
            self._forget_body(key)
        elif body is not None:
            self._forget_body(key)
            self._bodies[key] = body
            self.held += len(body)
        if held is None or held.deadline_ms != record.deadline_ms:
            heapq.heappush(
                self._ends,
                (record.deadline_ms + self.settings.deadline_grace_ms + self.settings.answer_retention_ms, key),
            )

    def _forget_body(self, key: str) -> None:
        self.held -= len(self._bodies.pop(key, b""))
