"""The on-disk store (LMDB) of a member's records and grants, which makes them outlive its process.

Changes are written before any message that depends on them is sent, but are not synced to disk: they outlive the
process, not the machine. After a restart of the machine, detected by the kernel's boot id, the stored data counts as
forgotten. Until then the monotonic clock, on which deadlines are stored, continues from one process to the next. The
stored format consists of LMDB's keys, the order of the fields and the version. `runtime.py` owns the one store of a
member.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path

import lmdb
import msgspec

from decklb.handoff.ballots import Ballot
from decklb.handoff.errors import StoreError
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Record

STORE_VERSION = 1
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
MAP_FACTOR = 8  # LMDB's map size per byte of records: it copies on write, and a page exceeds most records
MIN_MAP_BYTES = 64 << 20
ENTRY_KEY_BYTES = 32  # length of the digest that is the LMDB key of an entry
_HEADER_KEY = b"\0head"  # shorter than any entry's key


class StoredEntry(msgspec.Struct, array_like=True, frozen=True):
    """The stored entry of one key."""

    key: str
    record: Record | None
    body: bytes | None  # the request itself
    granted: Ballot | None  # highest ballot granted for the key


class _Header(msgspec.Struct, array_like=True, frozen=True):
    """Identifies the member, the boot and the memory to which the stored data belongs."""

    version: int
    member: str
    boot_id: str
    memory_id: int
    since_ms: float

    def belongs_to(self, member: str, boot: str) -> bool:
        """Whether the data was written by this member since the machine's last boot."""
        return bool(boot) and (self.version, self.member, self.boot_id) == (STORE_VERSION, member, boot)


@dataclass(frozen=True, slots=True)
class StoredMemory:
    """What a member reads from its store at its start."""

    memory_id: int
    since_ms: float  # on the monotonic clock
    entries: list[StoredEntry]


_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(StoredEntry)
_header_decoder = msgspec.msgpack.Decoder(_Header)


def boot_id() -> str:
    """Return the kernel's boot id; "" if it is unavailable, in which case stored data is never trusted."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


class Store:
    """The store folder of one member."""

    def __init__(self, folder: str, max_bytes: int) -> None:
        """Open or create the folder.

        Args:
            folder: Folder of LMDB's files.
            max_bytes: Maximum size of the stored answers and bodies.

        Raises:
            StoreError: The folder is unusable.
        """
        self.folder = folder
        try:
            Path(folder).mkdir(parents=True, exist_ok=True)
            map_bytes = MAP_FACTOR * max_bytes + MIN_MAP_BYTES
            self._env = lmdb.open(folder, map_size=map_bytes, sync=False, metasync=False, mode=0o600)
        except (OSError, lmdb.Error) as error:
            raise StoreError(f"{folder}: {error}") from error

    def open(self, member: str, new_memory_id: int, now: float, boot: str) -> StoredMemory:
        """Read what this member wrote since the machine's last boot, or start an empty memory.

        Args:
            member: This member's name.
            new_memory_id: Id of the new memory if none is found.
            now: Current time on the monotonic clock in ms, at which a new memory starts.
            boot: The machine's `boot_id`.

        Raises:
            StoreError: The folder can't be read or written.
        """
        try:
            with self._env.begin(write=True) as txn:
                raw = txn.get(_HEADER_KEY)
                header = _header_decoder.decode(raw) if raw is not None else None
                if header is not None and header.belongs_to(member, boot):
                    entries = [_entry_decoder.decode(value) for key, value in txn.cursor() if key != _HEADER_KEY]
                    return StoredMemory(header.memory_id, header.since_ms, entries)
                txn.drop(self._env.open_db(txn=txn), delete=False)
                txn.put(_HEADER_KEY, _encoder.encode(_Header(STORE_VERSION, member, boot, new_memory_id, now)))
                return StoredMemory(new_memory_id, now, [])
        except (lmdb.Error, msgspec.DecodeError, msgspec.ValidationError) as error:
            raise StoreError(f"{self.folder}: {error}") from error

    def write(self, changes: Mapping[str, StoredEntry | None]) -> None:
        """Write all these entries or none; None deletes the entry of a key.

        Raises:
            StoreError: The folder can't be written.
        """
        try:
            with self._env.begin(write=True) as txn:
                for key, entry in changes.items():
                    entry_key = blake2b(key.encode(), digest_size=ENTRY_KEY_BYTES).digest()
                    if entry is None:
                        txn.delete(entry_key)
                    else:
                        txn.put(entry_key, _encoder.encode(entry))
        except lmdb.Error as error:
            raise StoreError(f"{self.folder}: {error}") from error

    def write_changes(self, table: RecordTable) -> None:
        """Write a table's entries for the keys that changed.

        Raises:
            StoreError: The folder can't be written.
        """
        changes: dict[str, StoredEntry | None] = {}
        for key in table.changed_keys:
            record, granted = table.get(key), table.ballots.granted(key)
            known = record is not None or granted is not None
            changes[key] = StoredEntry(key, record, table.body(key), granted) if known else None
        self.write(changes)

    def close(self) -> None:
        """Close the store; it can't be used afterwards."""
        self._env.close()
