"""Plays requests of one key while connections to engines are struck at drawn bytes of the answers.

The check is the engines': an attempt whose connection was struck did not end with a whole answer, whatever arrived of
it, so its key rests from the strike on, and where it may have run an unsafe request is not sent again.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from decklb.lab.fault_runs.system_call_run import SETTINGS, Player
from decklb.lab.faults.connection_proxy import Action, ConnectionProxy, Strike
from decklb.lab.standins.recording_peers import RecordedAttempt, RecordingEngine

SETTLE = 0.3  # seconds that a key rests
RULES = {"settle_after_doubt": 1000 * SETTLE}
LINE = 3  # requests of a key, the later ones waiting for those before
ENDS = 0.4  # share of strikes that hit right behind the last byte of an answer
CUTS = (Action.RESET, Action.CLOSE, Action.HALF_CLOSE, Action.SILENCE)


@dataclass(slots=True)
class Round:
    """What came of one line of requests."""

    strike: Strike
    struck: bool
    answers: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


class StruckPlayer(Player):
    """A player with a proxy before each engine."""

    def __init__(self, front: str, folder: Path, tree: Path | None) -> None:
        classes = [dict(c, serial_by_key=c["name"] == "load") for c in SETTINGS["categories"]]
        super().__init__(front, folder, tree, SETTINGS | {"categories": classes, "rules": SETTINGS["rules"] | RULES})
        self.proxies: list[ConnectionProxy] = []

    async def listed(self) -> dict[str, int]:
        """The proxies' ports in place of the engines'."""
        self.proxies = [ConnectionProxy(engine.port) for engine in self.engines]
        for proxy in self.proxies:
            await proxy.start()
        return {f"s-{i}": proxy.listen_port for i, proxy in enumerate(self.proxies)}

    async def stop(self) -> None:
        """See Player."""
        for proxy in self.proxies:
            proxy.stop()
        await super().stop()

    async def play_round(self, draw: random.Random) -> Round:
        """A line of requests of one key; the first answer of any engine is struck."""
        await self._serves(5.0)
        for engine in self.engines:
            engine.attempts.clear()
        whole = max(engine.answer_size for engine in self.engines)
        at = whole if draw.random() < ENDS else draw.randint(1, whole)
        strike = Strike(at, draw.choice(list(Action)))
        for proxy in self.proxies:
            proxy.arm(strike)
        key = self.name()
        names = [self.name() for _ in range(LINE)]
        links = [await self.connect("load", key) for _ in names]
        asked = []
        for link, name in zip(links, names, strict=True):
            asked.append(asyncio.create_task(link.ask(name)))
            await asyncio.sleep(0.01 if draw.random() < 0.5 else 0.1)  # waits already, or comes a moment later
        found = Round(strike, False, Counter(await asyncio.gather(*asked)))
        for link in links:
            link.close()
        found.struck = any(proxy.struck_at_s is not None for proxy in self.proxies)
        found.faults = self._order(names) + self._overlaps()
        for engine, proxy in zip(self.engines, self.proxies, strict=True):
            if proxy.struck_at_s is not None and strike.action in CUTS:
                found.faults += self._after(engine, proxy.struck_at_s)
            proxy.arm(None)
        if found.answers["silent"] or found.answers["ended"]:
            found.faults.append(f"requests without an answer: {dict(found.answers)}")
        return found

    def _runs(self) -> list[RecordedAttempt]:
        return sorted((run for engine in self.engines for run in engine.attempts), key=lambda run: run.began)

    def _order(self, names: list[str]) -> list[str]:
        runs = [run for run in self._runs() if run.name in names]
        faults = [
            f"{a.name} and {b.name} at once"
            for a, b in itertools.combinations(runs, 2)
            if a.name != b.name and b.began < a.ended
        ]
        order = [names.index(run.name) for run in runs]
        return faults + ([f"out of order: {order}"] if order != sorted(order) else [])

    def _after(self, engine: RecordingEngine, struck: float) -> list[str]:
        """What may not follow the cut of an engine's answer at that moment."""
        cut = max((run for run in engine.attempts if run.began < struck), key=lambda run: run.began, default=None)
        faults: list[str] = []
        if cut is None:  # it was struck before any request
            return faults
        for run in self._runs():
            if run.began > struck and run.name == cut.name:
                faults.append(f"{run.name} was sent again though it may have run")
            elif struck < run.began < struck + SETTLE:
                faults.append(f"{run.name} began {1000 * (run.began - struck):.0f} ms after the strike")
        return faults


async def play_cuts(front: str, seed: int, rounds: int, tree: Path | None = None) -> AsyncIterator[Round]:
    """Play so many rounds on one process; `tree`: see Player."""
    draw = random.Random(seed)
    async with struck_player(front, tree) as player:
        for _ in range(rounds):
            yield await player.play_round(draw)


@asynccontextmanager
async def struck_player(front: str, tree: Path | None) -> AsyncIterator[StruckPlayer]:
    """A player with its program running, ended afterwards."""
    with TemporaryDirectory() as folder:
        player = StruckPlayer(front, Path(folder), tree)
        try:
            await player.start()
            yield player
        finally:
            await player.stop()
