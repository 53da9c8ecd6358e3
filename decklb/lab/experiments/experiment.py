"""An experiment: a file of XML, the cells it spans, running them over the cores, and the tables that they leave.

A cell is a policy, a value of each swept factor, and a seed. Finished cells are kept as files, so that a run can be
stopped and taken up again; each is written whole or not at all.
"""

from __future__ import annotations

import hashlib
import itertools
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from importlib import metadata
from pathlib import Path
from typing import Any

import ujson

from decklb.config.errors import Fault as Blame
from decklb.config.errors import SettingsError
from decklb.config.units import duration, share
from decklb.config.xml import read
from decklb.lab.emulation.emulated_world import Fault, World
from decklb.lab.emulation.emulator import Run
from decklb.lab.emulation.engine_model import EngineSpec
from decklb.lab.emulation.workload import Class, Swell, Tenant, Workload

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
CONVERT: dict[str, Callable[[str], Any]] = {
    "duration": duration,
    "share": share,
    "float": float,
    "int": int,
    "bool": lambda text: text in ("true", "1"),
    "str": str,
}
WORLD = {
    "managers": "int",
    "engines": "int",
    "span": "duration",
    "warm": "duration",
    "delay": "duration",
    "loss": "share",
    "list-late": "duration",
    "list-partial": "share",
    "uneven": "float",
    "probing": "duration",
    "sample": "int",
}
ENGINE = {
    "cores": "int",
    "sessions": "int",
    "disks": "float",
    "memory": "float",
    "knee": "float",
    "thrash": "float",
    "cold": "duration",
    "cold-share": "share",
}
WORKLOAD = {
    "rate": "float",
    "groups": "int",
    "day": "share",
    "day-length": "duration",
    "retries": "int",
    "patience": "share",
}
CLASS = {
    "name": "str",
    "share": "share",
    "work": "duration",
    "aim": "duration",
    "deadline": "duration",
    "worth": "float",
    "late-worth": "float",
    "threads": "int",
    "io": "share",
    "memory": "float",
    "spread": "float",
    "tail": "share",
    "tail-times": "float",
    "runaway": "share",
    "semantics": "str",
    "serial-by-key": "bool",
    "keys": "int",
    "holds-tables": "bool",
    "yields-to-loads": "bool",
}
TENANT = {"name": "str", "share": "share", "sends": "share"}
SWELL = {"at": "duration", "for": "duration", "times": "float", "tenant": "str", "tables": "int"}
FAULT = {"at": "duration", "what": "str", "for": "duration", "share": "share", "count": "int", "times": "float"}
RENAMED = {
    "semantics": "effect",
    "serial-by-key": "serial",
    "holds-tables": "holds",
    "yields-to-loads": "yields",
    "for": "length",
}


Found = tuple[dict[str, Any], dict[str, list[tuple[Any, ...]]]]  # a summary, and rows by table


def _taken(element: Any, kinds: dict[str, str], **renamed: str) -> dict[str, Any]:
    names = RENAMED | renamed
    return {names.get(k, k.replace("-", "_")): CONVERT[kinds[k]](v) for k, v in element.attrib.items() if k in kinds}


@dataclass(frozen=True, slots=True)
class Cell:
    """One run: its name is that of its file."""

    name: str
    policy: str
    factors: tuple[tuple[str, float], ...]
    seed: int
    world: World


@dataclass(frozen=True, slots=True)
class Experiment:
    """What a file says."""

    name: str
    world: World
    policies: tuple[str, ...]
    sweeps: tuple[tuple[str, tuple[float, ...]], ...]
    seeds: tuple[int, ...]
    digest: str  # of the file's meaning, so that cells of another version are not mixed in

    def cells(self) -> Iterator[Cell]:
        """All, in a stable order."""
        names = [name for name, _ in self.sweeps]
        for values in itertools.product(*(values for _, values in self.sweeps)):
            factors = tuple(zip(names, values, strict=True))
            world = self.world
            for factor, value in factors:
                world = apply(world, factor, value)
            for policy, seed in itertools.product(self.policies, self.seeds):
                parts = [policy, *(f"{f}={v:g}" for f, v in factors), f"seed={seed}"]
                yield Cell("_".join(parts), policy, factors, seed, replace(world, policy=policy))


