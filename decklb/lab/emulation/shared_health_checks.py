"""The cluster's shared probing on emulated managers: real nodes on the simulated network, on the run's own loop."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

from decklb.cluster.duty import DutyRun
from decklb.cluster.node import Node
from decklb.cluster.sealing import KEY_BYTES, SALT_BYTES, Sealer
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.interface import Outcome, Phase
from decklb.lab.emulation import simulated_network as network
from decklb.lab.emulation.simulated_network import EPOCH, Faults, Host

if TYPE_CHECKING:
    from decklb.lab.emulation.emulator import Manager, Run

SEEDS = 3


class Probing:
    """All managers' nodes. What they hold of an engine reaches its manager's module as in the daemon."""

    def __init__(self, run: Run, period: float) -> None:
        self.run = run
        w = run.world
        self.world = network.World(
            run.streams.number("cluster"),
            Faults(loss=w.loss, least=w.delay * (1 - w.jitter), most=w.delay * (1 + w.jitter)),
            run.loop,
        )
        self.membership = MembershipSettings()
        self.duty = DutySettings(
            period_ms=period, timeout_ms=min(1000.0, period / 4), failures_to_decline=2, repeat_interval_ms=2 * period
        )
        self.hosts: dict[int, Host] = {}
        self.probes = 0
        self.world.run_duty, self.world.on_probed = self._run, self._probed

    @staticmethod
    def _address(number: int) -> network.Address:
        return f"10.0.{number >> 8}.{number & 255}", 7946

    def start(self, manager: Manager) -> None:
        """A manager's node, from nothing."""
        number = manager.number
        rng = random.Random(self.run.streams.number(f"node {number} life {manager.life}"))
        sealer = Sealer(self.membership.cluster_name, [bytes(KEY_BYTES)], rng.randbytes(SALT_BYTES))
        host = Host(
            self.world,
            f"m{number}",
            self._address(number),
            lambda h: Node(self.membership, [self.duty], h.name, h.address, sealer, rng, h.now(), h.wall()),
        )
        seeds = [self._address(i) for i in range(min(SEEDS, self.run.world.managers))]
        self.hosts[number] = self.world.add(host, seeds)

    def kill(self, manager: Manager) -> None:
        """It dies with its manager."""
        self.world.kill(self.hosts.pop(manager.number))

    def listed(self, manager: Manager, phases: dict[str, Phase], born: Iterable[tuple[str, float]]) -> None:
        """The list as that manager has it."""
        host = self.hosts[manager.number]
        cold = {name: EPOCH + at + self.run.world.engine.cold if at > 0 else 0.0 for name, at in born if name in phases}
        host.node.set_subjects(host.now(), self.duty.kind, cold, {n for n, p in phases.items() if p is Phase.UP})
        self.world.pump(host)

    def _run(self, host: Host, start: DutyRun) -> tuple[float, bool]:
        self.probes += 1
        engine = self.run.engines[start.subject]
        way = 2 * self.run.world.delay
        if engine.silent:
            return self.duty.timeout_ms, False
        return way, engine.up

    def _probed(self, host: Host, subject: str, up: bool) -> None:
        manager = self.run.managers[int(host.name[1:])]
        if manager.up:
            manager.core.health_checked(subject, Outcome.SUCCESS if up else Outcome.UNREACHABLE)
