"""What a run leaves behind: rows of requests, attempts and engine states, and one summary."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from decklb.interface import Outcome
from decklb.wirehost import WORD_BY_OUTCOME

if TYPE_CHECKING:
    from decklb.core.attempts import Attempt
    from decklb.lab.emulation.emulator import Client, Run

LOOK = 1000.0  # ms between looks at the engines
LONGEST = 3_600_000_000  # µs


def jain(values: list[float]) -> float:
    """Fairness, 1 where all fare alike (Jain, Chiu, Hawe, 1984)."""
    total, squares = sum(values), sum(v * v for v in values)
    return total * total / (len(values) * squares) if squares else 1.0


class Records:
    """Rows are kept of every n-th request, so that at most `sample` of them are; sums are kept of all."""

    def __init__(self, run: Run) -> None:
        self.run = run
        w, n = run.world, len(run.arrivals)
        self.every = max(1, -(-n // max(1, w.sample)))
        self.requests: list[tuple[Any, ...]] = []
        self.attempts: list[tuple[Any, ...]] = []
        self.engines: list[tuple[Any, ...]] = []
        self.kinds: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.sends = 0
        classes, tenants = w.workload.classes, w.workload.tenants
        self.asked = [0.0] * len(classes)
        self.earned = [0.0] * len(classes)
        self.tenant_asked = [0.0] * len(tenants)
        self.tenant_earned = [0.0] * len(tenants)
        self.in_time = self.counted = 0
        self.seconds: dict[int, list[float]] = {}  # second: worth asked, worth earned
        self.latency = [HdrHistogram(1, LONGEST, 3) for _ in classes]
        self.load = 0.0
        self.looks = 0
        self.in_system = self.area = self.since = self.stay = 0.0

    def start(self) -> None:
        """Look at the engines from time to time."""
        self.run.loop.call_later(LOOK, self._look)

    def _look(self) -> None:
        now = self.run.loop.now()
        for e in self.run.engines.values():
            share = e.threads / e.spec.cores
            self.load += share
            self.looks += 1
            self.engines.append(
                (now, e.name, e.threads, len(e.running), sum(map(len, e.waiting.values())), e.up, e.memory, e._speed)
            )
        if now < self.run.world.span:
            self.run.loop.call_later(LOOK, self._look)

    def _area(self, change: float) -> None:
        now = self.run.loop.now()
        self.area += self.in_system * (now - self.since)
        self.since = now
        self.in_system += change

    def arrived(self, index: int) -> None:
        """A request came."""
        self._area(1.0)
        a = self.run.arrivals
        if a.time[index] < self.run.world.warm:
            return
        c = self.run.world.workload.classes[a.lane[index]]
        self.counted += 1
        self.asked[a.lane[index]] += c.worth
        self.tenant_asked[a.tenant[index]] += c.worth
        self.seconds.setdefault(int(a.time[index] // 1000), [0.0, 0.0])[0] += c.worth

    def request(self, client: Client, kind: str) -> None:
        """A request is over."""
        self._area(-1.0)
        run, i = self.run, client.index
        a, now = run.arrivals, run.loop.now()
        took = now - client.asked
        self.stay += took
        if a.time[i] < run.world.warm:
            return
        c = run.world.workload.classes[a.lane[i]]
        self.kinds[kind] += 1
        worth = 0.0
        if kind == "served":
            good = took <= c.aim
            self.in_time += good
            worth = c.worth * (1.0 if good else c.late_worth)
            self.earned[a.lane[i]] += worth
            self.tenant_earned[a.tenant[i]] += worth
            self.seconds.setdefault(int(a.time[i] // 1000), [0.0, 0.0])[1] += worth
            self.latency[a.lane[i]].record_value(max(1, int(took * 1000)))
        if i % self.every == 0:
            self.requests.append(
                (
                    float(a.time[i]),
                    i,
                    c.name,
                    run.world.workload.tenants[a.tenant[i]].name,
                    float(a.work[i]),
                    int(a.tables[i]),
                    kind,
                    took,
                    client.tries,
                    client.attempts,
                    worth,
                )
            )

    def attempt(self, a: Attempt, outcome: Outcome) -> None:
        """An attempt is over; those of the warm-up don't count."""
        if a.started_at_ms < self.run.world.warm:
            return
        self.sends += 1
        self.outcomes[WORD_BY_OUTCOME[outcome]] += 1
        if self.sends % self.every == 0:
            self.attempts.append(
                (
                    a.started_at_ms,
                    a.request.incoming.client_request_id,
                    a.number,
                    a.engine_id,
                    WORD_BY_OUTCOME[outcome],
                    self.run.loop.now() - a.started_at_ms,
                )
            )

    def summary(self, took: float) -> dict[str, Any]:
        """One row. All but the fields that begin with `cost_` depend on world and seed alone."""
        run, w = self.run, self.run.world
        asked, earned = sum(self.asked), sum(self.earned)
        books = [e.book for e in run.engines.values()]
        made: dict[str, Any] = {
            "policy": w.policy,
            "seed": run.seed,
            "managers": w.managers,
            "engines": w.engines,
            "requests": self.counted,
            "worth": earned / asked if asked else 0.0,
            "in_time": self.in_time / self.counted if self.counted else 0.0,
        }
        for kind in ("served", "refused", "failed", "left", "lost"):
            made[kind] = self.kinds[kind]
        made["attempts"] = self.sends
        made["attempts_a_request"] = self.sends / self.counted if self.counted else 0.0
        made["fairness"] = jain([e / a for e, a in zip(self.tenant_earned, self.tenant_asked, strict=True) if a])
        made["least_class"] = min((e / a for e, a in zip(self.earned, self.asked, strict=True) if a), default=0.0)
        for share, name in ((50.0, "p50"), (95.0, "p95"), (99.0, "p99")):
            for c, h in zip(w.workload.classes, self.latency, strict=True):
                made[f"{name}_{c.name}"] = h.get_value_at_percentile(share) / 1000.0 if h.get_total_count() else None
        made["load"] = self.load / self.looks if self.looks else 0.0
        made["work_served"] = sum(b.served for b in books)
        made["work_lost"] = sum(b.lost for b in books)
        made["work_done"] = sum(b.burnt for b in books)
        made["work_open"] = sum(e.partial() for e in run.engines.values())
        made["falls"] = sum(b.falls for b in books)
        made["full"] = sum(b.full for b in books)
        if run.probing is not None:
            made["probes_an_engine_a_period"] = run.probing.probes * w.probing / (w.engines * run.loop.now())
        made["little_l"] = self.area / run.loop.now() if run.loop.now() else 0.0
        made["little_lw"] = self.stay / run.loop.now() if run.loop.now() else 0.0
        for rule, n in sorted(run.checker.faults.items()):
            made[f"broken_{rule}"] = n
        made["broken"] = sum(run.checker.faults.values())
        made["events"] = run.loop.made
        steps = sum(m.steps for m in run.managers)
        made["cost_run_s"] = took
        made["cost_step_us"] = 1e6 * sum(m.cost for m in run.managers) / max(1, steps)
        made["cost_steps_s"] = sum(m.cost for m in run.managers)
        return made
