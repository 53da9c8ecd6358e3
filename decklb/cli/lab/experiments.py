"""Commands that run experiments on simulated time, report on their tables and compare them."""

from __future__ import annotations

import click

from decklb import log
from decklb.cli.lab.cases import check_cases


@click.command(name="run")
@click.argument("path")
@click.option("--out", required=True, help="Folder for tables; what is finished there is kept.")
@click.option("--workers", default=0, help="Processes; all cores by default.", show_default=False)
@click.option("--quiet", is_flag=True, help="No progress bar.")
def run_(path: str, out: str, workers: int, quiet: bool) -> None:
    """Run an experiment's cells over the cores; stop it and run it again to go on."""
    import os

    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from decklb.config import ConfigError
    from decklb.lab.experiments import cell_runner, experiment_file

    try:
        experiment = experiment_file.load(path)
    except ConfigError as error:
        raise click.ClickException(str(error)) from error
    log.set_up("ERROR", "text")
    columns = (TextColumn(experiment.name), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, disable=quiet) as progress_bar:
        task = progress_bar.add_task(experiment.name, total=None)
        try:
            summaries = cell_runner.run_all(
                experiment,
                out,
                workers or os.cpu_count() or 1,
                lambda done, total: progress_bar.update(task, completed=done, total=total),
            )
        except ValueError as error:
            raise click.ClickException(str(error)) from error
    requests = sum(summary["requests"] for summary in summaries)
    broken = sum(summary["broken"] for summary in summaries)
    click.echo(f"{len(summaries)} cells, {requests} requests, {broken} rules broken; tables in {out}")


@click.command()
@click.argument("folder")
def report(folder: str) -> None:
    """Tables and plots of what has run: one HTML page."""
    from decklb.lab.experiments import report as report_page

    try:
        click.echo(report_page.make(folder))
    except (OSError, IndexError) as error:
        raise click.ClickException(f"{folder}: nothing to report: {error}") from error


@click.command()
@click.argument("a")
@click.argument("b")
@click.option("--policy-a", help="Only this policy's cells of A.")
@click.option("--policy-b", help="Only this policy's cells of B.")
@click.option(
    "--what",
    multiple=True,
    default=("worth", "fairness", "attempts_a_request", "least_class"),
    show_default=True,
    help="Figures to compare.",
)
def compare(a: str, b: str, policy_a: str | None, policy_b: str | None, what: tuple[str, ...]) -> None:
    """Paired differences B - A, with 95% intervals by bootstrap; a star where 0 lies outside."""
    from decklb.lab.emulation.random_streams import Streams
    from decklb.lab.experiments import statistics
    from decklb.lab.experiments.cell_runner import read_table

    try:
        rows_a = [row for row in read_table(a, "summaries") if policy_a in (None, row["policy"])]
        rows_b = [row for row in read_table(b, "summaries") if policy_b in (None, row["policy"])]
    except OSError as error:
        raise click.ClickException(str(error)) from error
    differences = statistics.compare(rows_a, rows_b, list(what), Streams(1).get("bootstrap"))
    if not differences:
        raise click.ClickException("no cells with the same factors and seed on both sides")
    for difference in differences:
        click.echo(
            f"{difference.group:14} {difference.figure:20} A {difference.a:.4f}  B {difference.b:.4f}  "
            f"B-A {difference.mean:+.4f}  [{difference.low:+.4f}, {difference.high:+.4f}]"
            f"{' *' if difference.significant else ''}  {difference.pairs} pairs"
        )


@click.command()
@click.option("--instances", default=3, show_default=True, type=click.IntRange(1))
@click.option("--engines", default=100, show_default=True, type=click.IntRange(1))
@click.option("--periods", default=20, show_default=True, type=click.IntRange(8), help="In four phases alike.")
@click.option("--loss", default=0.0, show_default=True, type=click.FloatRange(0, 0.9), help="Share of datagrams lost.")
@click.option("--kill", default=1, show_default=True, type=click.IntRange(0), help="Instances ended in phase two.")
@click.option(
    "--partition",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of instances cut off in the third phase.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--join", is_flag=True, help="Start from nothing, not from a cluster that has formed.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def duties(
    instances: int,
    engines: int,
    periods: int,
    loss: float,
    kill: int,
    partition: float,
    seed: int,
    join: bool,
    as_json: bool,
) -> None:
    """Shared duties: how evenly, how soon taken over, how soon settled after a partition."""
    import ujson

    from decklb.lab.experiments.shared_duties import Experiment, run

    try:
        figures = run(Experiment(instances, engines, periods, loss, kill, partition, seed, join=join))
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    if as_json:
        return click.echo(ujson.dumps(figures))
    for name, value in figures.items():
        click.echo(f"{name:32} {value}")


@click.command()
@click.option("--managers", default=12, show_default=True, type=click.IntRange(2, 1000))
@click.option("--zones", "count", default=4, show_default=True, type=click.IntRange(2, 100))
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 1000))
@click.option("--case", "cases", multiple=True, help="Only these; all by default.")
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes side by side.")
@click.option("--plot", "picture", default="", help="File for a plot of the load on the zone that is struck (PNG).")
def zones(managers: int, count: int, seeds: int, cases: tuple[str, ...], workers: int, picture: str) -> None:
    """Zones judged in common against each manager judging alone, over paired seeds, on a simulated network."""
    from decklb.lab.experiments.zone_agreement import CASES, campaign, plot, table

    check_cases(cases, CASES)
    results = campaign(list(cases or CASES), list(range(1, seeds + 1)), managers, count, workers)
    for row in table(results):
        click.echo("  ".join(f"{name} {value}" for name, value in row.items()))
    if picture:
        plot(results, picture)
