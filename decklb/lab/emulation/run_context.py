"""State shared by the parts of one emulated run: world, simulated time, random streams, arrivals, engines, records.

`emulator.Run` creates the context and passes it to managers and clients, which therefore need no references to each
other. The context also models the network between managers and engines, which delays and loses messages.
"""

from __future__ import annotations

import random

from decklb.interface import Endpoint, Phase
from decklb.lab.checks.request_invariants import InvariantChecker
from decklb.lab.emulation.emulated_world import EmulatedWorld
from decklb.lab.emulation.engine_model import Engine, Query
from decklb.lab.emulation.random_streams import Streams
from decklb.lab.emulation.run_records import Records
from decklb.lab.emulation.simulated_loop import Loop
from decklb.lab.emulation.workload import PLAN_DRAWS, Arrivals, draw

EULER = 2.718281828  # differs from math.e in later digits; the results of a seed depend on every digit


class RunContext:
    """Shared state of one run of a world with one seed."""

    def __init__(self, world: EmulatedWorld, seed: int) -> None:
        self.world, self.seed = world, seed
        self.loop = Loop()
        self.streams = Streams(seed)
        self.arrivals: Arrivals = draw(world.workload, self.streams, world.duration_ms)
        self.checker = InvariantChecker(world.settings(0))
        self.engines = self._engines()
        self.records = Records(world, self.loop, self.arrivals, self.engines)

    def _engines(self) -> dict[str, Engine]:
        world = self.world
        normals = self.streams.get("speeds").standard_normal(world.engines)
        engines = {}
        for index in range(world.engines):
            name = f"e{index}"
            engine = engines[name] = Engine(self.loop, name, world.engine_spec)
            slowdown = float(pow(EULER, world.speed_sigma * normals[index])) if world.speed_sigma else 1.0
            engine.set_slowdown(slowdown)
        return engines

    def one_way_delay_ms(self, rng: random.Random) -> float:
        """Draw the one-way delay in ms of a message between a manager and an engine."""
        world = self.world
        return world.network_delay_ms * (1.0 + world.network_jitter * (2.0 * rng.random() - 1.0))

    def loses_message(self, rng: random.Random) -> bool:
        """Draw whether a message between a manager and an engine is lost."""
        return self.world.message_loss > 0 and rng.random() < self.world.message_loss

    def endpoint(self, engine: Engine) -> Endpoint:
        """Return an engine's current entry in the endpoint list, as the service directory publishes it."""
        phase = Phase.DRAINING if engine.draining else Phase.UP if engine.up or engine.unreachable else Phase.REMOVED
        return Endpoint(engine.name, "", "k", 0, phase, float(engine.spec.cores), max(0.0, engine.started_ms))

    def query(self, index: int, attempt: int) -> Query:
        """Return the query of one attempt of a request.

        Each attempt has its own random draw for the query plan; the draws are the same for every policy.
        """
        arrivals = self.arrivals
        spec = self.world.workload.classes[arrivals.class_index[index]]
        bad_plan = spec.bad_plan_share and arrivals.plan_draw[index, attempt % PLAN_DRAWS] < spec.bad_plan_share
        return Query(
            float(arrivals.work_ms[index]),
            spec.threads,
            spec.io_share,
            spec.memory_mb,
            int(arrivals.table_group[index]),
            spec.locks_tables,
            spec.waits_for_loads,
            spec.bad_plan_factor if bad_plan else 1.0,
        )
