"""What a member has promised and accepted of the plan, kept on disk so that it outlives its process.

Written before any word that rests on it leaves, without a sync: it outlives the process, not the machine. After the
machine's own restart, told by the kernel's boot id, it counts as forgotten, and the member reads the others first.
"""

from __future__ import annotations

from pathlib import Path

import lmdb
import msgspec

from decklb.cluster.errors import WireError
from decklb.handoff.store import boot_id
from decklb.maintenance.errors import MaintenanceError
from decklb.maintenance.messages import read_plan
from decklb.maintenance.register import NONE, Ballot, Memory

VERSION = 1
ROOM = 16 << 20  # bytes: one value of at most 64 KiB, and LMDB's copies
_KEY = b"plan"


class PlanStoreError(MaintenanceError):
    """The folder can't be used: free room there, or name another."""


class _Row(msgspec.Struct, array_like=True, frozen=True):
    version: int
    member: str
    boot: str
    promised: Ballot
    accepted: tuple[Ballot, bytes]


class PlanStore:
    """One member's folder."""

    def __init__(self, folder: str, member: str) -> None:
        """Raises PlanStoreError."""
        self.folder, self.member, self.boot = folder, member, boot_id()
        try:
            Path(folder).mkdir(parents=True, exist_ok=True)
            self._env = lmdb.open(folder, map_size=ROOM, sync=False, metasync=False, mode=0o600)
        except (OSError, lmdb.Error) as error:
            raise PlanStoreError(f"{folder}: {error}") from error

    def read(self) -> Memory | None:
        """What this member held; None if it is another's, or older than the machine's start. Raises PlanStoreError."""
        try:
            with self._env.begin() as txn:
                raw = txn.get(_KEY)
            row = msgspec.msgpack.decode(raw, type=_Row) if raw is not None else None
            if row is None or not self.boot or (row.version, row.member, row.boot) != (VERSION, self.member, self.boot):
                return None
            if row.accepted[0] != NONE:
                read_plan(row.accepted[1])
            return row.promised, row.accepted
        except (lmdb.Error, msgspec.DecodeError, msgspec.ValidationError, WireError) as error:
            raise PlanStoreError(f"{self.folder}: {error}") from error

    def write(self, memory: Memory) -> None:
        """All of it or nothing. Raises PlanStoreError."""
        try:
            with self._env.begin(write=True) as txn:
                txn.put(_KEY, msgspec.msgpack.encode(_Row(VERSION, self.member, self.boot, *memory)))
        except lmdb.Error as error:
            raise PlanStoreError(f"{self.folder}: {error}") from error

    def close(self) -> None:
        """Nothing is written after this."""
        self._env.close()
