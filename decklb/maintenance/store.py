"""The acceptor's state on disk (LMDB), so that it outlives the process.

Written before any message that rests on it leaves, without a sync: it outlives the process, not the machine. After the
machine's own restart, known by the kernel's boot id, it counts as forgotten, and the member recovers from the others.
One record under one key; used by `runtime.py` where the settings name a folder.
"""

from __future__ import annotations

from pathlib import Path

import lmdb
import msgspec

from decklb.cluster.errors import WireError
from decklb.handoff.store import boot_id
from decklb.maintenance.errors import PlanStoreError
from decklb.maintenance.messages import decode_plan
from decklb.maintenance.paxos_messages import NO_BALLOT, AcceptedValue, AcceptorState, Ballot

VERSION = 1
MAP_SIZE_BYTES = 16 << 20  # one value of at most 64 KiB, and LMDB's copies
_KEY = b"plan"


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """The stored form; the order of fields is part of it."""

    version: int
    member: str
    boot_id: str  # of the machine's start in which it was written
    promised: Ballot
    accepted: AcceptedValue


class PlanStore:
    """The folder of one member."""

    def __init__(self, folder: str, member: str) -> None:
        """Opens the folder, and makes it where it is missing.

        Raises:
            PlanStoreError: It can't be used.
        """
        self.folder, self.member, self.boot_id = folder, member, boot_id()
        try:
            Path(folder).mkdir(parents=True, exist_ok=True)
            self._environment = lmdb.open(folder, map_size=MAP_SIZE_BYTES, sync=False, metasync=False, mode=0o600)
        except (OSError, lmdb.Error) as error:
            raise PlanStoreError(f"{folder}: {error}") from error

    def read(self) -> AcceptorState | None:
        """The state that this member wrote; None if there is none, or another's, or older than the machine's start.

        Raises:
            PlanStoreError: The record can't be read.
        """
        try:
            with self._environment.begin() as transaction:
                data = transaction.get(_KEY)
            record = msgspec.msgpack.decode(data, type=_Record) if data is not None else None
            if record is None or not self._ours(record):
                return None
            if record.accepted.ballot != NO_BALLOT:
                decode_plan(record.accepted.value)
            return AcceptorState(record.promised, record.accepted)
        except (lmdb.Error, msgspec.DecodeError, msgspec.ValidationError, WireError) as error:
            raise PlanStoreError(f"{self.folder}: {error}") from error

    def write(self, state: AcceptorState) -> None:
        """Replace the record, whole or not at all.

        Raises:
            PlanStoreError: It can't be written.
        """
        record = _Record(VERSION, self.member, self.boot_id, state.promised, state.accepted)
        try:
            with self._environment.begin(write=True) as transaction:
                transaction.put(_KEY, msgspec.msgpack.encode(record))
        except lmdb.Error as error:
            raise PlanStoreError(f"{self.folder}: {error}") from error

    def close(self) -> None:
        """Close the folder; nothing is written after this."""
        self._environment.close()

    def _ours(self, record: _Record) -> bool:
        """Whether this member wrote it since the machine's start; without a boot id nobody can say."""
        expected = (VERSION, self.member, self.boot_id)
        return bool(self.boot_id) and (record.version, record.member, record.boot_id) == expected
