"""Plays an experiment's cells over the cores and keeps their tables, so that a run can be stopped and taken up again.

Each file is written complete or not at all, a cell's summary last: a cell that has one is finished. Names of tables,
columns and metadata are those of stored data. Called by `decklb lab run` and `decklb lab load`.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from importlib import metadata
from pathlib import Path
from typing import Any

import ujson

from decklb.lab.emulation.emulator import Run
from decklb.lab.experiments.experiment import Cell, Experiment

# Columns of a cell's tables, in their stored order.
TABLES: dict[str, tuple[str, ...]] = {
    "requests": (
        "time_ms",
        "index",
        "class",
        "tenant",
        "work_ms",
        "tables",
        "kind",
        "took_ms",
        "tries",
        "attempts",
        "worth",
    ),
    "attempts": ("time_ms", "request", "leg", "engine", "outcome", "took_ms"),
    "engines": ("time_ms", "engine", "threads", "running", "waiting", "up", "memory_mb", "speed"),
    "seconds": ("second", "asked", "earned"),
}
COST_PREFIX = "cost_"  # of figures that depend on the machine
Summary = dict[str, Any]
Rows = dict[str, list[tuple[Any, ...]]]  # by table
Progress = Callable[[int, int], None]  # called with the cells that are done, and all cells


def program_version() -> str:
    """Return the version of the code that runs, for the tables' metadata."""
    try:
        return metadata.version("decklb")
    except metadata.PackageNotFoundError:
        return "checkout"


def play(cell: Cell) -> tuple[Summary, Rows]:
    """Play one cell; return its summary and its rows by table."""
    run = Run(cell.world, cell.seed)
    factors = {f"factor_{name}": value for name, value in cell.factors}
    summary = {"cell": cell.name, **factors} | run.run()
    records = run.records
    return summary, {
        "requests": records.requests,
        "attempts": records.attempts,
        "engines": records.engines,
        "seconds": [(second, *weights) for second, weights in sorted(records.seconds.items())],
    }


def play_and_store(cell: Cell, folder: str, experiment: str, digest: str) -> Summary:
    """Play one cell and write its files; return its summary."""
    summary, rows = play(cell)
    store(cell, folder, experiment, digest, summary, rows)
    return summary


def store(cell: Cell, folder: str, experiment: str, digest: str, summary: Summary, rows: Rows) -> None:
    """Write a cell's tables, and then its summary."""
    import pyarrow as pa

    labels = {
        "experiment": experiment,
        "digest": digest,
        "cell": cell.name,
        "seed": str(cell.seed),
        "version": program_version(),
    }
    for name, columns in TABLES.items():
        data = {column: [row[i] for row in rows[name]] for i, column in enumerate(columns)}
        path = Path(folder) / name / f"{cell.name}.parquet"
        path.parent.mkdir(parents=True, exist_ok=True)
        _write_parquet(path, pa.table(data).replace_schema_metadata(labels), "zstd")
    path = Path(folder) / "cells" / f"{cell.name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    unfinished = path.with_suffix(".part")
    unfinished.write_text(ujson.dumps({"digest": digest, "summary": summary}))
    os.replace(unfinished, path)


def _write_parquet(path: Path, table: Any, compression: str) -> None:
    import pyarrow.parquet as pq

    pq.write_table(table, f"{path}.part", compression=compression)
    os.replace(f"{path}.part", path)


def finished_cells(folder: str, digest: str) -> dict[str, Summary]:
    """Return summaries of finished cells of this version of the experiment, by the cells' names."""
    found = {}
    for path in sorted((Path(folder) / "cells").glob("*.json")):
        try:
            stored = ujson.loads(path.read_text())
        except ValueError:
            continue
        if stored.get("digest") == digest:
            found[path.stem] = stored["summary"]
    return found


def run_all(experiment: Experiment, folder: str, workers: int, progress: Progress) -> list[Summary]:
    """Play all cells that are not finished yet, and write one table of all summaries, in the cells' order.

    Args:
        experiment: Whose cells are played.
        folder: Of its tables; what is finished there is kept.
        workers: Processes; with one, cells are played in this process.
        progress: Called after each cell.
    """
    cells = list(experiment.cells())
    done = finished_cells(folder, experiment.digest)
    left = [cell for cell in cells if cell.name not in done]
    progress(len(cells) - len(left), len(cells))
    if workers <= 1:
        for cell in left:
            done[cell.name] = play_and_store(cell, folder, experiment.name, experiment.digest)
            progress(len(done), len(cells))
    elif left:
        with ProcessPoolExecutor(workers) as pool:
            futures = {
                pool.submit(play_and_store, cell, folder, experiment.name, experiment.digest): cell for cell in left
            }
            for future in as_completed(futures):
                done[futures[future].name] = future.result()
                progress(len(done), len(cells))
    summaries = [done[cell.name] for cell in cells]
    write_summaries(experiment, folder, summaries)
    return summaries


def write_summaries(experiment: Experiment, folder: str, summaries: list[Summary]) -> None:
    """Write two tables: what the world did, and what it cost to play it.

    What depends on the machine has a table of its own, so that summaries of the same experiment are the same bytes, in
    one process and in many.
    """
    import pyarrow as pa

    names = list(dict.fromkeys(name for summary in summaries for name in summary))
    costs = [name for name in names if name.startswith(COST_PREFIX)]
    labels = {"experiment": experiment.name, "digest": experiment.digest, "version": program_version()}
    for file, columns in (
        ("summaries", [name for name in names if name not in costs]),
        ("costs", ["cell", *costs]),
    ):
        data = {column: [summary.get(column) for summary in summaries] for column in columns}
        table = pa.table(data).replace_schema_metadata(labels)
        _write_parquet(Path(folder) / f"{file}.parquet", table, "snappy")


def read_table(folder: str, name: str) -> list[dict[str, Any]]:
    """Return rows of `summaries`, `costs`, or of a cell's table such as `seconds/CELL`."""
    import pyarrow.parquet as pq

    rows: list[dict[str, Any]] = pq.read_table(Path(folder) / f"{name}.parquet").to_pylist()
    return rows
