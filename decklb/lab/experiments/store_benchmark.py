"""Benchmark of embedded stores for the handoff's records: the cost of one write.

A member of the handoff writes its changes to disk before it sends the messages that depend on them. Each write measured
here is one transaction that stores a few records. Without a sync a write survives the end of the process, with a sync
also a crash of the machine.
"""

from __future__ import annotations

import random
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

Changes = list[tuple[bytes, bytes]]
Write = Callable[[Changes], None]


def lmdb_store(folder: Path, sync: bool) -> Write:
    """Return a function that writes to LMDB, a memory-mapped copy-on-write B+ tree."""
    import lmdb

    env = lmdb.open(str(folder / "lmdb"), map_size=1 << 28, sync=sync, metasync=sync)

    def write(changes: Changes) -> None:
        with env.begin(write=True) as txn:
            for key, value in changes:
                txn.put(key, value)

    return write


def sqlite_store(folder: Path, sync: bool) -> Write:
    """Return a function that writes to SQLite with a write-ahead log."""
    db = sqlite3.connect(folder / "sqlite", isolation_level=None)
    db.execute("pragma journal_mode = wal")
    db.execute(f"pragma synchronous = {'full' if sync else 'off'}")
    db.execute("create table records (key blob primary key, value blob) without rowid")

    def write(changes: Changes) -> None:
        db.execute("begin")
        db.executemany("insert or replace into records values (?, ?)", changes)
        db.execute("commit")

    return write


STORES = {"lmdb": lmdb_store, "sqlite": sqlite_store}


def measure(writes: int, keys: int, size: int, seed: int) -> list[dict[str, float | str]]:
    """Measure each store with and without syncs.

    Args:
        writes: Number of writes without syncs; with syncs a twentieth of it, but at least 50.
        keys: Records per write.
        size: Size of a record in bytes.
        seed: Seed of the keys and values.

    Returns:
        One row for each store and sync mode; durations are in microseconds per write.
    """
    rows: list[dict[str, float | str]] = []
    for name, open_store in STORES.items():
        for sync in (False, True):
            rng = random.Random(seed)
            count = writes if not sync else max(50, writes // 20)
            with tempfile.TemporaryDirectory() as folder:
                write = open_store(Path(folder), sync)
                durations_us = []
                for _ in range(count):
                    changes = [(b"key-%06d" % rng.randrange(20_000), rng.randbytes(size)) for _ in range(keys)]
                    start = time.perf_counter()
                    write(changes)
                    durations_us.append(1e6 * (time.perf_counter() - start))
                durations_us.sort()
                stored_bytes = sum(f.stat().st_blocks * 512 for f in Path(folder).rglob("*") if f.is_file())
            rows.append(
                {
                    "store": name,
                    "sync": "yes" if sync else "no",
                    "writes": count,
                    **{f"p{p}_us": round(durations_us[min(count - 1, count * p // 100)]) for p in (50, 99)},
                    "mib": round(stored_bytes / (1 << 20), 1),
                }
            )
    return rows
