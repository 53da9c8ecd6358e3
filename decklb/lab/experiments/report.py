"""Report of an experiment that has run: an HTML page with a table and plots, in the folder `report` of its tables."""

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
from decklb.lab.experiments.statistics import mean_with_interval  # noqa: E402

FIGURES = ("worth", "in_time", "refused", "failed", "attempts_a_request", "fairness", "least_class", "load", "broken")
Rows = list[dict[str, Any]]


def factors(rows: Rows) -> list[str]:
    """Return the names of the columns that hold swept factors."""
    return [k for k in rows[0] if k.startswith("factor_")] if rows else []


def grouped(rows: Rows) -> dict[tuple[Any, ...], Rows]:
    """Group rows that differ only in their seeds; keys are the policy and the factor values."""
    groups: dict[tuple[Any, ...], Rows] = defaultdict(list)
    for row in rows:
        groups[(row["policy"], *(row[f] for f in factors(rows)))].append(row)
    return groups


def make(folder: str) -> str:
    """Write the report of the tables in a folder; return the path of its page."""
    rows = read_table(folder, "summaries")
    out = Path(folder) / "report"
    out.mkdir(exist_ok=True)
    images = [*_sweeps(rows, out), _over_time(folder, rows, out), _latencies(rows, out), _engines(folder, rows, out)]
    page = out / "index.html"
    page.write_text(_page(rows, [image for image in images if image]))
    return str(page)


def _save(out: Path, name: str) -> str:
    plt.tight_layout()
    plt.savefig(out / f"{name}.png", dpi=110)
    plt.close("all")
    return f"{name}.png"


def _sweeps(rows: Rows, out: Path) -> list[str]:
    """Plot figures against each swept factor: one line for each policy, with confidence intervals over the seeds."""
    images = []
    rng = Streams(1).get("report")
    for factor in factors(rows):
        fig, axes = plt.subplots(2, 2, figsize=(10, 7))
        for axis, figure in zip(axes.flat, ("worth", "fairness", "attempts_a_request", "least_class"), strict=True):
            for policy in dict.fromkeys(r["policy"] for r in rows):
                values = sorted({r[factor] for r in rows})
                points = [
                    mean_with_interval([r[figure] for r in rows if r["policy"] == policy and r[factor] == v], rng)
                    for v in values
                ]
                means = [m for m, _, _ in points]
                axis.plot(values, means, marker="o", label=policy)
                if all(np.isfinite(low) for _, low, _ in points):
                    axis.fill_between(values, [x for _, x, _ in points], [x for _, _, x in points], alpha=0.15)
            axis.set_xlabel(factor.removeprefix("factor_"))
            axis.set_title(figure.replace("_", " "))
            axis.grid(alpha=0.3)
        axes.flat[0].legend(fontsize=8)
        images.append(_save(out, factor))
    return images


def _over_time(folder: str, rows: Rows, out: Path) -> str:
    """Plot the earned fraction of the offered worth, by second of arrival, for the first cell of each policy.

    The curves show bursts, faults and the recovery from them.
    """
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
    plt.title("earned worth / offered worth")
    plt.legend(fontsize=8)
    plt.grid(alpha=0.3)
    return _save(out, "over_time")


def _latencies(rows: Rows, out: Path) -> str:
    """Plot latency percentiles by class and policy."""
    class_names = [k.removeprefix("p50_") for k in rows[0] if k.startswith("p50_")]
    policies = list(dict.fromkeys(r["policy"] for r in rows))
    fig, axes = plt.subplots(1, len(class_names), figsize=(4 * len(class_names), 4), squeeze=False)
    for axis, name in zip(axes.flat, class_names, strict=True):
        for i, policy in enumerate(policies):
            heights = []
            for p in ("p50", "p95", "p99"):
                values = [r[f"{p}_{name}"] for r in rows if r["policy"] == policy and r[f"{p}_{name}"] is not None]
                heights.append(float(np.mean(values)) if values else 0.0)
            axis.bar(np.arange(3) + i / (len(policies) + 1), heights, 1 / (len(policies) + 1), label=policy)
        axis.set_xticks(np.arange(3) + 0.4, ["p50", "p95", "p99"])
        axis.set_yscale("log")
        axis.set_title(f"{name}: latency of served requests (ms)")
    axes.flat[0].legend(fontsize=7)
    return _save(out, "latencies")


def _engines(folder: str, rows: Rows, out: Path) -> str:
    """Plot the mean, minimum and maximum of the engines' threads over time, for the first cell of each policy."""
    policies = list(dict.fromkeys(r["policy"] for r in rows))
    fig, axes = plt.subplots(len(policies), 1, figsize=(10, 2.2 * len(policies)), squeeze=False, sharex=True)
    for axis, policy in zip(axes.flat, policies, strict=True):
        cell = next(r["cell"] for r in rows if r["policy"] == policy)
        threads_by_time: dict[float, list[float]] = defaultdict(list)
        for row in read_table(folder, f"engines/{cell}"):
            threads_by_time[row["time_ms"] / 1000].append(row["threads"])
        times = sorted(threads_by_time)
        axis.fill_between(
            times, [min(threads_by_time[t]) for t in times], [max(threads_by_time[t]) for t in times], alpha=0.25
        )
        axis.plot(times, [float(np.mean(threads_by_time[t])) for t in times])
        axis.set_title(f"threads per engine: {policy}", fontsize=9)
    return _save(out, "engines")


def _page(rows: Rows, images: list[str]) -> str:
    rng, factor_columns = Streams(1).get("report"), factors(rows)
    head = "".join(
        f"<th>{html.escape(x)}</th>"
        for x in ("policy", *(n.removeprefix("factor_") for n in factor_columns), "runs", *FIGURES)
    )
    body = ""
    for key, group in grouped(rows).items():
        cells = [str(key[0]), *(f"{v:g}" for v in key[1:]), str(len(group))]
        for figure in FIGURES:
            mean, low, high = mean_with_interval([float(r[figure] or 0) for r in group], rng)
            cells.append(f"{mean:.3f}" + (f" <small>{low:.3f} to {high:.3f}</small>" if np.isfinite(low) else ""))
        body += "<tr>" + "".join(f"<td>{c}</td>" for c in cells) + "</tr>\n"
    image_tags = "".join(f'<p><img src="{p}" alt="{p}"></p>\n' for p in images)
    style = "body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em;text-align:left}small{color:#666}"
    return (
        f"<!doctype html><meta charset=utf-8><title>decklb lab</title><style>{style}</style>\n"
        f"<h1>decklb lab</h1>\n<table><tr>{head}</tr>\n{body}</table>\n{image_tags}"
    )
