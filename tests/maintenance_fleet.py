"""Members of the maintenance plan on a seeded simulated network that loses 10% of the datagrams."""

import random

from decklb.maintenance.fleet_observer import LocalObservation
from decklb.maintenance.fleet_status import MachineStatus
from decklb.maintenance.operator_requests import MaintenanceRequest
from decklb.maintenance.orchestrator import MaintenanceOrchestrator
from decklb.maintenance.settings import MaintenanceSettings

ENGINES = {f"{z}{i}": MachineStatus(f"{z}{i}", z, 8.0) for z in "ab" for i in range(2)}


def fleet_settings(**overrides):
    return MaintenanceSettings(
        max_unavailable_zone_fraction=0.5,
        warm_up_ms=300.0,
        drain_timeout_ms=2000.0,
        default_window_ms=9000.0,
        **overrides,
    )


def stages(plan):
    """Return the stage of each machine, by machine name."""
    return {machine.name: machine.stage.name.lower() for job in plan.jobs for machine in job.machines}


def request(job_id, *targets, reason=""):
    """Return an operator's request with the default window."""
    return MaintenanceRequest(job_id, targets, reason, 0)


class Fleet:
    """Three members and the simulated network between them.

    Attributes:
        in_flight: Number of attempts that each member has in flight, by engine.
        unreachable: Engines that no member can reach.
        dead: Members whose process has ended.
    """

    def __init__(self, seed):
        self.rng, self.now, self.queue = random.Random(seed), 0.0, []
        self.names = ["m0", "m1", "m2"]
        self.settings = fleet_settings(
            member_count=3, absent_after_ms=3000.0, round_timeout_ms=200.0, tick_ms=100.0, report_ttl_ms=1000.0
        )
        self.members = {name: self.start_member(name) for name in self.names}
        self.in_flight, self.unreachable, self.dead = {}, set(), set()

    def start_member(self, name):
        """Start a new process of a member, which knows nothing of what an earlier process knew."""
        member = MaintenanceOrchestrator(
            self.settings, name, self.rng.getrandbits(40), random.Random(self.rng.random()), self.now
        )
        member.update_engines(ENGINES)
        return member

    def run(self, duration_ms, on_step=lambda: None):
        """Simulate a duration in steps of 50 ms; `on_step` is called after each step."""
        end = self.now + duration_ms
        while self.now < end:
            for sender, receiver, data in self.queue:
                if receiver not in self.dead and sender not in self.dead:
                    self.members[receiver].receive(self.now, sender, data)
            self.queue.clear()
            alive = [name for name in self.names if name not in self.dead]
            for name in alive:
                member = self.members[name]
                member.update_members(self.now, alive, self.names)
                member.tick(self.now, 1000.0 + self.now, LocalObservation(self.in_flight, frozenset(self.unreachable)))
            for name in alive:
                self.send_datagrams(name)
            on_step()
            self.now += 50.0

    def send_datagrams(self, name):
        """Queue a member's datagrams for their receivers; 10% are lost."""
        member = self.members[name]
        for receiver, data in member.outgoing:
            for other in [receiver] if receiver else self.names:
                if other != name and self.rng.random() > 0.1:
                    self.queue.append((name, other, data))
        member.outgoing = []
