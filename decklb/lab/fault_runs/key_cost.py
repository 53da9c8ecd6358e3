"""Measures what an idempotency key costs: latency of a statement, memory of the managers."""

from __future__ import annotations

import asyncio
import random
import struct
import tempfile
import time
from pathlib import Path

from decklb.lab.fault_runs.fleet_process import Process
from decklb.lab.fault_runs.handoff_fleet import LOAD_CLASS, Fleet, Setup
from decklb.management.control_client import query
from decklb.pg import messages as pg


def resident_kib(process: Process) -> int:
    """Return the resident memory of a process in KiB."""
    status = Path(f"/proc/{process.child.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


async def measure_key_cost(setup: Setup, requests: int, session_count: int, seed: int) -> dict[str, dict[str, float]]:
    """Measure what an idempotency key adds to the latency of a statement and to the memory of the managers.

    The sessions send statements without and with a key in turns, on a fleet without faults. Latency is the time in ms
    from sending a statement to its complete answer; the engines' share of it is negligible. Memory is what the managers
    hold at the end, and what is left once all records have expired.

    Args:
        setup: Of the fleet.
        requests: Statements of each kind.
        session_count: Sessions side by side.
        seed: Of the choice of managers.
    """
    rng = random.Random(seed)
    latencies_ms: dict[str, list[float]] = {"without": [], "with": []}

    async def run_session(fleet: Fleet, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[rng.choice(fleet.names)])
        writer.write(pg.pack_startup({"user": "u", "decklb.class": LOAD_CLASS}))
        await _read_answers(reader, 1)
        for i in range(requests // session_count):
            for kind, set_key in (
                ("without", "set decklb.key = ''"),
                ("with", f"set decklb.request = 'c{number}.{i}'"),
            ):
                sql = f"select 1 -- run=c{number}.{i}.{kind} work=0"
                start_s = time.monotonic()
                writer.write(pg.pack(b"Q", set_key.encode() + b"\0") + pg.pack(b"Q", sql.encode() + b"\0"))
                if errors := await _read_answers(reader, 2):
                    raise RuntimeError(f"a statement {kind} a key failed: {errors}")
                latencies_ms[kind].append(1000 * (time.monotonic() - start_s))
        writer.close()

    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(setup, seed, folder)
        try:
            await fleet.start()
            await fleet.wait_until_members_vote()
            kib_before = sum(resident_kib(p) for p in fleet.managers.values())
            await asyncio.gather(*(run_session(fleet, i) for i in range(session_count)))
            kib_after = sum(resident_kib(p) for p in fleet.managers.values())
            states = [await asyncio.to_thread(query, str(fleet.folder / f"{n}.sock"), "handoff") for n in fleet.names]
            await asyncio.sleep(setup.record_lifetime_ms / 1000 + 1.0)
            states_after_expiry = [
                await asyncio.to_thread(query, str(fleet.folder / f"{n}.sock"), "handoff") for n in fleet.names
            ]
        finally:
            await fleet.stop()
    records = sum(state["held"] for state in states)
    memory = {
        "records": records,
        "bytes": sum(state["bytes"] for state in states),
        "rss_kib_more": kib_after - kib_before,
        "records_lapsed": records - sum(state["held"] for state in states_after_expiry),
        "bytes_left": sum(state["bytes"] for state in states_after_expiry),
    }
    return {"memory": memory} | {
        kind: {"requests": len(ms)}
        | {f"p{p}_ms": round(sorted(ms)[min(len(ms) - 1, len(ms) * p // 100)], 2) for p in (50, 90, 99)}
        for kind, ms in latencies_ms.items()
    }


async def _read_answers(reader: asyncio.StreamReader, count: int) -> list[str]:
    """Read this many complete answers and return the SQLSTATEs of the errors among them."""
    sqlstates = []
    while count:
        message_type = await reader.readexactly(1)
        (size,) = struct.unpack(">I", await reader.readexactly(4))
        body = await reader.readexactly(size - 4)
        if message_type == b"E":
            sqlstates.append(pg.read_error(body)["C"])
        count -= message_type == b"Z"
    return sqlstates