def apply(world: World, factor: str, value: float) -> World:
    """A world with one factor at another value. `size` grows managers, engines and the rate together."""
    if factor == "rate":
        return replace(world, workload=replace(world.workload, rate=value))
    if factor == "size":
        return replace(
            world,
            managers=max(1, round(world.managers * value)),
            engines=max(1, round(world.engines * value)),
            workload=replace(world.workload, rate=world.workload.rate * value),
        )
    if factor in ("managers", "engines"):
        return replace(world, **{factor: int(value)})  # type: ignore[arg-type]
    return replace(world, **{factor: value})  # type: ignore[arg-type]


def load(path: str) -> Experiment:
    """Read a file. Raises SettingsError with every fault, by line."""
    root = read(path, "decklb.lab", "lab.xsd")
    faults: list[Blame] = []

    def blame(element: Any, text: str) -> None:
        faults.append(Blame(path, element.sourceline or 0, text))

    w = root.find("workload")
    assert w is not None  # by the schema
    classes = tuple(Class(**_taken(c, CLASS)) for c in w.findall("class"))
    tenants = tuple(Tenant(**_taken(t, TENANT)) for t in w.findall("tenant")) or (Tenant("t", 1.0),)
    if not classes:
        blame(w, "<workload>: at least one <class> would be right")
    for element, c in zip(w.findall("class"), classes, strict=True):
        if c.aim > c.deadline:
            blame(element, f"class {c.name!r}: an aim over the deadline; at most {element.attrib['deadline']}")
    for kind in ("class", "tenant"):
        names = [x.attrib["name"] for x in w.findall(kind)]
        for element in w.findall(kind):
            if names.count(element.attrib["name"]) > 1:
                blame(element, f"{kind} {element.attrib['name']!r} stands there twice; one of the two must go")
    for element in w.findall("swell"):
        if (name := element.get("tenant")) is not None and name not in {t.name for t in tenants}:
            blame(element, f"<swell>: nobody defines tenant {name!r}")
    swells = tuple(Swell(**_taken(s, SWELL, at="start")) for s in w.findall("swell"))
    trace = str(Path(path).resolve().parent / w.attrib["trace"]) if "trace" in w.attrib else ""
    workload = Workload(classes=classes, tenants=tenants, swells=swells, trace=trace, **_taken(w, WORKLOAD))
    world_, engine, cells = root.find("world"), root.find("engine"), root.find("cells")
    assert world_ is not None and cells is not None
    spec = EngineSpec(**_taken(engine, ENGINE)) if engine is not None else EngineSpec()
    world = World(
        workload,
        engine=spec,
        faults=tuple(Fault(**_taken(f, FAULT)) for f in root.iterfind("faults/fault")),
        **_taken(world_, WORLD),
    )
    for f in root.iterfind("faults/fault"):
        if not ("share" in f.attrib) ^ ("count" in f.attrib):
            blame(f, "<fault>: either share or count would be right")
        if duration(f.attrib["at"]) >= world.span:
            blame(f, f"<fault>: at {f.attrib['at']} the run is over; under {world.span / 1000:g}s would be right")
    sweeps = tuple((s.attrib["factor"], tuple(map(float, s.attrib["values"].split()))) for s in cells.findall("sweep"))
    for s in cells.findall("sweep"):
        if [x for x, _ in sweeps].count(s.attrib["factor"]) > 1:
            blame(s, f"<sweep>: factor {s.attrib['factor']!r} stands there twice; one of the two must go")
    if faults:
        raise SettingsError(sorted(set(faults)))
    first = int(cells.get("first-seed", "1"))
    seeds = tuple(range(first, first + int(cells.get("seeds", "1"))))
    policies = tuple(dict.fromkeys(p.text or "" for p in cells.findall("policy")))
    meaning = repr((world, policies, sweeps, seeds))
    return Experiment(
        root.attrib["name"],
        world,
        policies,
        sweeps,
        seeds,
        hashlib.blake2b(meaning.encode(), digest_size=8).hexdigest(),
    )


