"""Many real processes of the program, warm engines and one that has just started: does the sum of them let it warm up?

The bound is the operators': within any window of `fall` ms a cold engine may get N + 2 root(N) + 2 requests of mean
work (N under 30: N + 3 root(N) + 3), N being what the settings allow it at the window's end.
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

from decklb.lab.fault_runs.system_call_run import SETTINGS, Player
from decklb.lab.standins.recording_peers import RecordingEngine, RespEngine, StandinDirectory

CORES = 8
COLD, SHARE, FACTOR, FALL = 15_000.0, 0.31, 3.0, 1500.0  # as the first deployment's settings name them
WORK = 0.2  # seconds of one core that a request takes
WARM = 3  # engines that are warm
MANY = 30  # requests in a window from which on chance is allowed for less


@dataclass(slots=True)
class Ramp:
    """What the cold engine got."""

    managers: int
    requests: int  # in all
    served: int
    arrivals: int  # at the cold engine
    worst: float  # the most that a window held, as a part of what it might have held


class Member(Player):
    """One manager of the fleet; engines and directory are the fleet's."""

    def __init__(
        self, folder: Path, number: int, managers: int, engines: list[RecordingEngine], directory: StandinDirectory
    ) -> None:
        settings: dict[str, Any] = SETTINGS | {
            "balancers": managers,
            "me": number,
            "rules": SETTINGS["rules"]
            | {"cold": COLD, "cold_share": SHARE, "overload_factor": FACTOR, "fall": FALL, "drain_grace": 2000.0},
        }
        super().__init__("platform", folder, None, settings)
        self.engines, self.directory = engines, directory

    async def start(self) -> None:
        """Start the program alone."""
        await self._start_program()

    async def stop(self) -> None:
        """End the program alone."""
        await self._end_program()


def allowed(age: float) -> float:
    """Requests in a window that ends when the engine is `age` ms old."""
    share = min(1.0, SHARE + (1.0 - SHARE) * age / COLD)
    number = FACTOR * share * CORES * FALL / (1000.0 * WORK)
    return number + (3 * math.sqrt(number) + 3 if number < MANY else 2 * math.sqrt(number) + 2)


def worst_window(arrivals: list[float], started: float) -> float:
    """The fullest window before the engine is warm, as a part of what is allowed; times in ms, in order."""
    worst = 0.0
    for i, at in enumerate(arrivals):
        if at - started < COLD:
            inside = i + 1 - bisect_left(arrivals, at - FALL)
            worst = max(worst, inside / allowed(at - started))
    return worst


async def play(managers: int, rate: float, seconds: float, seed: int) -> Ramp:
    """Play a fleet: `rate` requests a second at each manager, for so long after the cold engine is listed."""
    draw = random.Random(seed)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        engines: list[RecordingEngine] = [RespEngine(work_s=WORK) for _ in range(WARM + 1)]
        for engine in engines:
            await engine.start()
            stack.push_async_callback(engine.stop)
        directory = StandinDirectory({f"s-{i}": engine.port for i, engine in enumerate(engines[:WARM])})
        await directory.start()
        stack.callback(directory.stop)
        members = []
        for number in range(managers):
            (folder / str(number)).mkdir()
            member = Member(folder / str(number), number, managers, engines, directory)
            stack.push_async_callback(member.stop)
            await member.start()
            members.append(member)
        before = asyncio.gather(*[_load(member, rate, 2.0, draw) for member in members])
        await before  # classes are learned on warm engines
        started = time.monotonic()
        directory.add(f"s-{WARM}", engines[WARM].port, round(time.time() * 1000))
        answers = [a for many in await asyncio.gather(*[_load(m, rate, seconds, draw) for m in members]) for a in many]
        arrivals = sorted(1000 * run.began for run in engines[WARM].attempts)
        return Ramp(
            managers, len(answers), answers.count("served"), len(arrivals), worst_window(arrivals, 1000 * started)
        )


async def _load(member: Member, rate: float, seconds: float, draw: random.Random) -> list[str]:
    """Requests at random moments, each on a connection that is free."""
    idle, tasks = [await member.connect() for _ in range(4)], []
    end = time.monotonic() + seconds

    async def one() -> str:
        link = idle.pop() if idle else await member.connect()
        answer = await link.ask(member.name())
        if not link.over:
            idle.append(link)
        return answer

    while time.monotonic() < end:
        await asyncio.sleep(draw.expovariate(rate))
        tasks.append(asyncio.create_task(one()))
    answers = list(await asyncio.gather(*tasks))
    for link in idle:
        link.close()
    return answers
