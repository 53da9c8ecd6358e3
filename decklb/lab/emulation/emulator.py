"""Runs one emulated world with one seed: clients, managers, network, engines, endpoint list and injected faults.

`Run` submits the requests at their arrival times, sends updates of the endpoint list to the managers and injects the
faults. Experiments and tests create it and call `run`. Times are simulated milliseconds. Apart from figures of real
time, the results depend on the `EmulatedWorld` and the seed only.
"""

from __future__ import annotations

import random
import time
from functools import partial
from typing import Any

from decklb.core.ports import IncomingRequest
from decklb.interface import Phase
from decklb.lab.emulation.emulated_world import EmulatedWorld, FaultKind, InjectedFault
from decklb.lab.emulation.engine_model import Engine
from decklb.lab.emulation.managers_and_clients import Client, Manager
from decklb.lab.emulation.run_context import RunContext
from decklb.lab.emulation.run_records import RunTotals
from decklb.lab.emulation.shared_health_checks import SharedHealthChecks

WIND_DOWN_MS = 2000.0  # ms simulated after the last deadline; every request must have ended by then
DRAIN_MS = 2000.0  # ms that a draining engine stays up after the last manager has been notified
NEVER_LEAVES_MS = 1e12  # a client with a patience of at least this many ms never leaves


