"""Health checks that emulated managers share through their cluster: real cluster nodes on the simulated network.

`SharedHealthChecks` runs one cluster node per running manager, on the loop of the emulated run. Managers start and kill
their node and set the engines to check. As in the daemon, results are passed to a callback.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from decklb.cluster.duty import DutyRun
from decklb.cluster.node import Node
from decklb.cluster.sealing import KEY_BYTES, SALT_BYTES, Sealer
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.interface import Phase
from decklb.lab.emulation import simulated_network as network
from decklb.lab.emulation.emulated_world import EmulatedWorld
from decklb.lab.emulation.engine_model import Engine
from decklb.lab.emulation.random_streams import Streams
from decklb.lab.emulation.simulated_loop import Loop

SEED_MEMBERS = 3  # number of managers that nodes contact to join the cluster
CLUSTER_PORT = 7946
MAX_TIMEOUT_MS = 1000.0  # upper limit of a check's timeout, which is a quarter of the period

ResultCallback = Callable[[int, str, bool], None]  # number of the manager, engine id, whether the engine is up


class SharedHealthChecks:
    """The cluster nodes of all managers.

    Attributes:
        started: Number of health checks started so far by all managers.
    """

    def __init__(
        self,
        world: EmulatedWorld,
        loop: Loop,
        streams: Streams,
        engines: Mapping[str, Engine],
        on_result: ResultCallback,
    ) -> None:
        self._world, self._streams, self._engines, self._on_result = world, streams, engines, on_result
        self._network = network.SimulatedNetwork(
            streams.number("cluster"),
            network.Faults(
                loss=world.message_loss,
                min_delay_ms=world.network_delay_ms * (1 - world.network_jitter),
                max_delay_ms=world.network_delay_ms * (1 + world.network_jitter),
            ),
            loop,
        )
        self._membership = MembershipSettings()
        period = world.health_check_period_ms
        timeout = min(MAX_TIMEOUT_MS, period / 4)
        self._duty = DutySettings(
            period_ms=period, timeout_ms=timeout, failures_to_decline=2, repeat_interval_ms=2 * period
        )
        self._hosts: dict[int, network.Host] = {}
        self.started = 0
        self._network.run_duty, self._network.on_health_check = self._start_check, self._on_checked

    @staticmethod
    def _address(number: int) -> network.Address:
        return f"10.0.{number >> 8}.{number & 255}", CLUSTER_PORT

    def start(self, number: int, incarnation: int) -> None:
        """Start a manager's node with empty state."""
        rng = random.Random(self._streams.number(f"node {number} life {incarnation}"))
        sealer = Sealer(self._membership.cluster_name, [bytes(KEY_BYTES)], rng.randbytes(SALT_BYTES))
        host = network.Host(
            self._network,
            f"m{number}",
            self._address(number),
            lambda h: Node(self._membership, [self._duty], h.name, h.address, sealer, rng, h.now(), h.wall()),
        )
        seeds = [self._address(i) for i in range(min(SEED_MEMBERS, self._world.managers))]
        self._hosts[number] = self._network.add(host, seeds)

    def kill(self, number: int) -> None:
        """Stop the node of a manager that was killed."""
        self._network.kill(self._hosts.pop(number))

    def set_targets(self, number: int, phases: Mapping[str, Phase]) -> None:
        """Set the engines that a manager's node checks to those in its copy of the endpoint list."""
        host = self._hosts[number]
        warm_at = {engine.name: self._warm_at(engine) for engine in self._engines.values() if engine.name in phases}
        up = {name for name, phase in phases.items() if phase is Phase.UP}
        host.node.set_subjects(host.now(), self._duty.kind, warm_at, up)
        self._network.pump(host)

    def _warm_at(self, engine: Engine) -> float:
        """Return the Unix time in ms at which an engine has warmed up; 0 if it ran before the simulation started."""
        if engine.started_ms <= 0:
            return 0.0
        return network.EPOCH + engine.started_ms + self._world.engine_spec.warm_up_ms

    def _start_check(self, host: network.Host, duty_run: DutyRun) -> tuple[float, bool]:
        """Start a check; return its duration in ms and whether the engine answers."""
        self.started += 1
        engine = self._engines[duty_run.subject]
        if engine.unreachable:
            return self._duty.timeout_ms, False
        return 2 * self._world.network_delay_ms, engine.up

    def _on_checked(self, host: network.Host, engine: str, up: bool) -> None:
        self._on_result(int(host.name[1:]), engine, up)
