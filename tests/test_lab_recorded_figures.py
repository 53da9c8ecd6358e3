"""Results of seeded laboratory runs, stored records and examples must equal the recordings in `tests/golden/`.

The recordings are of x86-64. numpy's vectorized `exp`, with which the work of requests is drawn, rounds the last digit
differently on other architectures; `NAME.MACHINE.json` holds the exact recordings of a machine that differ.
"""

import dataclasses
import hashlib
import json
import platform
from dataclasses import replace
from enum import Enum
from pathlib import Path

import numpy as np
import pytest

from decklb.lab.checks.execution_verdict import total
from decklb.lab.emulation.emulated_world import FaultKind, InjectedFault
from decklb.lab.emulation.emulator import Run
from decklb.lab.emulation.random_streams import Streams
from decklb.lab.emulation.simulated_handoff import play as play_handoff
from decklb.lab.emulation.simulated_quorum_register import RegisterSimulation
from decklb.lab.emulation.workload import TrafficSurge, draw
from decklb.lab.experiments import cell_runner, experiment_file, queueing_theory, statistics, zone_agreement
from decklb.lab.experiments.bundled import world
from decklb.lab.experiments.shared_duties import Experiment, run
from decklb.lab.faults.fault_schedule import FleetFaultKind, draw_schedule
from decklb.lab.faults.system_call_cases import all_cases, sample_cases
from tests.standins import ROOT

GOLDEN = ROOT / "tests" / "golden"
FAULTS = (
    InjectedFault(1000.0, FaultKind.KILL, 1500.0, victim_count=1),
    InjectedFault(1500.0, FaultKind.DRAIN, 1000.0, victim_share=0.2),
    InjectedFault(2000.0, FaultKind.SLOW, 1500.0, victim_count=1, slowdown=3.0),
    InjectedFault(2500.0, FaultKind.MANAGER, 800.0, victim_count=1),
    InjectedFault(3500.0, FaultKind.VANISH, 1500.0, victim_count=1),
)
EMULATED_WORLDS = {
    "quiet": lambda: world(2, 4, 100.0, 4000.0),
    "faults": lambda: replace(
        world(3, 6, 150.0, 6000.0), faults=FAULTS, message_loss=0.02, partial_update_share=0.5, warm_up_ms=500.0
    ),
    "probing": lambda: replace(world(3, 4, 80.0, 6000.0), health_check_period_ms=500.0, faults=FAULTS[:1]),
    "swells": lambda: with_surges(world(2, 4, 60.0, 4000.0)),
    "sampled": lambda: replace(world(2, 4, 100.0, 3000.0), max_recorded_requests=50),
    **{
        policy: (
            lambda policy=policy: replace(world(2, 4, 100.0, 3000.0, policy), faults=FAULTS[:2], message_loss=0.01)
        )
        for policy in ("random", "round-robin", "least-outstanding", "power-of-two", "weighted", "oracle")
    },
}


def with_surges(base):
    surges = (
        TrafficSurge(500.0, 1000.0, 2.0),
        TrafficSurge(1000.0, 1500.0, 3.0, tenant="cusco"),
        TrafficSurge(0.0, 2000.0, 0.5, table_group=3),
    )
    return replace(
        base,
        workload=replace(base.workload, surges=surges, patience_share=0.4, daily_amplitude=0.5, day_length_ms=3000.0),
    )


def plain(value):
    """Convert a value to plain JSON types, without field names: names of fields may change, their values must not."""
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(map(plain, value))
    if isinstance(value, np.ndarray):
        return plain(value.tolist())
    if isinstance(value, np.generic):
        return value.item()
    return value


def digest(value):
    return hashlib.sha256(json.dumps(plain(value)).encode()).hexdigest()[:16]


def without_costs(summary):
    return {key: value for key, value in summary.items() if not key.startswith("cost_") and key != "took_s"}


def emulated(name):
    emulated_run = Run(EMULATED_WORLDS[name](), 7)
    summary = without_costs(emulated_run.run())
    records = emulated_run.records
    tables = {
        "requests": records.requests,
        "attempts": records.attempts,
        "engines": records.engines,
        "seconds": sorted(records.seconds.items()),
    }
    return {
        "summary": plain(summary),
        "outcomes": dict(sorted(records.outcomes.items())),
        "rows": {table: [len(rows), digest(rows)] for table, rows in tables.items()},
    }


