"""Fault run on connections to engines: they are cut at random bytes of the answers while requests of one key are sent.

An attempt whose connection was cut has an uncertain outcome, however much of its answer arrived. So the program must
hold back the requests of its key for a while after the cut. A request of the class `load` may run at most once, so the
program must not send it again. The run checks this by the attempts that the stand-in engines recorded.

`play_cuts` is called by the command `decklb lab cuts`. All state is in its `ProxiedProgram`.
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

from decklb.lab.fault_runs.program_clients import RequestOutcome
from decklb.lab.fault_runs.program_process import RECOVERY_TIMEOUT_S, SETTINGS, ProgramProcess
from decklb.lab.faults.connection_proxy import Action, ConnectionFault, ConnectionProxy
from decklb.lab.standins.recording_peers import RecordedAttempt, RecordingEngine

HOLD_DOWN_S = 0.3  # after an uncertain outcome, in which no request of the key is sent
RULES = {"settle_after_doubt": 1000 * HOLD_DOWN_S}  # the setting is in ms
REQUESTS_PER_ROUND = 3  # with the same key, so each one waits for those before it
LAST_BYTE_PROBABILITY = 0.4  # of a cut right after the last byte of an answer
SHORT_GAP_S = 0.01  # between two requests: the next one is sent while the previous one runs
LONG_GAP_S = 0.1  # long enough for a request to end if nothing disturbs it
SHORT_GAP_PROBABILITY = 0.5
# Actions after which no further byte of the answer arrives, so that the outcome of the attempt is uncertain.
CONNECTION_LOST = (Action.RESET, Action.CLOSE, Action.HALF_CLOSE, Action.SILENCE)


@dataclass(slots=True)
class CutRound:
    """The result of one round: requests of one key, and one fault.

    Attributes:
        fault: The planned fault.
        fault_injected: Whether it was injected.
        outcomes: Number of requests by outcome.
        violations: Descriptions of the rules that were broken; empty if there were none.
    """

    fault: ConnectionFault
    fault_injected: bool
    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


class ProxiedProgram(ProgramProcess):
    """A program that reaches each engine through a proxy, which can cut connections.

    Attributes:
        proxies: One for each engine, in the same order; empty until the start.
    """

    def __init__(self, front: str, folder: Path, source_tree: Path | None) -> None:
        categories = [dict(category, serial_by_key=category["name"] == "load") for category in SETTINGS["categories"]]
        settings = SETTINGS | {"categories": categories, "rules": SETTINGS["rules"] | RULES}
        super().__init__(front, folder, source_tree, settings)
        self.proxies: list[ConnectionProxy] = []

    async def advertised_engine_ports(self) -> dict[str, int]:
        """Start the proxies and return their ports in place of the engines'."""
        self.proxies = [ConnectionProxy(engine.port) for engine in self.engines]
        for proxy in self.proxies:
            await proxy.start()
        return {f"s-{i}": proxy.listen_port for i, proxy in enumerate(self.proxies)}

    async def stop(self) -> None:
        """Stop the proxies, the program and its peers."""
        for proxy in self.proxies:
            proxy.stop()
        await super().stop()

    async def play_round(self, rng: random.Random) -> CutRound:
        """Send requests of one key; the proxy of each engine injects the fault after a drawn number of answer bytes."""
        await self.wait_until_serving(RECOVERY_TIMEOUT_S)
        for engine in self.engines:
            engine.attempts.clear()
        fault = self._draw_fault(rng)
        for proxy in self.proxies:
            proxy.arm(fault)
        key = self.new_request_name()
        names = [self.new_request_name() for _ in range(REQUESTS_PER_ROUND)]
        outcomes = await self._send_requests(key, names, rng)
        fault_injected = any(proxy.injected_at_s is not None for proxy in self.proxies)
        violations = self._order_violations(names) + self.overlapping_attempts()
        for engine, proxy in zip(self.engines, self.proxies, strict=True):
            if proxy.injected_at_s is not None and fault.action in CONNECTION_LOST:
                violations += self._violations_after_cut(engine, proxy.injected_at_s)
            proxy.arm(None)
        if outcomes[RequestOutcome.NO_RESPONSE] or outcomes[RequestOutcome.CONNECTION_ENDED]:
            counts = {outcome.value: count for outcome, count in outcomes.items()}
            violations.append(f"requests without an answer: {counts}")
        return CutRound(fault, fault_injected, outcomes, violations)

    def _draw_fault(self, rng: random.Random) -> ConnectionFault:
        answer_size = max(engine.answer_size for engine in self.engines)
        at_byte = answer_size if rng.random() < LAST_BYTE_PROBABILITY else rng.randint(1, answer_size)
        return ConnectionFault(at_byte, rng.choice(list(Action)))

    async def _send_requests(self, key: str, names: list[str], rng: random.Random) -> Counter[RequestOutcome]:
        """Send the requests of a key, each on its own connection, and count their outcomes."""
        connections = [await self.connect("load", key) for _ in names]
        requests = []
        for connection, name in zip(connections, names, strict=True):
            requests.append(asyncio.create_task(connection.request(name)))
            await asyncio.sleep(SHORT_GAP_S if rng.random() < SHORT_GAP_PROBABILITY else LONG_GAP_S)
        outcomes = Counter(await asyncio.gather(*requests))
        for connection in connections:
            connection.close()
        return outcomes

    def _attempts_by_start(self) -> list[RecordedAttempt]:
        attempts = (attempt for engine in self.engines for attempt in engine.attempts)
        return sorted(attempts, key=lambda attempt: attempt.began)

    def _order_violations(self, names: list[str]) -> list[str]:
        """Describe requests of the key that ran at the same time, or not in the order in which they were sent."""
        attempts = [attempt for attempt in self._attempts_by_start() if attempt.name in names]
        violations = [
            f"{first.name} and {second.name} at once"
            for first, second in itertools.combinations(attempts, 2)
            if first.name != second.name and second.began < first.ended
        ]
        order = [names.index(attempt.name) for attempt in attempts]
        if order != sorted(order):
            violations.append(f"out of order: {order}")
        return violations

    def _violations_after_cut(self, engine: RecordingEngine, cut_at_s: float) -> list[str]:
        """Describe attempts that must not start after the cut of an engine's connection.

        Args:
            engine: Engine whose connection was cut.
            cut_at_s: Time of the cut on the monotonic clock.
        """
        before_cut = (attempt for attempt in engine.attempts if attempt.began < cut_at_s)
        cut_attempt = max(before_cut, key=lambda attempt: attempt.began, default=None)
        if cut_attempt is None:  # the cut came before any request
            return []
        violations: list[str] = []
        for attempt in self._attempts_by_start():
            if attempt.began > cut_at_s and attempt.name == cut_attempt.name:
                violations.append(f"{attempt.name} was sent again although it may have run")
            elif cut_at_s < attempt.began < cut_at_s + HOLD_DOWN_S:
                violations.append(f"{attempt.name} began {1000 * (attempt.began - cut_at_s):.0f} ms after the cut")
        return violations


async def play_cuts(front: str, seed: int, rounds: int, source_tree: Path | None = None) -> AsyncIterator[CutRound]:
    """Play rounds on one process and yield the result of each.

    Args:
        front: Protocol of the clients, `platform` or `postgres`.
        seed: Of the faults and of the gaps between requests.
        rounds: Number of rounds.
        source_tree: See ProgramProcess.

    Raises:
        ProgramStartError: The program did not start.
    """
    rng = random.Random(seed)
    async with running_proxied_program(front, source_tree) as program:
        for _ in range(rounds):
            yield await program.play_round(rng)


@asynccontextmanager
async def running_proxied_program(front: str, source_tree: Path | None) -> AsyncIterator[ProxiedProgram]:
    """Provide a started ProxiedProgram in a temporary folder, and stop it afterwards."""
    with TemporaryDirectory() as folder:
        program = ProxiedProgram(front, Path(folder), source_tree)
        try:
            await program.start()
            yield program
        finally:
            await program.stop()
