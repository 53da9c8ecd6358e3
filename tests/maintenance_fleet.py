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
    """Three members; `busy` are attempts in flight, `down` engines that nobody reaches, `dead` members that ended."""

    def __init__(self, seed):
        self.rng, self.now, self.queue = random.Random(seed), 0.0, []
        self.names = ["m0", "m1", "m2"]
        self.settings = fleet_settings(
            member_count=3, absent_after_ms=3000.0, round_timeout_ms=200.0, tick_ms=100.0, report_ttl_ms=1000.0
        )
        self.nodes = {name: self.make(name) for name in self.names}
        self.busy, self.down, self.dead = {}, set(), set()

    def make(self, name):
        """A new process of a member, which has forgotten what the former one knew."""
        node = MaintenanceOrchestrator(
            self.settings, name, self.rng.getrandbits(40), random.Random(self.rng.random()), self.now
        )
        node.update_engines(ENGINES)
        return node

    def run(self, duration_ms, watch=lambda: None):
        """Let time pass in steps of 50 ms; `watch` is called after each."""
        end = self.now + duration_ms
        while self.now < end:
            for sender, receiver, data in self.queue:
                if receiver not in self.dead and sender not in self.dead:
                    self.nodes[receiver].receive(self.now, sender, data)
            self.queue.clear()
            alive = [name for name in self.names if name not in self.dead]
            for name in alive:
                node = self.nodes[name]
                node.update_members(self.now, alive, self.names)
                node.tick(self.now, 1000.0 + self.now, LocalObservation(self.busy, frozenset(self.down)))
            for name in alive:
                self.send(name)
            watch()
            self.now += 50.0

    def send(self, name):
        """Queue a member's datagrams for their receivers; a tenth is lost."""
        node = self.nodes[name]
        for receiver, data in node.outgoing:
            for other in [receiver] if receiver else self.names:
                if other != name and self.rng.random() > 0.1:
                    self.queue.append((name, other, data))
        node.outgoing = []
