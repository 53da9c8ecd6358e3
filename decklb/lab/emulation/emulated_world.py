"""The definition of one emulated world: its workload, managers, engines, network and injected faults, all immutable.

Experiments build a `World` from their file; a run plays it. It also makes the settings that each emulated manager is
given. Times are simulated milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from decklb import interface as api
from decklb.interface import Effect, Settings
from decklb.lab.emulation.engine_model import EngineSpec
from decklb.lab.emulation.workload import Workload


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong at `at`: kill, vanish, drain, slow (by `times`) engines, or kill a manager.

    `share` of them are hit, drawn; `length` later they come back (an engine cold, under its own id).
    """

    at: float
    what: str
    length: float = 0.0
    share: float = 0.0
    count: int = 0
    times: float = 1.0

    def victims(self, candidates: int) -> int:
        """How many of so many engines or managers are struck: `count`, or else `share` of them."""
        return min(candidates, self.count or round(self.share * candidates))


@dataclass(frozen=True, slots=True)
class World:
    """What is emulated."""

    workload: Workload
    managers: int = 3
    engines: int = 8
    engine: EngineSpec = field(default_factory=EngineSpec)
    span: float = 60_000.0
    warm: float = 0.0  # ms at the start that don't count
    policy: str = "decklb"
    delay: float = 0.5  # ms one way, mean
    jitter: float = 0.5  # share of it
    loss: float = 0.0  # of attempts' messages, either way
    list_late: float = 500.0  # ms until a manager hears of a change
    list_partial: float = 0.0  # share of news that names only what changed
    tick: float = 5.0
    max_attempts: int = 4
    extra_floor: float = 2.0
    extra_ratio: float = 0.1
    extra_window: float = 5000.0
    retry_after: float = 500.0
    faults: tuple[Fault, ...] = ()
    uneven: float = 0.0  # sigma of a lognormal factor on engines' speed
    probing: float = 0.0  # ms between probes of an engine, shared by the managers' cluster; 0 for none
    sample: int = 100_000  # requests kept in tables at the most

    def settings(self, me: int) -> Settings:
        """What each manager is told; true speeds are not."""
        w, e = self.workload, self.engine
        classes = {
            c.name: api.ClassSpec(
                c.name,
                c.aim,
                c.deadline,
                c.worth,
                c.late_worth,
                0.0,
                Effect(c.effect),
                serial=c.serial,
                threads=c.threads,
                holds=c.holds,
                yields=c.yields,
            )
            for c in w.classes
        }
        tenants = {t.name: api.TenantSpec(t.name, t.share) for t in w.tenants}
        return Settings(
            classes,
            tenants,
            me=me,
            fronts=self.managers,
            cores={"k": e.cores},
            cancelling=True,
            retry_after=self.retry_after > 0,
            max_retry_after=self.retry_after,
            max_attempts=self.max_attempts,
            cold_share=e.cold_share,
            cold=e.cold,
            overload_factor=e.overload,
            fall=e.fall,
            drain_grace=2000.0,
            extra_floor=self.extra_floor,
            extra_ratio=self.extra_ratio,
            extra_window=self.extra_window,
            settle=300.0,
            tick=self.tick,
        )
