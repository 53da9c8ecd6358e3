"""Statistics of each request class, learned from answers: run time, work, and memory over its estimate.

There is one `ClassStatistics` per class. The gateway updates it with every answer; queueing, slow start, load
shedding and memory grants read it. The moving averages start as plain means, so that the first answers have
their full weight.
"""

from __future__ import annotations

import random
from bisect import insort
from dataclasses import dataclass, field

from decklb.interface import AttemptEnded
from decklb.policy.constants import EWMA_WEIGHT

# Number of memory ratios of a class from which memory is granted; the best run time of a class is tracked
# after half as many answers.
MIN_ANSWERS = 20
MAX_MEMORY_RATIOS = 10 * MIN_ANSWERS  # sample size per class, large enough for a quantile of 0.96
# The memory need is assumed to grow with this power of its estimate, not in proportion to it, because the
# estimates vary as widely as the needs.
MEMORY_ESTIMATE_EXPONENT = 0.5
MAX_RELATIVE_ESTIMATE = 5  # multiple of the mean at which a single estimate is capped: they have a long tail
MAX_ANSWER_SLOWDOWN = 4.0  # cap of the slowdown of one answer


@dataclass(slots=True, eq=False)
class ClassStatistics:
    """Learned statistics of one request class."""

    run_ms: float  # mean run time of answered queries in ms
    work_ms: float  # mean work in ms of one thread
    normalized_run_ms: float  # mean of the run time divided by the relative size, in ms
    best_run_ms: float  # lowest value of that mean so far in ms; it slowly rises, to follow changes
    mean_estimate: float = 0.0  # mean of the clients' work estimates in ms; 0: there are none
    answers: int = 0  # number of answers so far
    # Sorted sample: memory used over the estimate to the power of `MEMORY_ESTIMATE_EXPONENT`
    memory_ratios: list[float] = field(default_factory=list)
    unsent_memory_ratio: float = 0.0  # ratio of the last own answer, until it is sent to peers; 0: none

    @classmethod
    def initial(cls, run_ms: float, threads: int) -> ClassStatistics:
        """Return the guesses that hold until the first answer."""
        return cls(run_ms, run_ms * threads, run_ms, run_ms)

    def relative_size(self, estimate: float) -> float:
        """Return a work estimate over the mean of its class; 1 without an estimate."""
        return estimate / self.mean_estimate if estimate > 0 and self.mean_estimate > 0 else 1.0

    def learn_estimate(self, estimate: float) -> None:
        """Update the mean with the work estimate of a new request; 0 is no estimate."""
        if estimate > 0:
            weight = EWMA_WEIGHT if self.mean_estimate else 1.0
            self.mean_estimate += weight * (
                min(estimate, MAX_RELATIVE_ESTIMATE * self.mean_estimate or estimate) - self.mean_estimate
            )

    def learn_answer(
        self, answer: AttemptEnded, threads: int, relative_size: float, estimate_mb: float, rng: random.Random
    ) -> float:
        """Update the statistics with an answer and return its slowdown.

        The slowdown is the duration over the usual duration, at most `MAX_ANSWER_SLOWDOWN`.
        """
        self.answers += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.answers)
        normalized = answer.duration_ms / relative_size
        self.normalized_run_ms += weight * (normalized - self.normalized_run_ms)
        if self.answers > MIN_ANSWERS / 2:
            self.best_run_ms = min(self.best_run_ms, self.normalized_run_ms) * (1 + EWMA_WEIGHT * EWMA_WEIGHT)
        slowdown = (
            answer.duration_ms * threads / answer.work_ms if answer.work_ms else normalized / self.best_run_ms
        )
        self.run_ms += weight * (answer.duration_ms - self.run_ms)
        # If the engine does not report the work, it is estimated from the best run time: the current run
        # time grows under overload, and latency objectives that depend on the work would grow with it.
        work = answer.work_ms or min(answer.duration_ms, self.best_run_ms) * threads
        self.work_ms += weight * (work - self.work_ms)
        self.unsent_memory_ratio = answer.memory_mb / (estimate_mb or 1.0) ** MEMORY_ESTIMATE_EXPONENT
        self.add_memory_ratio(self.unsent_memory_ratio, rng)
        return min(MAX_ANSWER_SLOWDOWN, slowdown)

    def add_memory_ratio(self, ratio: float, rng: random.Random) -> None:
        """Add a ratio to the sorted random sample; 0 means that no memory was reported."""
        if ratio <= 0:
            return
        if len(self.memory_ratios) > MAX_MEMORY_RATIOS:
            del self.memory_ratios[rng.randrange(len(self.memory_ratios))]
        insort(self.memory_ratios, ratio)

    def take_unsent_memory_ratio(self) -> float:
        """Return the ratio of the last own answer once, then 0."""
        ratio, self.unsent_memory_ratio = self.unsent_memory_ratio, 0.0
        return ratio
