"""Compares the engine model with queueing theory. Used by `decklb lab theory` and tests.

Models: M/M/1-PS and M/M/c (Kleinrock, "Queueing Systems", 1975-76) and Erlang's loss formula (1917). An engine with c
cores that runs single-threaded queries by processor sharing has the same distribution of queries in the system as
M/M/c, and therefore the same mean response time.
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
TIME_TO_FINISH_MS = 1e7  # simulated time after the last arrival, in which all queries complete


@dataclass(slots=True)
class Measurement:
    """Measured figures of one engine under Poisson arrivals of queries with exponentially distributed work.

    Attributes:
        response_ms: Mean response time of the served queries in ms.
        blocked: Fraction of the arrivals that were rejected for lack of a session.
        in_system: Time average of the number of queries at the engine.
        rate_per_ms: Throughput in queries per ms.
        unaccounted: Difference between the executed work and the work in the engine's account, as a fraction of the
            executed work.
    """

    response_ms: float = 0.0
    blocked: float = 0.0
    in_system: float = 0.0
    rate_per_ms: float = 0.0
    unaccounted: float = 0.0

    @property
    def littles_law_gap(self) -> float:
        """Deviation from Little's law: L - lambda W."""
        return self.in_system - self.rate_per_ms * self.response_ms


def erlang_b(servers: int, offered: float) -> float:
    """Return the blocking probability of M/M/c/c by Erlang's recursion.

    Args:
        servers: Number of servers.
        offered: Offered load in erlangs.
    """
    blocked = 1.0
    for k in range(1, servers + 1):
        blocked = offered * blocked / (k + offered * blocked)
    return blocked


def response(servers: int, load: float) -> float:
    """Return the mean response time of M/M/c in ms; with one server it is also that of M/M/1-PS.

    Args:
        servers: Number of servers.
        load: Utilization, from 0 to 1.
    """
    offered = servers * load
    blocked = erlang_b(servers, offered)
    wait_probability = servers * blocked / (servers - offered * (1.0 - blocked))
    return MEAN_WORK_MS + wait_probability * MEAN_WORK_MS / (servers - offered)


def play(cores: int, load: float, arrivals: int, seed: int, sessions: int = UNLIMITED_SESSIONS) -> Measurement:
    """Simulate one engine without thrashing and without disk reads, and measure it.

    Args:
        cores: Cores of the engine.
        load: Offered load as a fraction of the engine's capacity; above 1 the engine is overloaded.
        arrivals: Number of queries.
        seed: Seed of all random draws.
        sessions: Session limit of the engine.
    """
    loop, measured = Loop(), Measurement()
    engine = Engine(loop, "e", EngineSpec(cores=cores, thrash_threshold=math.inf, max_sessions=sessions))
    streams = Streams(seed)
    gaps = streams.get("gaps").exponential(MEAN_WORK_MS / (cores * load), arrivals)
    works = streams.get("works").exponential(MEAN_WORK_MS, arrivals)
    completed = blocked = 0
    # `queries_over_time` is the integral of `in_system` over time, up to `last_change`.
    total_response_ms = queries_over_time = last_change = 0.0
    in_system = 0

    def change_count(change: int) -> None:
        nonlocal queries_over_time, last_change, in_system
        queries_over_time += in_system * (loop.now() - last_change)
        last_change, in_system = loop.now(), in_system + change

    def arrive(i: int) -> None:
        nonlocal blocked
        arrived_at = loop.now()

        def query_ended(outcome: Outcome) -> None:
            nonlocal completed, total_response_ms, blocked
            if outcome is Outcome.OVERLOADED:
                blocked += 1
            else:
                completed += 1
                total_response_ms += loop.now() - arrived_at
            change_count(-1)

        change_count(1)
        engine.submit(Query(float(works[i]), io_share=0.0, memory_mb=0.0, on_end=query_ended))
        if i + 1 < arrivals:
            loop.call_later(float(gaps[i + 1]), lambda: arrive(i + 1))

    loop.call_later(float(gaps[0]), lambda: arrive(0))
    loop.run(float(gaps.sum()) + TIME_TO_FINISH_MS)
    account = engine.account
    measured.response_ms, measured.blocked = total_response_ms / max(1, completed), blocked / arrivals
    measured.in_system, measured.rate_per_ms = queries_over_time / last_change, completed / last_change
    unaccounted_ms = account.executed_ms - account.served_ms - account.lost_ms - engine.work_in_progress_ms()
    measured.unaccounted = abs(unaccounted_ms) / account.executed_ms
    return measured


def table(arrivals: int, seed: int) -> Iterator[str]:
    """Yield one line per configuration, with the measured value, the theoretical value and their difference."""
    for cores in (1, 4, 16):
        for load in (0.3, 0.5, 0.7, 0.9):
            measured, theory_ms = play(cores, load, arrivals, seed), response(cores, load)
            yield (
                f"M/M/{cores} load {load:.1f}: response {measured.response_ms:9.3f} ms, theory {theory_ms:9.3f}, "
                f"{100 * (measured.response_ms / theory_ms - 1):+.2f}%; L - lambda W {measured.littles_law_gap:+.1e}, "
                f"work {measured.unaccounted:.0e}"
            )
    for cores, load in ((4, 0.7), (16, 0.9), (16, 1.3)):
        measured, theory = play(cores, load, arrivals, seed, sessions=cores), erlang_b(cores, cores * load)
        yield (
            f"Erlang {cores} sessions load {load:.1f}: lost {measured.blocked:.4f}, theory {theory:.4f}, "
            f"{100 * (measured.blocked / theory - 1):+.2f}%"
        )