def example(name):
    experiment = experiment_file.load(str(ROOT / "examples" / name))
    return {
        "name": experiment.name,
        "digest": experiment.digest,
        "cells": [cell.name for cell in experiment.cells()],
    }


def recorded_columns(folder):
    """Names and order of the columns in the tables of a small experiment, and the keys of the metadata."""
    import pyarrow.parquet as pq

    experiment = experiment_file.load(str(ROOT / "examples" / "small.xml"))
    first = next(experiment.cells())
    short = replace(first, world=replace(first.world, duration_ms=1500.0))
    summary = cell_runner.play_and_store(short, str(folder), experiment.name, experiment.digest)
    cell_runner.write_summaries(experiment, str(folder), [summary])
    files = sorted(folder.rglob("*.parquet"))
    stored_cell = json.loads((folder / "cells" / f"{first.name}.json").read_text())
    return {
        "columns": {str(file.relative_to(folder)): pq.read_schema(file).names for file in files},
        "metadata": {
            str(file.relative_to(folder)): sorted(key.decode() for key in pq.read_schema(file).metadata)
            for file in files
        },
        "cell": {"digest": stored_cell["digest"], "keys": list(stored_cell["summary"])},
    }


SIMULATIONS = {
    "arrivals": lambda: {
        name: digest(draw(make_world().workload, Streams(5), 3000.0)) for name, make_world in EMULATED_WORLDS.items()
    },
    "duties": lambda: without_costs(run(Experiment(6, 12, 8, loss=0.02, kill=1, partition=0.3, seed=3))),
    "duties, joining": lambda: without_costs(run(Experiment(4, 8, 8, join=True))),
    "handoff": lambda: plain([play_handoff(seed) for seed in (1, 2, 3)]),
    "handoff, harsh": lambda: plain([play_handoff(seed, harsh=True) for seed in (1, 2)]),
    "handoff, total": lambda: plain(total(play_handoff(seed) for seed in (4, 5))),
    "quorum register": lambda: plain([RegisterSimulation(seed, 5, harsh=True).run() for seed in (1, 2)]),
    "quorum register, stored": lambda: plain([RegisterSimulation(3, 3, harsh=False, keeps_state=True).run()]),
    "zones": lambda: [
        digest(zone_agreement.play(case, 2, common, managers=6)) for case in zone_agreement.CASES for common in (0, 1)
    ],
    "zones, table": lambda: plain(
        zone_agreement.table([zone_agreement.play("lost", 1, common, managers=6) for common in (True, False)])
    ),
    "theory": lambda: list(queueing_theory.table(4000, 1)),
    "interval": lambda: plain(statistics.interval(np.arange(20.0), Streams(1).get("bootstrap"))),
    "fault schedule": lambda: plain(draw_schedule(9, ["m0", "m1", "m2"], 8000.0, 6, tuple(FleetFaultKind)[:8])),
    "system calls": lambda: [
        len(all_cases()),
        digest([str(case) for case in all_cases()]),
        str(sample_cases(4, 0.1)[7]),
    ],
}


def golden(name):
    recorded = json.loads((GOLDEN / name).read_text())
    of_this_machine = (GOLDEN / name).with_suffix(f".{platform.machine()}.json")
    if of_this_machine.exists():
        recorded |= json.loads(of_this_machine.read_text())
    return recorded


@pytest.mark.parametrize("name", EMULATED_WORLDS)
def test_figures_and_records_of_an_emulated_world_equal_the_recording(name):
    assert emulated(name) == golden("lab_emulation.json")[name]


@pytest.mark.parametrize("name", SIMULATIONS)
def test_results_of_a_seeded_simulation_equal_the_recording(name):
    assert json.loads(json.dumps(plain(SIMULATIONS[name]()))) == golden("lab_simulations.json")[name]


@pytest.mark.parametrize("path", sorted(Path(ROOT / "examples").glob("*.xml")), ids=lambda path: path.name)
def test_an_example_yields_the_recorded_cells_and_digest(path):
    assert example(path.name) == golden("lab_examples.json")["examples"][path.name]


def test_stored_tables_keep_their_columns_and_metadata(tmp_path):
    assert recorded_columns(tmp_path) == golden("lab_examples.json")["tables"]
