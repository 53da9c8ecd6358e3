"""The records that a member stores, its own and replicas of others', limited in number, bytes and lifetime.

The table owns the records, the bodies of requests without a final answer, and the ballots granted for their keys.
Every mechanism of the package reads it. `runtime.py` writes changes to the store before any message is sent.
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
    """The table's entry for a key: unknown, a request still running at `holder`, or its final answer."""

    holder: str = ""
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""

    @property
    def known(self) -> bool:
        """Whether the table has a record of the key."""
        return bool(self.holder) or self.outcome is not None


UNKNOWN_KEY = TableEntry()


class RecordTable:
    """Records by key; each is dropped once nobody can need it any more."""

    def __init__(self, settings: HandoffSettings) -> None:
        self._settings = settings
        self.changed_keys: dict[str, None] = {}  # keys changed since the last write to the store, in order
        self.ballots = GrantedBallots(self.changed_keys)
        self.bytes_retained = 0  # size of all bodies and answers
        self._records: dict[str, Record] = {}
        self._bodies: dict[str, bytes] = {}
        self._expiries: list[tuple[float, str]] = []  # heap of expiry time and key; outdated entries are skipped

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: str) -> bool:
        return key in self._records

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def get(self, key: str) -> Record | None:
        """Return the record of a key, if there is one."""
        return self._records.get(key)

    def body(self, key: str) -> bytes | None:
        """Return the request itself, as encoded by its front; None once it has a final answer."""
        return self._bodies.get(key)

    def lookup(self, key: str, request_digest: str) -> TableEntry:
        """Return what is known of a key, for a client that retries a request.

        Raises:
            KeyReusedError: The key belongs to a different request.
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
        """Add the record of a request that this member admits, or return the existing record of the same request.

        Raises:
            KeyReusedError: The key belongs to a different request.
            RecordLimitError: There is no capacity for the record.
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
        """Store a new version of a record that this member holds."""
        self._put(record, body)

    def receive_replica(self, record: Record, remaining_ms: float, now: float, body: bytes | None = None) -> bool:
        """Store a version received from its holder, with `remaining_ms` until its deadline.

        Returns:
            Whether to acknowledge the version. False if its term is below a granted claim, if it is older than the
            stored version, if the key belongs to a different request, or if there is no capacity.
        """
        if not self.ballots.admits(record):
            return False
        existing = self._records.get(record.key)
        if existing is not None:
            same_request = existing.request_digest == record.request_digest
            if not same_request or not record.supersedes(existing):
                return same_request and existing.precedence() == record.precedence()  # a repeat of the stored version
        if self._is_full(len(body or b"") + len(record.answer), new_record=existing is None):
            return False
        self._put(replace(record, deadline_ms=now + remaining_ms), body)
        return True

    def start_claim(self, key: str, claimer: str, min_term: int = 0) -> Claim | None:
        """Start a claim above all terms granted here; None if the table has no record of the key."""
        existing = self._records.get(key)
        if existing is None:
            return None
        return Claim.start(existing, claimer, self._settings, max(min_term, self.ballots.highest_term(key)))

    def grant(self, key: str, ballot: Ballot, now: float) -> bool:
        """Grant another member's claim if its ballot is the highest so far; return whether it was granted.

        The grant is remembered for as long as a record of the key may exist.
        """
        if not self.ballots.grant(key, ballot):
            return False
        if key not in self._records:
            heapq.heappush(self._expiries, (now + self._settings.record_lifetime_ms, key))
        return True

    def remove(self, key: str) -> None:
        """Drop a record that its holder released, which frees the key.

        The term of an admitted record is remembered until the record would have expired: another voter may have missed
        the release, and its stale replica must not supersede the record that is admitted next.
        """
        existing = self._records.pop(key, None)
        if existing is not None:
            self.changed_keys[key] = None
            self.bytes_retained -= len(existing.answer)
            self._drop_body(key)
            if existing.admitted:
                self.ballots.require_above(key, existing.term)

    def restore(self, key: str, record: Record | None, body: bytes | None, granted: Ballot | None, now: float) -> None:
        """Restore the stored entry of a key that an earlier process of this member wrote."""
        if granted is not None:
            self.grant(key, granted, now)
        if record is not None:
            self._put(record, body)

    def expire(self, now: float) -> list[str]:
        """Drop expired records and grants; return the keys of the dropped records."""
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

    def _is_full(self, added_bytes: int, new_record: bool = True) -> bool:
        if self.bytes_retained + added_bytes > self._settings.max_bytes:
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
