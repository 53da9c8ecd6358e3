"""What answers have taught about each request class: run time, work and the memory needed over estimated.

One `ClassStatistics` a class; the gateway feeds it every answer, queueing, slow start, load shedding and
memory grants read it. Moving averages start as plain means, so that the first answers count in full.
"""

from __future__ import annotations

import random
from bisect import insort
from dataclasses import dataclass, field

from decklb.interface import AttemptEnded
from decklb.policy.constants import EWMA_WEIGHT

TRUSTED_ANSWERS = 20  # answers before learned figures replace guesses
MEMORY_SAMPLES = 10 * TRUSTED_ANSWERS  # samples of memory need kept a class: enough for a quantile of 0.96
MEMORY_ESTIMATE_EXPONENT = 0.5  # power of an estimate that is believed: estimates scatter as widely as needs
MAX_COST_STEP = 5  # times the mean that a single cost estimate may count: estimates have a long tail
MAX_ANSWER_SLOWDOWN = 4.0  # times the usual that one answer may count


@dataclass(slots=True, eq=False)
class ClassStatistics:
    """Learned figures of one class."""

    run_ms: float  # mean time that an answered query ran
    work_ms: float  # mean work on one thread
    normalized_run_ms: float  # mean run time of a query of usual size
    best_run_ms: float  # the least mean of that so far, slowly forgotten
    mean_cost: float = 0.0  # mean of the clients' cost estimates, 0 while there are none
    answers: int = 0
    memory_ratios: list[float] = field(default_factory=list)  # sorted sample: memory needed over estimated
    unsent_memory_ratio: float = 0.0  # the last of these, until peers have been told

    @classmethod
    def initial(cls, run_ms: float, threads: int) -> ClassStatistics:
        """The guess before any answer."""
        return cls(run_ms, run_ms * threads, run_ms, run_ms)

    def relative_size(self, cost: float) -> float:
        """A cost estimate over the mean of its class; 1 where there is none."""
        return cost / self.mean_cost if cost > 0 and self.mean_cost > 0 else 1.0

    def learn_cost(self, cost: float) -> None:
        """Follow the cost estimates that requests bring along; 0 is none."""
        if cost > 0:
            weight = EWMA_WEIGHT if self.mean_cost else 1.0
            self.mean_cost += weight * (min(cost, MAX_COST_STEP * self.mean_cost or cost) - self.mean_cost)

    def learn_answer(
        self, answer: AttemptEnded, threads: int, relative_size: float, estimate_mb: float, rng: random.Random
    ) -> float:
        """Learn from an answer and return its slowdown: times the usual that it took, capped."""
        self.answers += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.answers)
        normalized = answer.duration_ms / relative_size
        self.normalized_run_ms += weight * (normalized - self.normalized_run_ms)
        if self.answers > TRUSTED_ANSWERS / 2:
            self.best_run_ms = min(self.best_run_ms, self.normalized_run_ms) * (1 + EWMA_WEIGHT * EWMA_WEIGHT)
        slowdown = (
            answer.duration_ms * threads / answer.work_ms if answer.work_ms else normalized / self.best_run_ms
        )
        self.run_ms += weight * (answer.duration_ms - self.run_ms)
        # Without bills the best time tells of work: run times grow with a jam, and objectives with them.
        work = answer.work_ms or min(answer.duration_ms, self.best_run_ms) * threads
        self.work_ms += weight * (work - self.work_ms)
        self.unsent_memory_ratio = answer.memory_mb / (estimate_mb or 1.0) ** MEMORY_ESTIMATE_EXPONENT
        self.add_memory_ratio(self.unsent_memory_ratio, rng)
        return min(MAX_ANSWER_SLOWDOWN, slowdown)

    def add_memory_ratio(self, ratio: float, rng: random.Random) -> None:
        """Keep a sorted random sample of ratios; 0 means that no memory was billed."""
        if ratio <= 0:
            return
        if len(self.memory_ratios) > MEMORY_SAMPLES:
            del self.memory_ratios[rng.randrange(len(self.memory_ratios))]
        insort(self.memory_ratios, ratio)

    def take_unsent_memory_ratio(self) -> float:
        """The last ratio learned from an own answer, once; 0 for none."""
        ratio, self.unsent_memory_ratio = self.unsent_memory_ratio, 0.0
        return ratio
