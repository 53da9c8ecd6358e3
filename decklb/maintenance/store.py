"""Stores the acceptor's state on disk (LMDB), so that it survives a restart of the process.

The state is written before a message that depends on it is sent, but without a sync: it survives a crash of the
process, not of the machine. After a restart of the machine, which shows by the kernel's boot id, the stored state is
ignored and the member recovers its state from the other members. The store holds one record under one key. `runtime.py`
uses it if the settings name a folder.
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
MAP_SIZE_BYTES = 16 << 20  # room for one value of at most 64 KiB and the copies that LMDB makes
_KEY = b"plan"


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """The stored form of the state; the order of the fields is part of it."""

    version: int
    member: str
    boot_id: str  # boot id of the machine when the record was written
    promised: Ballot
    accepted: AcceptedValue


class PlanStore:
    """The store of one member."""

    def __init__(self, folder: str, member: str) -> None:
        """Open the store, and create its folder if it does not exist.

        Raises:
            PlanStoreError: The folder cannot be used.
        """
        self.folder, self.member, self.boot_id = folder, member, boot_id()
        try:
            Path(folder).mkdir(parents=True, exist_ok=True)
            self._environment = lmdb.open(folder, map_size=MAP_SIZE_BYTES, sync=False, metasync=False, mode=0o600)
        except (OSError, lmdb.Error) as error:
            raise PlanStoreError(f"{folder}: {error}") from error

    def read(self) -> AcceptorState | None:
        """Return the stored state; None if this member has stored none since the machine was started.

        Raises:
            PlanStoreError: The record cannot be read.
        """
        try:
            with self._environment.begin() as transaction:
                data = transaction.get(_KEY)
            record = msgspec.msgpack.decode(data, type=_Record) if data is not None else None
            if record is None or not self._is_valid(record):
                return None
            if record.accepted.ballot != NO_BALLOT:
                decode_plan(record.accepted.value)
            return AcceptorState(record.promised, record.accepted)
        except (lmdb.Error, msgspec.DecodeError, msgspec.ValidationError, WireError) as error:
            raise PlanStoreError(f"{self.folder}: {error}") from error

    def write(self, state: AcceptorState) -> None:
        """Replace the stored state atomically.

        Raises:
            PlanStoreError: The record cannot be written.
        """
        record = _Record(VERSION, self.member, self.boot_id, state.promised, state.accepted)
        try:
            with self._environment.begin(write=True) as transaction:
                transaction.put(_KEY, msgspec.msgpack.encode(record))
        except lmdb.Error as error:
            raise PlanStoreError(f"{self.folder}: {error}") from error

    def close(self) -> None:
        """Close the store; it must not be used afterwards."""
        self._environment.close()

    def _is_valid(self, record: _Record) -> bool:
        """Return whether this member wrote the record since the machine was started.

        Without a boot id this cannot be determined, and the record is not valid.
        """
        expected = (VERSION, self.member, self.boot_id)
        return bool(self.boot_id) and (record.version, record.member, record.boot_id) == expected
