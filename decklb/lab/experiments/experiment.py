"""An experiment and its cells. A cell is one run: a policy, a value for each swept factor, and a seed.

`experiment_file` reads experiments from XML, `cell_runner` runs their cells and stores the tables.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

from decklb.lab.emulation.emulated_world import EmulatedWorld

# Fields of the world that a swept factor sets directly; `with_factor` handles the factors `rate` and `size`.
FLOAT_FACTORS = {"loss": "message_loss", "uneven": "speed_sigma"}
COUNT_FACTORS = ("managers", "engines")


@dataclass(frozen=True, slots=True)
class Cell:
    """One run of an experiment.

    Attributes:
        name: Name of the cell, and of its files.
        policy: Load-balancing policy of the managers.
        factors: Name and value of each swept factor.
        seed: Seed of all random draws.
        world: The world to emulate, with the policy and the factors set.
    """

    name: str
    policy: str
    factors: tuple[tuple[str, float], ...]
    seed: int
    world: EmulatedWorld


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment, as its file defines it.

    Attributes:
        name: Name of the experiment.
        world: The world that all cells are derived from.
        policies: Policies to compare.
        sweeps: Swept factors, each with its values.
        seeds: Seeds with which each policy runs at each combination of factor values.
        digest: Digest of the definition; it keeps stored cells of other versions from being mixed in.
    """

    name: str
    world: EmulatedWorld
    policies: tuple[str, ...]
    sweeps: tuple[tuple[str, tuple[float, ...]], ...]
    seeds: tuple[int, ...]
    digest: str

    def cells(self) -> Iterator[Cell]:
        """Yield all cells in a stable order."""
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
    """Return a copy of the world with one factor set.

    The factor `size` is a multiplier for the managers, the engines and the request rate together.
    """
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