def version() -> str:
    """Of the code that ran."""
    try:
        return metadata.version("decklb")
    except metadata.PackageNotFoundError:
        return "checkout"


def play(cell: Cell) -> Found:
    """One cell: its summary and its rows."""
    run = Run(cell.world, cell.seed)
    summary = {"cell": cell.name, **{f"factor_{f}": v for f, v in cell.factors}} | run.run()
    r = run.records
    return summary, {
        "requests": r.requests,
        "attempts": r.attempts,
        "engines": r.engines,
        "seconds": [(s, *v) for s, v in sorted(r.seconds.items())],
    }


def keep(cell: Cell, folder: str, experiment: str, digest: str, found: Found | None = None) -> dict[str, Any]:
    """Play a cell, or take what was found, and write its files; the summary last: a cell that has one is whole."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    summary, rows = found or play(cell)
    told = {"experiment": experiment, "digest": digest, "cell": cell.name, "seed": str(cell.seed), "version": version()}
    for table, columns in TABLES.items():
        data = {name: [row[i] for row in rows[table]] for i, name in enumerate(columns)}
        path = Path(folder) / table / f"{cell.name}.parquet"
        path.parent.mkdir(parents=True, exist_ok=True)
        pq.write_table(pa.table(data).replace_schema_metadata(told), f"{path}.part", compression="zstd")
        os.replace(f"{path}.part", path)
    path = Path(folder) / "cells" / f"{cell.name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_suffix(".part")
    part.write_text(ujson.dumps({"digest": digest, "summary": summary}))
    os.replace(part, path)
    return summary


def finished(folder: str, digest: str) -> dict[str, dict[str, Any]]:
    """Summaries of cells that are whole, of this version of the experiment."""
    found = {}
    for path in sorted((Path(folder) / "cells").glob("*.json")):
        try:
            data = ujson.loads(path.read_text())
        except ValueError:
            continue
        if data.get("digest") == digest:
            found[path.stem] = data["summary"]
    return found


def run_all(x: Experiment, folder: str, workers: int, told: Callable[[int, int], None]) -> list[dict[str, Any]]:
    """All cells that are not there yet, over so many processes; then one table of summaries, in the cells' order.

    `told` gets how many cells of how many are done. What depends on the machine (`cost_...`) is in a table of its own,
    so that the summaries of the same experiment are the same bytes, in one process and in eight.
    """
    cells = list(x.cells())
    done = finished(folder, x.digest)
    left = [c for c in cells if c.name not in done]
    told(len(cells) - len(left), len(cells))
    if workers <= 1:
        for cell in left:
            done[cell.name] = keep(cell, folder, x.name, x.digest)
            told(len(done), len(cells))
    elif left:
        with ProcessPoolExecutor(workers) as pool:
            futures = {pool.submit(keep, c, folder, x.name, x.digest): c for c in left}
            for future in as_completed(futures):
                done[futures[future].name] = future.result()
                told(len(done), len(cells))
    summaries = [done[c.name] for c in cells]
    write_summaries(x, folder, summaries)
    return summaries


def write_summaries(x: Experiment, folder: str, summaries: list[dict[str, Any]]) -> None:
    """Two Parquet files: what the world did, and what it cost to play it."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    names = list(dict.fromkeys(k for s in summaries for k in s))
    told = {"experiment": x.name, "digest": x.digest, "version": version()}
    for file, columns in (
        ("summaries", [n for n in names if not n.startswith("cost_")]),
        ("costs", ["cell", *(n for n in names if n.startswith("cost_"))]),
    ):
        table = pa.table({n: [s.get(n) for s in summaries] for n in columns}).replace_schema_metadata(told)
        path = Path(folder) / f"{file}.parquet"
        pq.write_table(table, f"{path}.part")
        os.replace(f"{path}.part", path)


def table(folder: str, name: str) -> list[dict[str, Any]]:
    """Rows of `summaries`, `costs`, or of a cell's table such as `seconds/CELL`."""
    import pyarrow.parquet as pq

    rows: list[dict[str, Any]] = pq.read_table(Path(folder) / f"{name}.parquet").to_pylist()
    return rows
