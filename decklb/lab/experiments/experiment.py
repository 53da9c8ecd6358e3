"""An experiment and the cells it spans: a cell is a policy, a value of each swept factor, and a seed.

`experiment_file` reads one from XML, `cell_runner` plays its cells and keeps their tables.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

from decklb.lab.emulation.emulated_world import EmulatedWorld

# Fields that a swept factor sets; `rate` and `size` are handled by `with_factor`.
FLOAT_FACTORS = {"loss": "message_loss", "uneven": "speed_sigma"}
COUNT_FACTORS = ("managers", "engines")


@dataclass(frozen=True, slots=True)
class Cell:
    """One run.

    Attributes:
        name: Also that of its files.
        policy: Of its managers.
        factors: Name and value of each swept factor.
        seed: Of all its draws.
        world: That it plays, with policy and factors set.
    """

    name: str
    policy: str
    factors: tuple[tuple[str, float], ...]
    seed: int
    world: EmulatedWorld


@dataclass(frozen=True, slots=True)
class Experiment:
    """What an experiment's file says.

    Attributes:
        name: Of the experiment.
        world: That all cells start from.
        policies: To compare.
        sweeps: Swept factors, each with its values.
        seeds: For each policy and value.
        digest: Of the file's meaning, so that cells of another version are not mixed in.
    """

    name: str
    world: EmulatedWorld
    policies: tuple[str, ...]
    sweeps: tuple[tuple[str, tuple[float, ...]], ...]
    seeds: tuple[int, ...]
    digest: str

    def cells(self) -> Iterator[Cell]:
        """Yield all cells, in a stable order."""
        names = [name for name, _ in self.sweeps]
        for values in itertools.product(*(values for _, values in self.sweeps)):
            factors = tuple(zip(names, values, strict=True))
            world = self.world
            for factor, value in factors:
                world = with_factor(world, factor, value)
            for policy, seed in itertools.product(self.policies, self.seeds):
                parts = [policy, *(f"{factor}={value:g}" for factor, value in factors), f"seed={seed}"]
                yield Cell("_".join(parts), policy, factors, seed, replace(world, policy=policy))


def with_factor(world: EmulatedWorld, factor: str, value: float) -> EmulatedWorld:
    """Return a world with one factor at another value. `size` scales managers, engines and the rate together."""
    rate = world.workload.requests_per_second
    if factor == "rate":
        return replace(world, workload=replace(world.workload, requests_per_second=value))
    if factor == "size":
        return replace(
            world,
            managers=max(1, round(world.managers * value)),
            engines=max(1, round(world.engines * value)),
            workload=replace(world.workload, requests_per_second=rate * value),
        )
    if factor in COUNT_FACTORS:
        return replace(world, **{factor: int(value)})  # type: ignore[arg-type]
    return replace(world, **{FLOAT_FACTORS[factor]: value})  # type: ignore[arg-type]
