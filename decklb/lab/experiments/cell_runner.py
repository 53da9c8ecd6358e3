"""Runs the cells of an experiment in parallel and stores their tables, so that an interrupted run can be resumed.

Files are written atomically, and the summary of a cell last, so a cell with a summary is finished. The names of tables,
columns and metadata are part of the stored format. Used by `decklb lab run` and `decklb lab load`.
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

# Tables of a cell, with their columns in the stored order.
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
COST_PREFIX = "cost_"  # prefix of the figures that depend on the machine
Summary = dict[str, Any]
Rows = dict[str, list[tuple[Any, ...]]]  # rows by table
Progress = Callable[[int, int], None]  # called with the number of finished cells and of all cells


def program_version() -> str:
    """Return the version of the installed package for the tables' metadata, or "checkout" if it is not installed."""
    try:
        return metadata.version("decklb")
    except metadata.PackageNotFoundError:
        return "checkout"


def play(cell: Cell) -> tuple[Summary, Rows]:
    """Run one cell; return its summary and its rows by table."""
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
    """Run one cell and write its files; return its summary."""
    summary, rows = play(cell)
    store(cell, folder, experiment, digest, summary, rows)
    return summary


def store(cell: Cell, folder: str, experiment: str, digest: str, summary: Summary, rows: Rows) -> None:
    """Write the tables of a cell, then its summary."""
    import pyarrow as pa

    table_metadata = {
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
        _write_parquet(path, pa.table(data).replace_schema_metadata(table_metadata), "zstd")
    path = Path(folder) / "cells" / f"{cell.name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    part_path = path.with_suffix(".part")
    part_path.write_text(ujson.dumps({"digest": digest, "summary": summary}))
    os.replace(part_path, path)


def _write_parquet(path: Path, table: Any, compression: str) -> None:
    import pyarrow.parquet as pq

    pq.write_table(table, f"{path}.part", compression=compression)
    os.replace(f"{path}.part", path)


def finished_cells(folder: str, digest: str) -> dict[str, Summary]:
    """Return the summaries of the finished cells with this digest, by cell name; unreadable files are ignored."""
    summaries = {}
    for path in sorted((Path(folder) / "cells").glob("*.json")):
        try:
            stored = ujson.loads(path.read_text())
        except ValueError:
            continue
        if stored.get("digest") == digest:
            summaries[path.stem] = stored["summary"]
    return summaries


def run_all(experiment: Experiment, folder: str, workers: int, progress: Progress) -> list[Summary]:
    """Run all cells that are not finished, and write the table of all summaries in the order of the cells.

    Args:
        experiment: The experiment to run.
        folder: Folder of its tables; cells that are finished there are not run again.
        workers: Number of processes; with 1, the cells run in this process.
        progress: Called at the start and after each cell.
    """
    cells = list(experiment.cells())
    done = finished_cells(folder, experiment.digest)
    remaining = [cell for cell in cells if cell.name not in done]
    progress(len(cells) - len(remaining), len(cells))
    if workers <= 1:
        for cell in remaining:
            done[cell.name] = play_and_store(cell, folder, experiment.name, experiment.digest)
            progress(len(done), len(cells))
    elif remaining:
        with ProcessPoolExecutor(workers) as pool:
            futures = {
                pool.submit(play_and_store, cell, folder, experiment.name, experiment.digest): cell
                for cell in remaining
            }
            for future in as_completed(futures):
                done[futures[future].name] = future.result()
                progress(len(done), len(cells))
    summaries = [done[cell.name] for cell in cells]
    write_summaries(experiment, folder, summaries)
    return summaries


def write_summaries(experiment: Experiment, folder: str, summaries: list[Summary]) -> None:
    """Write two tables: the summaries of the cells, and the costs of running them.

    Figures that depend on the machine go to the table of costs, so the summaries of an experiment are always the same
    bytes, with any number of processes.
    """
    import pyarrow as pa

    names = list(dict.fromkeys(name for summary in summaries for name in summary))
    costs = [name for name in names if name.startswith(COST_PREFIX)]
    table_metadata = {"experiment": experiment.name, "digest": experiment.digest, "version": program_version()}
    for table_name, columns in (
        ("summaries", [name for name in names if name not in costs]),
        ("costs", ["cell", *costs]),
    ):
        data = {column: [summary.get(column) for summary in summaries] for column in columns}
        table = pa.table(data).replace_schema_metadata(table_metadata)
        _write_parquet(Path(folder) / f"{table_name}.parquet", table, "snappy")


def read_table(folder: str, name: str) -> list[dict[str, Any]]:
    """Return the rows of a table: `summaries`, `costs`, or the table of one cell, such as `seconds/CELL`."""
    import pyarrow.parquet as pq

    rows: list[dict[str, Any]] = pq.read_table(Path(folder) / f"{name}.parquet").to_pylist()
    return rows
