"""What a member remembers, kept on disk so that it outlives its process.

Everything is written before a word that rests on it leaves, without a sync: it outlives the process, not the machine.
After the machine's own restart it counts as forgotten, which is told by the kernel's boot id. Deadlines are on the
monotonic clock, which goes on from one process to the next until then.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from pathlib import Path

import lmdb
import msgspec

from decklb.handoff.errors import StoreError
from decklb.handoff.records import Record

VERSION = 1
BOOT = Path("/proc/sys/kernel/random/boot_id")
_HEAD = b"\0head"  # no key's name, which are 32 bytes


class Kept(msgspec.Struct, array_like=True, frozen=True):
    """What is held of one key."""

    key: str
    record: Record | None
    body: bytes | None
    granted: tuple[int, str] | None


class Head(msgspec.Struct, array_like=True, frozen=True):
    """Whose memory it is, and since when it reaches back."""

    version: int
    member: str
    boot: str
    memory: int
    born: float


_encoder = msgspec.msgpack.Encoder()
_kept, _head = msgspec.msgpack.Decoder(Kept), msgspec.msgpack.Decoder(Head)


def boot_id() -> str:
    """Another after each start of the machine; "" where the kernel does not say, and then nothing is trusted."""
    try:
        return BOOT.read_text().strip()
    except OSError:
        return ""


class Store:
    """One member's folder."""

    def __init__(self, folder: str, room: int) -> None:
        """`room`: bytes of records it holds at most. Raises StoreError."""
        self.folder = folder
        try:
            Path(folder).mkdir(parents=True, exist_ok=True)
            # Copy on write, and pages of 4 KiB for values of a few hundred bytes: several times what is held.
            self._env = lmdb.open(folder, map_size=8 * room + (64 << 20), sync=False, metasync=False, mode=0o600)
        except (OSError, lmdb.Error) as error:
            raise StoreError(f"{folder}: {error}") from error

    def open(self, member: str, memory: int, now: float, boot: str) -> tuple[int, float, list[Kept]]:
        """The name of the memory, since when it reaches back, and what it holds. `memory` names a new one, which
        begins where none of this member and this start of the machine is found. Raises StoreError."""
        try:
            with self._env.begin(write=True) as txn:
                raw = txn.get(_HEAD)
                head = _head.decode(raw) if raw is not None else None
                if head is not None and (head.version, head.member, head.boot) == (VERSION, member, boot) and boot:
                    return head.memory, head.born, [_kept.decode(v) for k, v in txn.cursor() if k != _HEAD]
                txn.drop(self._env.open_db(txn=txn), delete=False)
                txn.put(_HEAD, _encoder.encode(Head(VERSION, member, boot, memory, now)))
                return memory, now, []
        except (lmdb.Error, msgspec.DecodeError, msgspec.ValidationError) as error:
            raise StoreError(f"{self.folder}: {error}") from error

    def write(self, changes: Mapping[str, Kept | None]) -> None:
        """All of these or none; None: nothing is held of the key any more. Raises StoreError."""
        try:
            with self._env.begin(write=True) as txn:
                for key, kept in changes.items():
                    name = blake2b(key.encode(), digest_size=32).digest()
                    if kept is None:
                        txn.delete(name)
                    else:
                        txn.put(name, _encoder.encode(kept))
        except lmdb.Error as error:
            raise StoreError(f"{self.folder}: {error}") from error

    def close(self) -> None:
        """Nothing is written after this."""
        self._env.close()
