"""The records that a member keeps, its own and replicas of others', bounded in number, bytes and time.

The table owns the records, the requests themselves until they have a final answer, and the ballots granted for their
keys. Every mechanism of the package reads it; `runtime.py` writes what changed to the store before a message leaves.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from msgspec.structs import replace

from decklb.handoff.ballots import Ballot, GrantedBallots
from decklb.handoff.claims import Claim
from decklb.handoff.errors import KeyReusedError, RecordLimitError
from decklb.handoff.records import Outcome, Record, Stage
from decklb.handoff.settings import HandoffSettings


@dataclass(frozen=True, slots=True)
class TableEntry:
    """What the table has of a key: nothing, a request still running at `holder`, or its final answer."""

    holder: str = ""
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""

    @property
    def known(self) -> bool:
        """Whether a record of the key is kept."""
        return bool(self.holder) or self.outcome is not None


UNKNOWN_KEY = TableEntry()


class RecordTable:
    """Records by key, each dropped once nobody can need it any more."""

    def __init__(self, settings: HandoffSettings) -> None:
        self._settings = settings
        self.changed_keys: dict[str, None] = {}  # in order, since the store was written last
        self.ballots = GrantedBallots(self.changed_keys)
        self.bytes_retained = 0  # of requests and answers
        self._records: dict[str, Record] = {}
        self._bodies: dict[str, bytes] = {}
        self._expiries: list[tuple[float, str]] = []  # heap of time and key; outdated entries are skipped

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: str) -> bool:
        return key in self._records

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def get(self, key: str) -> Record | None:
        """The record of a key, if one is kept."""
        return self._records.get(key)

    def body(self, key: str) -> bytes | None:
        """The request itself, as its front encoded it; None once it has its final answer."""
        return self._bodies.get(key)

    def lookup(self, key: str, request_digest: str) -> TableEntry:
        """What is known of a key, for a client that comes back.

        Raises:
            KeyReusedError: The key was given to another request.
        """
        existing = self._records.get(key)
        if existing is None:
            return UNKNOWN_KEY
        if existing.request_digest != request_digest:
            raise KeyReusedError(key)
        if existing.stage >= Stage.ANSWERED:
            return TableEntry(outcome=existing.outcome, answer=existing.answer, reason=existing.reason)
        return TableEntry(holder=existing.holder)

    def add(self, record: Record, body: bytes = b"") -> Record:
        """Keep a request that this member admits; the same request again gets the record it has.

        Raises:
            KeyReusedError: The key was given to another request.
            RecordLimitError: There is no capacity for it.
        """
        existing = self._records.get(record.key)
        if existing is not None:
            if existing.request_digest != record.request_digest:
                raise KeyReusedError(record.key)
            return existing
        if self._is_full(len(body)):
            raise RecordLimitError(self._settings.max_records)
        self._put(record, body)
        return record

    def write(self, record: Record, body: bytes | None = None) -> None:
        """Keep a new version of a record that this member holds."""
        self._put(record, body)

    def receive_replica(self, record: Record, remaining_ms: float, now: float, body: bytes | None = None) -> bool:
        """Keep a version that its holder sent, with `remaining_ms` until its deadline.

        Returns:
            Whether to acknowledge it: not a version of a term below a granted claim, an older version, another request
            under the key, or one beyond the capacity.
        """
        if not self.ballots.admits(record):
            return False
        existing = self._records.get(record.key)
        if existing is not None:
            same_request = existing.request_digest == record.request_digest
            if not same_request or not record.supersedes(existing):
                return same_request and existing.precedence() == record.precedence()  # the same version twice
        if self._is_full(len(body or b"") + len(record.answer), new_record=existing is None):
            return False
        self._put(replace(record, deadline_ms=now + remaining_ms), body)
        return True

    def start_claim(self, key: str, claimer: str, min_term: int = 0) -> Claim | None:
        """A claim of a record kept here, above any term granted here; None where none is kept."""
        existing = self._records.get(key)
        if existing is None:
            return None
        return Claim.start(existing, claimer, self._settings, max(min_term, self.ballots.highest_term(key)))

    def grant(self, key: str, ballot: Ballot, now: float) -> bool:
        """Grant another member's claim if its ballot is the highest; whether it was.

        A grant is remembered for as long as a record of the key may live.
        """
        if not self.ballots.grant(key, ballot):
            return False
        if key not in self._records:
            heapq.heappush(self._expiries, (now + self._settings.record_lifetime_ms, key))
        return True

    def remove(self, key: str) -> None:
        """Drop a record that its holder released: the key is free.

        If the record was admitted, its term is remembered until the record would have expired: another voter may have
        missed the release, and its stale replica must not supersede what is admitted next.
        """
        existing = self._records.pop(key, None)
        if existing is not None:
            self.changed_keys[key] = None
            self.bytes_retained -= len(existing.answer)
            self._drop_body(key)
            if existing.admitted:
                self.ballots.require_above(key, existing.term)

    def restore(self, key: str, record: Record | None, body: bytes | None, granted: Ballot | None, now: float) -> None:
        """Take back what an earlier process of this member stored of a key."""
        if granted is not None:
            self.grant(key, granted, now)
        if record is not None:
            self._put(record, body)

    def expire(self, now: float) -> list[str]:
        """Drop the records and grants that nobody can need any more; the keys of the records."""
        dropped = []
        while self._expiries and self._expiries[0][0] < now:
            _, key = heapq.heappop(self._expiries)
            existing = self._records.get(key)
            if existing is None:
                self.ballots.forget(key)
            elif now > self._expiry_of(existing):
                self.remove(key)
                self.ballots.forget(key)
                dropped.append(key)
        return dropped

    def _expiry_of(self, record: Record) -> float:
        return record.deadline_ms + self._settings.deadline_grace_ms + self._settings.answer_retention_ms

    def _is_full(self, more_bytes: int, new_record: bool = True) -> bool:
        if self.bytes_retained + more_bytes > self._settings.max_bytes:
            return True
        return new_record and len(self._records) >= self._settings.max_records

    def _put(self, record: Record, body: bytes | None) -> None:
        key, existing = record.key, self._records.get(record.key)
        self.changed_keys[key] = None
        self._records[key] = record
        self.bytes_retained += len(record.answer) - (len(existing.answer) if existing is not None else 0)
        if record.stage >= Stage.ANSWERED:
            self._drop_body(key)
        elif body is not None:
            self._drop_body(key)
            self._bodies[key] = body
            self.bytes_retained += len(body)
        if existing is None or existing.deadline_ms != record.deadline_ms:
            heapq.heappush(self._expiries, (self._expiry_of(record), key))

    def _drop_body(self, key: str) -> None:
        self.bytes_retained -= len(self._bodies.pop(key, b""))
