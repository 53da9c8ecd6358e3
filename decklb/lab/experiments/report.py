"""Tables and plots of an experiment that has run: PNG files and one HTML page beside its tables."""

from __future__ import annotations

import html
from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

from decklb.lab.emulation.random_streams import Streams  # noqa: E402
from decklb.lab.experiments.cell_runner import read_table  # noqa: E402
from decklb.lab.experiments.statistics import spread  # noqa: E402

SHOWN = ("worth", "in_time", "refused", "failed", "attempts_a_request", "fairness", "least_class", "load", "broken")
Rows = list[dict[str, Any]]


def factors(rows: Rows) -> list[str]:
    """The columns that were swept."""
    return [k for k in rows[0] if k.startswith("factor_")] if rows else []


def grouped(rows: Rows) -> dict[tuple[Any, ...], Rows]:
    """By policy and factors; seeds together."""
    found: dict[tuple[Any, ...], Rows] = defaultdict(list)
    for row in rows:
        found[(row["policy"], *(row[f] for f in factors(rows)))].append(row)
    return found


def make(folder: str) -> str:
    """Write the page; its path."""
    rows = read_table(folder, "summaries")
    out = Path(folder) / "report"
    out.mkdir(exist_ok=True)
    pictures = [*_sweeps(rows, out), _over_time(folder, rows, out), _latencies(rows, out), _engines(folder, rows, out)]
    page = out / "index.html"
    page.write_text(_page(rows, [p for p in pictures if p]))
    return str(page)


def _save(out: Path, name: str) -> str:
    plt.tight_layout()
    plt.savefig(out / f"{name}.png", dpi=110)
    plt.close("all")
    return f"{name}.png"


def _sweeps(rows: Rows, out: Path) -> list[str]:
    """Each figure against each swept factor, a line a policy, with intervals over seeds."""
    pictures = []
    rng = Streams(1).get("report")
    for factor in factors(rows):
        fig, axes = plt.subplots(2, 2, figsize=(10, 7))
        for axis, what in zip(axes.flat, ("worth", "fairness", "attempts_a_request", "least_class"), strict=True):
            for policy in dict.fromkeys(r["policy"] for r in rows):
                values = sorted({r[factor] for r in rows})
                points = [
                    spread([r[what] for r in rows if r["policy"] == policy and r[factor] == v], rng) for v in values
                ]
                means = [m for m, _, _ in points]
                axis.plot(values, means, marker="o", label=policy)
                if all(np.isfinite(low) for _, low, _ in points):
                    axis.fill_between(values, [x for _, x, _ in points], [x for _, _, x in points], alpha=0.15)
            axis.set_xlabel(factor.removeprefix("factor_"))
            axis.set_title(what.replace("_", " "))
            axis.grid(alpha=0.3)
        axes.flat[0].legend(fontsize=8)
        pictures.append(_save(out, factor))
    return pictures


def _over_time(folder: str, rows: Rows, out: Path) -> str:
    """Worth earned over asked, each second, of the first cell of each policy: bursts, faults and recovery."""
    plt.figure(figsize=(10, 4))
    for policy in dict.fromkeys(r["policy"] for r in rows):
        cell = next(r["cell"] for r in rows if r["policy"] == policy)
        seconds = read_table(folder, f"seconds/{cell}")
        plt.plot(
            [s["second"] for s in seconds],
            [s["earned"] / s["asked"] if s["asked"] else 1.0 for s in seconds],
            label=policy,
            linewidth=1,
        )
    plt.xlabel("s")
    plt.title("worth earned over worth asked")
    plt.legend(fontsize=8)
    plt.grid(alpha=0.3)
    return _save(out, "over_time")


def _latencies(rows: Rows, out: Path) -> str:
    """Percentiles by class and policy."""
    names = [k.removeprefix("p50_") for k in rows[0] if k.startswith("p50_")]
    policies = list(dict.fromkeys(r["policy"] for r in rows))
    fig, axes = plt.subplots(1, len(names), figsize=(4 * len(names), 4), squeeze=False)
    for axis, name in zip(axes.flat, names, strict=True):
        for i, policy in enumerate(policies):
            heights = []
            for p in ("p50", "p95", "p99"):
                found = [r[f"{p}_{name}"] for r in rows if r["policy"] == policy and r[f"{p}_{name}"] is not None]
                heights.append(float(np.mean(found)) if found else 0.0)
            axis.bar(np.arange(3) + i / (len(policies) + 1), heights, 1 / (len(policies) + 1), label=policy)
        axis.set_xticks(np.arange(3) + 0.4, ["p50", "p95", "p99"])
        axis.set_yscale("log")
        axis.set_title(f"{name}, ms of those served")
    axes.flat[0].legend(fontsize=7)
    return _save(out, "latencies")


def _engines(folder: str, rows: Rows, out: Path) -> str:
    """Threads a look at the engines: mean, least and most, of the first cell of each policy."""
    policies = list(dict.fromkeys(r["policy"] for r in rows))
    fig, axes = plt.subplots(len(policies), 1, figsize=(10, 2.2 * len(policies)), squeeze=False, sharex=True)
    for axis, policy in zip(axes.flat, policies, strict=True):
        cell = next(r["cell"] for r in rows if r["policy"] == policy)
        looks: dict[float, list[float]] = defaultdict(list)
        for row in read_table(folder, f"engines/{cell}"):
            looks[row["time_ms"] / 1000].append(row["threads"])
        at = sorted(looks)
        axis.fill_between(at, [min(looks[t]) for t in at], [max(looks[t]) for t in at], alpha=0.25)
        axis.plot(at, [float(np.mean(looks[t])) for t in at])
        axis.set_title(f"threads an engine: {policy}", fontsize=9)
    return _save(out, "engines")


def _page(rows: Rows, pictures: list[str]) -> str:
    rng, names = Streams(1).get("report"), factors(rows)
    head = "".join(
        f"<th>{html.escape(x)}</th>" for x in ("policy", *(n.removeprefix("factor_") for n in names), "runs", *SHOWN)
    )
    body = ""
    for key, group in grouped(rows).items():
        cells = [str(key[0]), *(f"{v:g}" for v in key[1:]), str(len(group))]
        for what in SHOWN:
            mean, low, high = spread([float(r[what] or 0) for r in group], rng)
            cells.append(f"{mean:.3f}" + (f" <small>{low:.3f} to {high:.3f}</small>" if np.isfinite(low) else ""))
        body += "<tr>" + "".join(f"<td>{c}</td>" for c in cells) + "</tr>\n"
    shown = "".join(f'<p><img src="{p}" alt="{p}"></p>\n' for p in pictures)
    style = "body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em;text-align:left}small{color:#666}"
    return (
        f"<!doctype html><meta charset=utf-8><title>decklb lab</title><style>{style}</style>\n"
        f"<h1>decklb lab</h1>\n<table><tr>{head}</tr>\n{body}</table>\n{shown}"
    )
