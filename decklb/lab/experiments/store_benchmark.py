"""Embedded stores for the handoff's records, measured: what one write before an acknowledgement costs.

A member writes what changed before its words leave. Each write here is one transaction of a few keys of a record's
size. Without a sync a write outlives the process; with one also the machine.
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
    """LMDB: a memory-mapped tree, copy on write."""
    import lmdb

    env = lmdb.open(str(folder / "lmdb"), map_size=1 << 28, sync=sync, metasync=sync)

    def write(changes: Changes) -> None:
        with env.begin(write=True) as txn:
            for key, value in changes:
                txn.put(key, value)

    return write


def sqlite_store(folder: Path, sync: bool) -> Write:
    """SQLite with a write-ahead log."""
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
    """One row for each store, with syncs and without; microseconds a write."""
    rows: list[dict[str, float | str]] = []
    for name, make in STORES.items():
        for sync in (False, True):
            rng = random.Random(seed)
            count = writes if not sync else max(50, writes // 20)
            with tempfile.TemporaryDirectory() as folder:
                write = make(Path(folder), sync)
                took = []
                for _ in range(count):
                    changes = [(b"key-%06d" % rng.randrange(20_000), rng.randbytes(size)) for _ in range(keys)]
                    start = time.perf_counter()
                    write(changes)
                    took.append(1e6 * (time.perf_counter() - start))
                took.sort()
                held = sum(f.stat().st_blocks * 512 for f in Path(folder).rglob("*") if f.is_file())
            rows.append(
                {
                    "store": name,
                    "sync": "yes" if sync else "no",
                    "writes": count,
                    **{f"p{p}_us": round(took[min(count - 1, count * p // 100)]) for p in (50, 99)},
                    "mib": round(held / (1 << 20), 1),
                }
            )
    return rows
