"""Compares the engine model with queueing theory, for `decklb lab theory` and tests.

M/M/1-PS and M/M/c: Kleinrock, "Queueing Systems" (1975-76); Erlang's loss formula (1917). An engine with c cores and
queries of one thread shares its cores; the number in it behaves as in M/M/c, and so does the mean response time.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from decklb.interface import Outcome
from decklb.lab.emulation.engine_model import Engine, EngineSpec, Query
from decklb.lab.emulation.random_streams import Streams
from decklb.lab.emulation.simulated_loop import Loop

MEAN_WORK_MS = 100.0
UNLIMITED_SESSIONS = 1 << 30
AFTER_LAST_ARRIVAL_MS = 1e7  # in which all queries end


@dataclass(slots=True)
class Measurement:
    """One engine under Poisson arrivals of queries with exponential work.

    Attributes:
        response_ms: Mean response time.
        blocked: Share of arrivals that found no session.
        in_system: Mean number of queries in the engine, over time.
        rate_per_ms: Queries answered.
        unaccounted: Work done less work accounted for, as a share of work done.
    """

    response_ms: float = 0.0
    blocked: float = 0.0
    in_system: float = 0.0
    rate_per_ms: float = 0.0
    unaccounted: float = 0.0

    @property
    def littles_law_gap(self) -> float:
        """Return by how much L differs from lambda W."""
        return self.in_system - self.rate_per_ms * self.response_ms


def erlang_b(servers: int, offered: float) -> float:
    """Return the share of arrivals lost where none can wait, by Erlang's recursion; `offered` is in erlangs."""
    blocked = 1.0
    for k in range(1, servers + 1):
        blocked = offered * blocked / (k + offered * blocked)
    return blocked


def response(servers: int, load: float) -> float:
    """Return the mean response time of M/M/c, in ms, at a load from 0 to 1; with one server that of M/M/1-PS too."""
    offered = servers * load
    blocked = erlang_b(servers, offered)
    waits = servers * blocked / (servers - offered * (1.0 - blocked))
    return MEAN_WORK_MS + waits * MEAN_WORK_MS / (servers - offered)


def play(cores: int, load: float, arrivals: int, seed: int, sessions: int = UNLIMITED_SESSIONS) -> Measurement:
    """Measure so many arrivals at one engine that neither thrashes nor reads."""
    loop, measured = Loop(), Measurement()
    engine = Engine(loop, "e", EngineSpec(cores=cores, thrash_threshold=math.inf, max_sessions=sessions))
    streams = Streams(seed)
    gaps = streams.get("gaps").exponential(MEAN_WORK_MS / (cores * load), arrivals)
    works = streams.get("works").exponential(MEAN_WORK_MS, arrivals)
    done = blocked = 0
    total = area = since = 0.0
    inside = 0

    def count(change: int) -> None:
        nonlocal area, since, inside
        area += inside * (loop.now() - since)
        since, inside = loop.now(), inside + change

    def arrive(i: int) -> None:
        nonlocal blocked
        at = loop.now()

        def over(outcome: Outcome) -> None:
            nonlocal done, total, blocked
            if outcome is Outcome.OVERLOADED:
                blocked += 1
            else:
                done += 1
                total += loop.now() - at
            count(-1)

        count(1)
        engine.submit(Query(float(works[i]), io_share=0.0, memory_mb=0.0, on_end=over))
        if i + 1 < arrivals:
            loop.call_later(float(gaps[i + 1]), lambda: arrive(i + 1))

    loop.call_later(float(gaps[0]), lambda: arrive(0))
    loop.run(float(gaps.sum()) + AFTER_LAST_ARRIVAL_MS)
    account = engine.account
    measured.response_ms, measured.blocked = total / max(1, done), blocked / arrivals
    measured.in_system, measured.rate_per_ms = area / since, done / since
    unaccounted_ms = account.executed_ms - account.served_ms - account.lost_ms - engine.work_in_progress_ms()
    measured.unaccounted = abs(unaccounted_ms) / account.executed_ms
    return measured


def table(arrivals: int, seed: int) -> Iterator[str]:
    """Yield lines: what was tried, what was measured, what theory says, and by how much they differ."""
    for cores in (1, 4, 16):
        for load in (0.3, 0.5, 0.7, 0.9):
            measured, known = play(cores, load, arrivals, seed), response(cores, load)
            yield (
                f"M/M/{cores} load {load:.1f}: response {measured.response_ms:9.3f} ms, theory {known:9.3f}, "
                f"{100 * (measured.response_ms / known - 1):+.2f}%; L - lambda W {measured.littles_law_gap:+.1e}, "
                f"work {measured.unaccounted:.0e}"
            )
    for cores, load in ((4, 0.7), (16, 0.9), (16, 1.3)):
        measured, known = play(cores, load, arrivals, seed, sessions=cores), erlang_b(cores, cores * load)
        yield (
            f"Erlang {cores} sessions load {load:.1f}: lost {measured.blocked:.4f}, theory {known:.4f}, "
            f"{100 * (measured.blocked / known - 1):+.2f}%"
        )
