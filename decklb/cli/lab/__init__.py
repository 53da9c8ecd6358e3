"""The command group `lab`: experiments on simulated time, and fault runs with real processes.

Each module holds one kind of command. Commands import the laboratory when they are called, because its dependencies
need not be installed on machines that only run the daemon.
"""

from __future__ import annotations

import click

from decklb.cli.lab import benchmarks, crowds, experiments, fault_injection, fault_runs, load


@click.group()
def lab() -> None:
    """Experiments on simulated time, with the real modules."""


for command in (
    experiments.run_,
    experiments.report,
    experiments.compare,
    experiments.duties,
    experiments.zones,
    benchmarks.bench,
    benchmarks.theory,
    benchmarks.stores,
    load.engines,
    load.load,
    fault_runs.faults,
    fault_runs.copies,
    fault_runs.regions,
    fault_runs.upkeep,
    fault_injection.calls,
    fault_injection.cuts,
    fault_injection.ramp,
    crowds.crowds,
    crowds.soak,
):
    lab.add_command(command)

__all__ = ["lab"]
