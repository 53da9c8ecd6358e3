"""Immutable definition of an emulated world: its workload, managers, engines, network and injected faults.

Experiments build an `EmulatedWorld` from their file, and the emulator runs it. The world also creates the settings of
each emulated manager. Times are simulated milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from decklb import interface as api
from decklb.interface import Settings
from decklb.lab.emulation.engine_model import EngineSpec
from decklb.lab.emulation.workload import RequestClass, Workload

ENGINE_KIND = "k"  # all engines of an emulated world are of this kind
DRAIN_GRACE_MS = 2000.0
KEY_HOLD_DOWN_MS = 300.0  # ms for which managers block an ordering key after an uncertain outcome


class FaultKind(Enum):
    """Kind of an injected fault. The values are those of the experiment file."""

    KILL = "kill"  # engines stop and reset their connections
    VANISH = "vanish"  # engines stop without resetting connections; nothing answers any more
    DRAIN = "drain"  # the endpoint list marks engines as draining, then they stop
    SLOW = "slow"  # engines are slower by the factor `slowdown`
    MANAGER = "manager"  # managers are killed


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault that affects some engines or managers at the same time.

    Attributes:
        at_ms: Time of the fault.
        kind: Kind of the fault.
        duration_ms: Time in ms until the victims recover; engines restart under the same name and have to warm up
            again. 0: never.
        victim_share: Fraction of the engines or managers that are affected; the victims are drawn at random.
        victim_count: Number of victims; 0: determined by `victim_share`.
        slowdown: Factor by which slow engines take longer.
    """

    at_ms: float
    kind: FaultKind
    duration_ms: float = 0.0
    victim_share: float = 0.0
    victim_count: int = 0
    slowdown: float = 1.0

    def victims(self, candidates: int) -> int:
        """Return the number of victims among that many engines or managers."""
        return min(candidates, self.victim_count or round(self.victim_share * candidates))


@dataclass(frozen=True, slots=True)
class EmulatedWorld:
    """Everything that defines an emulated run, apart from the seed.

    Attributes:
        workload: Arrivals, classes and tenants.
        managers, engines: Number of managers and of engines.
        engine_spec: Properties of every engine.
        duration_ms: Time in ms during which requests arrive.
        warm_up_ms: Time in ms at the start that is excluded from the figures.
        policy: Name of the managers' policy, a key of `policies.POLICIES`.
        network_delay_ms: Mean one-way delay of a message between manager and engine in ms.
        network_jitter: Maximum deviation from that delay, as a fraction of it.
        message_loss: Probability that a message of an attempt is lost, in each direction.
        list_delay_ms: Mean delay in ms until a manager receives a change of the endpoint list.
        partial_update_share: Fraction of the updates that contain only the changed entries.
        tick_ms: Tick of the managers' policies in ms.
        max_attempts: Maximum number of attempts of one request.
        retry_budget_floor, retry_budget_ratio, retry_budget_window_ms: Retry budget of the managers.
        max_retry_after_ms: Longest delay in ms that managers give clients for a retry; 0: they give none.
        faults: Faults to inject.
        speed_sigma: Sigma of the lognormal factor on the engines' speed.
        health_check_period_ms: Time in ms between two health checks of an engine, which the managers share through
            their cluster; 0: no health checks.
        max_recorded_requests: Maximum number of requests that are stored as rows.
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
        """Return the settings of one manager; they do not reveal the engines' true speeds."""
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
            key_hold_down_ms=KEY_HOLD_DOWN_MS,
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
