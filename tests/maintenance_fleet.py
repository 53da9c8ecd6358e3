"""Members of the maintenance plan on a simulated network that loses a tenth of the datagrams, by seed."""

import random

from decklb.maintenance.fleet_observer import LocalObservation
from decklb.maintenance.fleet_status import MachineStatus
from decklb.maintenance.operator_requests import MaintenanceRequest
from decklb.maintenance.orchestrator import MaintenanceOrchestrator
from decklb.maintenance.settings import MaintenanceSettings

ENGINES = {f"{z}{i}": MachineStatus(f"{z}{i}", z, 8.0) for z in "ab" for i in range(2)}


def fleet_settings(**more):
    return MaintenanceSettings(
        max_unavailable_zone_fraction=0.5, warm_up_ms=300.0, drain_timeout_ms=2000.0, default_window_ms=9000.0, **more
    )


def stages(plan):
    """The stage of each machine, by name."""
    return {machine.name: machine.stage.name.lower() for job in plan.jobs for machine in job.machines}


def request(job_id, *targets, reason=""):
    """An operator's request with the default window."""
    return MaintenanceRequest(job_id, targets, reason, 0)


class Fleet:
    """Members on a network that loses a tenth of the datagrams, by seed."""

    def __init__(self, seed):
        self.rng, self.now, self.queue = random.Random(seed), 0.0, []
        self.names = ["m0", "m1", "m2"]
        self.s = fleet_settings(
            member_count=3, absent_after_ms=3000.0, round_timeout_ms=200.0, tick_ms=100.0, report_ttl_ms=1000.0
        )
        self.nodes = {n: self.make(n) for n in self.names}
        self.busy, self.down, self.dead = {}, set(), set()

    def make(self, name):
        c = MaintenanceOrchestrator(self.s, name, self.rng.getrandbits(40), random.Random(self.rng.random()), self.now)
        c.update_engines(ENGINES)
        return c

    def run(self, ms, watch=lambda: None):
        end = self.now + ms
        while self.now < end:
            for sender, to, data in self.queue:
                if to not in self.dead and sender not in self.dead:
                    self.nodes[to].receive(self.now, sender, data)
            self.queue.clear()
            alive = [n for n in self.names if n not in self.dead]
            for name in alive:
                c = self.nodes[name]
                c.update_members(self.now, alive, self.names)
                c.tick(self.now, 1000.0 + self.now, LocalObservation(self.busy, frozenset(self.down)))
            for name in alive:
                c = self.nodes[name]
                for to, data in c.outgoing:
                    self.queue += [
                        (name, o, data) for o in ([to] if to else self.names) if o != name and self.rng.random() > 0.1
                    ]
                c.outgoing = []
            watch()
            self.now += 50.0
