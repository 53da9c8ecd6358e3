"""The definition of one emulated world: its workload, managers, engines, network and injected faults, all immutable.

Experiments build an `EmulatedWorld` from their file; the emulator plays it. It also makes the settings that each
emulated manager is given. Times are simulated milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from decklb import interface as api
from decklb.interface import Settings
from decklb.lab.emulation.engine_model import EngineSpec
from decklb.lab.emulation.workload import RequestClass, Workload

ENGINE_KIND = "k"  # the only kind of engine in an emulated world
DRAIN_GRACE_MS = 2000.0
SETTLE_MS = 300.0  # how long managers wait after an uncertain outcome


class FaultKind(Enum):
    """What an injected fault does. Values are those of the experiment's file."""

    KILL = "kill"  # engines end and reset their connections
    VANISH = "vanish"  # engines end and nothing answers
    DRAIN = "drain"  # the endpoint list calls engines draining, then they end
    SLOW = "slow"  # engines take `slowdown` times as long
    MANAGER = "manager"  # managers are killed


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault that strikes some engines or managers at once.

    Attributes:
        at_ms: When it strikes.
        kind: What it does.
        duration_ms: After which its victims come back (an engine with its warm-up, under its own name); 0 for never.
        victim_share: Share of engines or managers that are struck, drawn by seed.
        victim_count: Their number; where it is 0, `victim_share` decides.
        slowdown: Times as long that slow engines take.
    """

    at_ms: float
    kind: FaultKind
    duration_ms: float = 0.0
    victim_share: float = 0.0
    victim_count: int = 0
    slowdown: float = 1.0

    def victims(self, candidates: int) -> int:
        """Return how many of so many engines or managers are struck."""
        return min(candidates, self.victim_count or round(self.victim_share * candidates))


@dataclass(frozen=True, slots=True)
class EmulatedWorld:
    """What is emulated.

    Attributes:
        workload: Arrivals, classes and tenants.
        managers, engines: How many.
        engine_spec: What all engines are like.
        duration_ms: Over which requests arrive.
        warm_up_ms: At the start, in which nothing is counted.
        policy: Name of the managers' policy, of `policies.POLICIES`.
        network_delay_ms: Mean delay of a message between manager and engine, one way.
        network_jitter: Share of the delay by which it varies, either way.
        message_loss: Share of attempts' messages that are lost, either way.
        list_delay_ms: Mean time until a manager has a change of the endpoint list.
        partial_update_share: Share of updates that name only what changed.
        tick_ms: Of the managers' policies.
        max_attempts: For each request.
        retry_budget_floor, retry_budget_ratio, retry_budget_window_ms: The managers' retry budget.
        max_retry_after_ms: That managers tell clients to wait; 0 for no such word.
        faults: What goes wrong.
        speed_sigma: Sigma of a lognormal factor on engines' speed.
        health_check_period_ms: Between health checks of an engine, shared by the managers' cluster; 0 for none.
        max_recorded_requests: Rows kept at most.
    """

    workload: Workload
    managers: int = 3
    engines: int = 8
    engine_spec: EngineSpec = field(default_factory=EngineSpec)
    duration_ms: float = 60_000.0
    warm_up_ms: float = 0.0
    policy: str = "decklb"
    network_delay_ms: float = 0.5
    network_jitter: float = 0.5
    message_loss: float = 0.0
    list_delay_ms: float = 500.0
    partial_update_share: float = 0.0
    tick_ms: float = 5.0
    max_attempts: int = 4
    retry_budget_floor: float = 2.0
    retry_budget_ratio: float = 0.1
    retry_budget_window_ms: float = 5000.0
    max_retry_after_ms: float = 500.0
    faults: tuple[InjectedFault, ...] = ()
    speed_sigma: float = 0.0
    health_check_period_ms: float = 0.0
    max_recorded_requests: int = 100_000

    def settings(self, manager: int) -> Settings:
        """Return the settings of one manager; the engines' true speeds are not among them."""
        spec = self.engine_spec
        return Settings(
            {c.name: _class_settings(c) for c in self.workload.classes},
            {t.name: api.TenantSpec(t.name, t.contract_share) for t in self.workload.tenants},
            gateway_index=manager,
            gateway_count=self.managers,
            cores_by_kind={ENGINE_KIND: spec.cores},
            cancellation=True,
            retry_after=self.max_retry_after_ms > 0,
            max_retry_after_ms=self.max_retry_after_ms,
            max_attempts=self.max_attempts,
            slow_start_min_fraction=spec.initial_capacity,
            slow_start_window_ms=spec.warm_up_ms,
            slow_start_overload_factor=spec.overload_factor,
            slow_start_budget_window_ms=spec.overload_window_ms,
            drain_grace_ms=DRAIN_GRACE_MS,
            retry_budget_floor=self.retry_budget_floor,
            retry_budget_ratio=self.retry_budget_ratio,
            retry_budget_window_ms=self.retry_budget_window_ms,
            key_hold_down_ms=SETTLE_MS,
            tick_ms=self.tick_ms,
        )


def _class_settings(spec: RequestClass) -> api.RequestClass:
    return api.RequestClass(
        spec.name,
        spec.latency_objective_ms,
        spec.deadline_ms,
        spec.priority_weight,
        spec.late_priority_weight,
        0.0,
        spec.effect,
        ordered_by_key=spec.ordered_by_key,
        threads=spec.threads,
        locks_tables=spec.locks_tables,
        waits_for_loads=spec.waits_for_loads,
    )
