"""The engine's model against what queueing theory says of it.

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

WORK = 100.0  # ms, mean


@dataclass(slots=True)
class Found:
    """Of one engine under Poisson arrivals of exponential works."""

    response: float = 0.0  # ms, mean
    blocked: float = 0.0  # share
    held: float = 0.0  # mean number in it, over time
    rate: float = 0.0  # answered, a ms
    balance: float = 0.0  # work done less work accounted for, over work done


def erlang_b(servers: int, offered: float) -> float:
    """Share of arrivals lost with no places to wait."""
    blocked = 1.0
    for k in range(1, servers + 1):
        blocked = offered * blocked / (k + offered * blocked)
    return blocked


def response(servers: int, load: float) -> float:
    """Mean ms in M/M/c at a load from 0 to 1; with one server that of M/M/1-PS too."""
    offered = servers * load
    blocked = erlang_b(servers, offered)
    waits = servers * blocked / (servers - offered * (1.0 - blocked))
    return WORK + waits * WORK / (servers - offered)


def play(cores: int, load: float, arrivals: int, seed: int, sessions: int = 1 << 30) -> Found:
    """So many arrivals at one engine that neither thrashes nor reads."""
    loop, found = Loop(), Found()
    engine = Engine(loop, "e", EngineSpec(cores=cores, thrash_threshold=math.inf, max_sessions=sessions))
    streams = Streams(seed)
    gaps = streams.get("gaps").exponential(WORK / (cores * load), arrivals)
    works = streams.get("works").exponential(WORK, arrivals)
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
            if outcome is Outcome.FULL:
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
    loop.run(float(gaps.sum()) + 1e7)
    book = engine.account
    found.response, found.blocked = total / max(1, done), blocked / arrivals
    found.held, found.rate = area / since, done / since
    unaccounted_ms = book.executed_ms - book.served_ms - book.lost_ms - engine.work_in_progress_ms()
    found.balance = abs(unaccounted_ms) / book.executed_ms
    return found


def table(arrivals: int, seed: int) -> Iterator[str]:
    """Lines: what was tried, what came out, what theory says, by how much they differ."""
    for cores in (1, 4, 16):
        for load in (0.3, 0.5, 0.7, 0.9):
            f, known = play(cores, load, arrivals, seed), response(cores, load)
            yield (
                f"M/M/{cores} load {load:.1f}: response {f.response:9.3f} ms, theory {known:9.3f}, "
                f"{100 * (f.response / known - 1):+.2f}%; L - lambda W {f.held - f.rate * f.response:+.1e}, "
                f"work {f.balance:.0e}"
            )
    for cores, load in ((4, 0.7), (16, 0.9), (16, 1.3)):
        f, known = play(cores, load, arrivals, seed, sessions=cores), erlang_b(cores, cores * load)
        yield (
            f"Erlang {cores} sessions load {load:.1f}: lost {f.blocked:.4f}, theory {known:.4f}, "
            f"{100 * (f.blocked / known - 1):+.2f}%"
        )