class Run:
    """One run of a world with one seed.

    Attributes:
        context: State shared with managers and clients.
        managers: All managers, indexed by number, including killed ones.
        health_checks: The health checks shared by the managers; None if the world has none.
    """

    def __init__(self, world: EmulatedWorld, seed: int) -> None:
        self.world, self.seed = world, seed
        context = self.context = RunContext(world, seed)
        self.loop, self.streams, self.arrivals = context.loop, context.streams, context.arrivals
        self.checker, self.records, self.engines = context.checker, context.records, context.engines
        for engine in self.engines.values():
            engine.on_crash = lambda engine=engine: self._on_engine_crash(engine)  # type: ignore[misc]
        self.health_checks: SharedHealthChecks | None = None
        if world.health_check_period_ms:
            self.health_checks = SharedHealthChecks(world, self.loop, self.streams, self.engines, self._on_health_check)
        self.managers = [Manager(context, number, self.health_checks) for number in range(world.managers)]
        self._next_arrival = 0
        self._list_rng = random.Random(self.streams.number("list"))

    def run(self) -> dict[str, Any]:
        """Run the simulation to its end and return the summary, one row of figures."""
        started = time.perf_counter()
        for manager in self.managers:
            manager.start()
        if len(self.arrivals):
            self.loop.call_later(float(self.arrivals.time_ms[0]), self._handle_arrival)
        for number, fault in enumerate(self.world.faults):
            self.loop.call_later(fault.at_ms, lambda n=number, f=fault: self._inject(n, f))  # type: ignore[misc]
        self.records.start()
        self.loop.run(self._end_ms())
        self.checker.run_ended()
        return self.records.summary(self._totals(time.perf_counter() - started))

    def _end_ms(self) -> float:
        last_arrival = float(self.arrivals.time_ms[-1]) if len(self.arrivals) else 0.0
        longest_deadline = max(spec.deadline_ms for spec in self.world.workload.classes)
        return max(self.world.duration_ms, last_arrival) + longest_deadline + WIND_DOWN_MS

    def _totals(self, run_seconds: float) -> RunTotals:
        return RunTotals(
            seed=self.seed,
            health_checks=None if self.health_checks is None else self.health_checks.started,
            violations={str(rule): count for rule, count in self.checker.violations.items()},
            loop_calls=self.loop.calls_made,
            steps=sum(manager.steps for manager in self.managers),
            step_seconds=sum(manager.step_seconds for manager in self.managers),
            run_seconds=run_seconds,
        )

    # Requests.

    def _handle_arrival(self) -> None:
        index = self._next_arrival
        self._next_arrival += 1
        if self._next_arrival < len(self.arrivals):
            self.loop.call_later(
                float(self.arrivals.time_ms[self._next_arrival]) - self.loop.now(), self._handle_arrival
            )
        client = Client(self.context, index, self._submit)
        self.records.request_arrived(index)
        if self.arrivals.leave_after_ms[index] < NEVER_LEAVES_MS:
            self.loop.call_later(float(self.arrivals.leave_after_ms[index]), client.leave)
        self._submit(client)

    def _submit(self, client: Client) -> None:
        """Submit a client's request to the manager assigned to it or, if that one is down, to the next that is up."""
        if client.finished:
            return
        arrivals, index = self.arrivals, client.index
        spec = self.world.workload.classes[arrivals.class_index[index]]
        manager = self._manager_for(index)
        time_left_ms = client.issued_ms + spec.deadline_ms - self.loop.now()
        if manager is None or time_left_ms <= 0:
            client.mark_lost()
            return
        client.submissions += 1
        request_id = f"{index:x}.{client.submissions}"
        tenant = self.world.workload.tenants[arrivals.tenant_index[index]].name
        key = f"{spec.name}/{arrivals.key[index]}" if arrivals.key[index] >= 0 else None
        incoming_request = IncomingRequest(
            request_id, spec.name, tenant, time_left_ms, b"", int(arrivals.table_group[index]), key
        )
        manager.submit(client, incoming_request)

    def _manager_for(self, index: int) -> Manager | None:
        """Return the manager for a request, None if all are down.

        Requests with the same ordering key go to the same manager while it is up.
        """
        count = len(self.managers)
        first = int(self.arrivals.manager_draw[index] * count)
        if self.arrivals.key[index] >= 0:
            first = int(self.arrivals.key[index]) % count
        candidates = (self.managers[(first + offset) % count] for offset in range(count))
        return next((manager for manager in candidates if manager.up), None)

    # The endpoint list.

    def _publish(self, changed: list[Engine]) -> None:
        """Send each manager an update after a random delay: the complete list or only the changed engines."""
        for manager in self.managers:
            changed_only = self._list_rng.random() < self.world.partial_update_share
            entries = [self.context.endpoint(e) for e in (changed if changed_only else self.engines.values())]
            if not changed_only:
                entries = [entry for entry in entries if entry.phase is not Phase.REMOVED]
            delay_ms = self.world.list_delay_ms * (0.5 + self._list_rng.random())
            self.loop.call_later(delay_ms, partial(manager.update_endpoints, entries, not changed_only))

    def _on_engine_crash(self, engine: Engine) -> None:
        self.checker.engine_crashed(engine.name)
        self._publish([engine])
        self.loop.call_later(self.world.engine_spec.restart_ms + 1.0, lambda: self._publish([engine]))

    def _on_health_check(self, number: int, engine: str, up: bool) -> None:
        self.managers[number].health_check_result(engine, up)

    # Faults.

    def _inject(self, number: int, fault: InjectedFault) -> None:
        rng = random.Random(self.streams.number(f"fault {number}"))
        if fault.kind is FaultKind.MANAGER:
            for manager in rng.sample(self.managers, fault.victims(len(self.managers))):
                self._kill_manager(manager, fault)
            return
        engines = list(self.engines.values())
        victims = rng.sample(engines, fault.victims(len(engines)))
        for engine in victims:
            self._inject_engine_fault(engine, fault)
        if fault.kind is not FaultKind.SLOW:
            self._publish(victims)

    def _kill_manager(self, manager: Manager, fault: InjectedFault) -> None:
        if manager.up:
            manager.kill()
            if fault.duration_ms:
                self.loop.call_later(fault.duration_ms, manager.start)

    def _inject_engine_fault(self, engine: Engine, fault: InjectedFault) -> None:
        if fault.kind is FaultKind.SLOW:
            previous = engine.slowdown
            engine.set_slowdown(previous * fault.slowdown)
            if fault.duration_ms:
                self.loop.call_later(fault.duration_ms, lambda: engine.set_slowdown(previous))
            return
        if fault.kind is FaultKind.DRAIN:
            engine.draining = True
            drained_ms = self.world.list_delay_ms * 1.5 + DRAIN_MS
            self.loop.call_later(drained_ms, lambda: engine.stop() if engine.draining else None)
        else:
            engine.stop(silent=fault.kind is FaultKind.VANISH)
        if fault.duration_ms:
            self.loop.call_later(fault.duration_ms, lambda: self._restart_engine(engine))

    def _restart_engine(self, engine: Engine) -> None:
        engine.unreachable = False
        engine.start()
        self._publish([engine])
