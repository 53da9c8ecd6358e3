"""What happens in one run of a soak, drawn from its seed. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from decklb.lab.crowds.shapes import Crowd, draw_crowds

DRAIN_GRACE_S = 0.7  # after the longest deadline, before SIGKILL may follow SIGTERM
MAX_DEADLINE_S = 3.0  # longer deadlines count as this long
RESTART_DELAY_S = 1.0
KILL_DURING_START_S = 0.72  # after a start, for a second SIGKILL
DEADLINES_MS = (600.0, 1500.0, 3000.0)


class Step(StrEnum):
    """Something that is done to a manager or to an engine."""

    KILL = "kill"  # SIGKILL
    START = "start"
    TERMINATE = "terminate"  # SIGTERM
    RELOAD = "reload"  # SIGHUP
    DROP_CONNECTIONS = "drop-connections"  # an engine closes all of its connections
    REPLACE_ENGINE = "replace-engine"  # another process, under a new id, takes the address of an engine


@dataclass(frozen=True, slots=True)
class TimedStep:
    """A step at a time in seconds from the start of the load, at one of the managers."""

    at_s: float
    step: Step
    manager: int = 0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run.

    Attributes:
        seed: Seed of the run.
        front: Protocol of the clients.
        deadline_ms: Longest deadline in the settings, and the budget of all requests.
        crowds: The crowds at each manager; none in some runs.
        steps: In order of time.
    """

    seed: int
    front: str
    deadline_ms: float
    crowds: tuple[Crowd, ...]
    steps: tuple[TimedStep, ...]


def draw_plan(seed: int, seconds: float, managers: int) -> SoakPlan:
    """Draw the run of a seed."""
    rng = random.Random(seed)
    front = rng.choice(("platform", "platform", "postgres"))
    deadline_ms = rng.choice(DEADLINES_MS)
    crowds = draw_crowds(rng, front, seconds) if rng.random() < 0.75 else ()
    steps = [step for manager in range(managers) for step in _draw_signals(rng, manager, seconds, deadline_ms)]
    for _ in range(rng.randint(0, 2)):
        step = rng.choice((Step.DROP_CONNECTIONS, Step.REPLACE_ENGINE))
        steps.append(TimedStep(rng.uniform(0.5, seconds - 1.0), step))
    return SoakPlan(seed, front, deadline_ms, crowds, tuple(sorted(steps, key=lambda step: step.at_s)))


def _draw_signals(rng: random.Random, manager: int, seconds: float, deadline_ms: float) -> list[TimedStep]:
    """Draw a series of signals for one manager."""
    at_s = rng.uniform(0.5, seconds / 3)
    kind = rng.choice(("none", "kills", "drain", "drain with signals", "reloads"))
    if kind == "kills":
        return [
            TimedStep(at_s, Step.KILL, manager),
            TimedStep(at_s + RESTART_DELAY_S, Step.START, manager),
            TimedStep(at_s + RESTART_DELAY_S + KILL_DURING_START_S, Step.KILL, manager),
            TimedStep(at_s + 2 * RESTART_DELAY_S + KILL_DURING_START_S, Step.START, manager),
        ]
    if kind == "reloads":
        return [TimedStep(at_s + 0.05 * number, Step.RELOAD, manager) for number in range(5)]
    if kind == "none":
        return []
    killed_at_s = at_s + min(MAX_DEADLINE_S, deadline_ms / 1000) + DRAIN_GRACE_S
    steps = [
        TimedStep(at_s, Step.TERMINATE, manager),
        TimedStep(killed_at_s, Step.KILL, manager),
        TimedStep(killed_at_s + RESTART_DELAY_S, Step.START, manager),
    ]
    if kind == "drain with signals":
        steps += [TimedStep(at_s + 0.1, Step.TERMINATE, manager), TimedStep(at_s + 0.2, Step.RELOAD, manager)]
    return steps
