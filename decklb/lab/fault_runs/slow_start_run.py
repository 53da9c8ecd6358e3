"""Fault run on slow start: many real managers, warm engines and one engine that has just started.

Each manager limits by itself what it sends to the new engine; the run checks the sum over all managers. The limit is
the operators': in any window as long as the setting `fall`, a cold engine may receive N + 2 sqrt(N) + 2 requests of
mean work, or N + 3 sqrt(N) + 3 if N is under 30, where N is the number that the settings allow at the window's end.

`play` is called by the command `decklb lab ramp`. No state outlives a call of it.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from bisect import bisect_left
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from decklb.lab.fault_runs.program_clients import RequestOutcome
from decklb.lab.fault_runs.program_process import SETTINGS, ProgramProcess
from decklb.lab.standins.recording_peers import RecordingEngine, RespEngine, StandinDirectory

ENGINE_CORES = 8
# The managers' settings of slow start, with the values of the first deployment.
SLOW_START_MS = 15_000.0  # setting `cold`: age at which an engine is warm
INITIAL_SHARE = 0.31  # setting `cold_share`: fraction of the full load that an engine of age 0 may receive
OVERLOAD_FACTOR = 3.0  # setting `overload_factor`: work in flight per core
WINDOW_MS = 1500.0  # setting `fall`; the run checks windows of the same length
DRAIN_GRACE_MS = 2000.0  # setting `drain_grace`
MEAN_WORK_S = 0.2  # of one core, per request
WARM_ENGINES = 3
MANY_REQUESTS = 30  # allowed in a window; from here on random variation needs a smaller allowance
WARM_UP_S = 2.0  # of load on the warm engines, from which the managers learn the cost of a request
CONNECTIONS_PER_MANAGER = 4  # at first; more are opened when none is idle


@dataclass(slots=True)
class SlowStartResult:
    """The load on the cold engine.

    Attributes:
        managers: Number of managers in the fleet.
        requests: Requests sent after the cold engine was listed.
        served: How many of these were served.
        arrivals: Attempts at the cold engine.
        worst_load_ratio: Highest ratio of received to allowed requests in a window; above 1 the limit was exceeded.
    """

    managers: int
    requests: int
    served: int
    arrivals: int
    worst_load_ratio: float


class FleetManager(ProgramProcess):
    """One manager of the fleet. It shares the engines and the directory; the fault run starts and stops these."""

    def __init__(
        self, folder: Path, number: int, managers: int, engines: list[RecordingEngine], directory: StandinDirectory
    ) -> None:
        rules = SETTINGS["rules"] | {
            "cold": SLOW_START_MS,
            "cold_share": INITIAL_SHARE,
            "overload_factor": OVERLOAD_FACTOR,
            "fall": WINDOW_MS,
            "drain_grace": DRAIN_GRACE_MS,
        }
        settings: dict[str, Any] = SETTINGS | {"balancers": managers, "me": number, "rules": rules}
        super().__init__("platform", folder, None, settings)
        self.engines, self.directory = engines, directory

    async def start(self) -> None:
        """Start only the program."""
        await self.start_program()

    async def stop(self) -> None:
        """Kill only the program."""
        await self.kill_program()


def allowed_requests(engine_age_ms: float) -> float:
    """Return how many requests an engine may receive in a window at whose end it has this age."""
    load_share = min(1.0, INITIAL_SHARE + (1.0 - INITIAL_SHARE) * engine_age_ms / SLOW_START_MS)
    expected = OVERLOAD_FACTOR * load_share * ENGINE_CORES * WINDOW_MS / (1000.0 * MEAN_WORK_S)
    if expected < MANY_REQUESTS:
        return expected + (3 * math.sqrt(expected) + 3)
    return expected + (2 * math.sqrt(expected) + 2)


def worst_load_ratio(arrivals_ms: list[float], started_ms: float) -> float:
    """Return the highest ratio of received to allowed requests over all windows that end before the engine is warm.

    Args:
        arrivals_ms: Arrival times of requests at the engine, in order.
        started_ms: Time at which the engine started, on the same clock.
    """
    worst = 0.0
    for i, arrival_ms in enumerate(arrivals_ms):
        age_ms = arrival_ms - started_ms
        if age_ms < SLOW_START_MS:
            requests_in_window = i + 1 - bisect_left(arrivals_ms, arrival_ms - WINDOW_MS)
            worst = max(worst, requests_in_window / allowed_requests(age_ms))
    return worst


async def play(managers: int, rate: float, seconds: float, seed: int) -> SlowStartResult:
    """Start a fleet, add a cold engine under load and count the requests that it receives.

    Args:
        managers: Number of managers in the fleet.
        rate: Requests per second at each manager.
        seconds: Duration of the load from the time at which the cold engine is listed.
        seed: Seed of the times at which requests are sent.

    Raises:
        ProgramStartError: A manager did not start.
    """
    rng = random.Random(seed)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        engines = await _start_engines(stack)
        cold_engine = engines[WARM_ENGINES]
        directory = StandinDirectory({f"s-{i}": engine.port for i, engine in enumerate(engines[:WARM_ENGINES])})
        await directory.start()
        stack.callback(directory.stop)
        fleet = await _start_managers(stack, folder, managers, engines, directory)
        await asyncio.gather(*[_send_load(manager, rate, WARM_UP_S, rng) for manager in fleet])
        started_s = time.monotonic()
        directory.add(f"s-{WARM_ENGINES}", cold_engine.port, round(time.time() * 1000))
        outcomes_by_manager = await asyncio.gather(*[_send_load(manager, rate, seconds, rng) for manager in fleet])
        outcomes = [outcome for manager_outcomes in outcomes_by_manager for outcome in manager_outcomes]
        arrivals_ms = sorted(1000 * attempt.began for attempt in cold_engine.attempts)
        return SlowStartResult(
            managers=managers,
            requests=len(outcomes),
            served=outcomes.count(RequestOutcome.SERVED),
            arrivals=len(arrivals_ms),
            worst_load_ratio=worst_load_ratio(arrivals_ms, 1000 * started_s),
        )


async def _start_engines(stack: AsyncExitStack) -> list[RecordingEngine]:
    """Start the warm engines and then the cold one, which is the last in the list; the stack stops them."""
    engines: list[RecordingEngine] = [RespEngine(work_s=MEAN_WORK_S) for _ in range(WARM_ENGINES + 1)]
    for engine in engines:
        await engine.start()
        stack.push_async_callback(engine.stop)
    return engines


async def _start_managers(
    stack: AsyncExitStack, folder: Path, count: int, engines: list[RecordingEngine], directory: StandinDirectory
) -> list[FleetManager]:
    """Start the managers, each with its own folder; the stack stops them."""
    fleet = []
    for number in range(count):
        (folder / str(number)).mkdir()
        manager = FleetManager(folder / str(number), number, count, engines, directory)
        stack.push_async_callback(manager.stop)
        await manager.start()
        fleet.append(manager)
    return fleet


async def _send_load(manager: ProgramProcess, rate: float, seconds: float, rng: random.Random) -> list[RequestOutcome]:
    """Send requests at random times, each on an idle connection, and return their outcomes.

    Args:
        manager: Receives the requests.
        rate: Mean number of requests per second; the gaps are drawn from an exponential distribution.
        seconds: Time for which requests are sent.
        rng: Draws the gaps.
    """
    idle = [await manager.connect() for _ in range(CONNECTIONS_PER_MANAGER)]
    requests = []

    async def send_one() -> RequestOutcome:
        connection = idle.pop() if idle else await manager.connect()
        outcome = await connection.request(manager.new_request_name())
        if not connection.is_closed:
            idle.append(connection)
        return outcome

    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(rng.expovariate(rate))
        requests.append(asyncio.create_task(send_one()))
    outcomes = list(await asyncio.gather(*requests))
    for connection in idle:
        connection.close()
    return outcomes
