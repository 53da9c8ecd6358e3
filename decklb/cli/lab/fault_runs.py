"""Commands that run fleets of real processes on loopback, under faults drawn from a seed."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, TypeVar

import click

from decklb import log
from decklb.cli.lab.cases import check_cases

if TYPE_CHECKING:
    from decklb.lab.checks.execution_verdict import Verdict
    from decklb.lab.checks.zone_verdict import ZoneVerdict
    from decklb.lab.fault_runs.maintenance_run import MaintenanceResult
    from decklb.lab.faults.fault_schedule import FleetFault

T = TypeVar("T")


@click.command()
@click.option("--managers", default=3, show_default=True, type=click.IntRange(3, 9))
@click.option("--engines", "count", default=3, show_default=True, type=click.IntRange(1, 9))
@click.option("--runs", default=4, show_default=True, type=click.IntRange(1, 1000), help="Seeds, from --seed on.")
@click.option("--seed", default=1, show_default=True)
@click.option("--fleets", default=1, show_default=True, type=click.IntRange(1, 16), help="Fleets side by side.")
@click.option("--rate", default=25.0, show_default=True, type=click.FloatRange(0.1, 200), help="Requests a second.")
@click.option("--seconds", default=5.0, show_default=True, type=click.FloatRange(1, 60), help="Length of a run.")
@click.option("--faults", "strikes", default=1, show_default=True, type=click.IntRange(0, 20), help="In each run.")
@click.option(
    "--only",
    multiple=True,
    type=click.Choice(["kill", "stop", "partition", "cut", "lossy", "ahead", "behind", "engines"]),
    help="Kinds of faults; all but engines by default.",
)
@click.option("--work", multiple=True, type=click.IntRange(0, 4000), help="ms of statements; 5 to 300 by default.")
@click.option("--data", is_flag=True, help="Managers keep their records on disk.")
@click.option("--logs", default="", help="Folder for the logs of managers and engines of runs that were not clean.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object: the sum, and each run that was not clean.")
def faults(
    managers: int,
    count: int,
    runs: int,
    seed: int,
    fleets: int,
    rate: float,
    seconds: float,
    strikes: int,
    only: tuple[str, ...],
    work: tuple[int, ...],
    data: bool,
    logs: str,
    as_json: bool,
) -> None:
    """Managers as processes that take over one another's work, under faults by seed; loopback only, ends by itself."""
    from decklb.lab.fault_runs import handoff_fleet, handoff_run
    from decklb.lab.faults.fault_schedule import FleetFaultKind

    log.set_up("ERROR", "text")
    setup = handoff_fleet.Setup(
        managers,
        count,
        rate,
        1000.0 * seconds,
        strikes,
        kinds=tuple(FleetFaultKind(name) for name in only) or handoff_fleet.DEFAULT_KINDS,
        data=data,
        work=work or handoff_fleet.DEFAULT_WORK_MS,
    )
    output = _HandoffOutput(as_json)
    seeds = list(range(seed, seed + runs))
    verdicts, log_counts = _run_campaign(handoff_run.campaign(setup, seeds, fleets, output.add, logs))
    output.print_totals(managers, verdicts, log_counts)
    if output.unclean_runs:
        raise SystemExit(1)


@click.command()
@click.option("--managers", default=3, show_default=True, type=click.IntRange(3, 9))
@click.option("--requests", default=2000, show_default=True, type=click.IntRange(10, 100_000), help="Of each kind.")
@click.option("--at-once", default=4, show_default=True, type=click.IntRange(1, 64), help="Sessions side by side.")
@click.option("--seed", default=1, show_default=True)
def copies(managers: int, requests: int, at_once: int, seed: int) -> None:
    """What protecting a statement costs: time to its answer with a key and without, between real processes."""
    import asyncio

    from decklb.lab.fault_runs import handoff_fleet, key_cost

    log.set_up("ERROR", "text")
    figures_by_kind = asyncio.run(key_cost.measure_key_cost(handoff_fleet.Setup(managers), requests, at_once, seed))
    for kind, figures in figures_by_kind.items():
        text = "  ".join(f"{name} {value}" for name, value in figures.items())
        click.echo(f"{kind if kind == 'memory' else kind + ' a key':13}: {text}")


@click.command()
@click.option("--case", "cases", multiple=True, help="Only these; all by default.")
@click.option("--judge", "ways", multiple=True, type=click.Choice(["alone", "common"]), help="Both by default.")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=1, show_default=True, type=click.IntRange(1, 100), help="Seeds, from --seed on.")
@click.option("--fleets", default=1, show_default=True, type=click.IntRange(1, 8), help="Fleets side by side.")
@click.option("--logs", default="", help="Folder for the logs of all managers.")
@click.option("--json", "as_json", is_flag=True, help="One JSON array: a row for each case and way of judging.")
def regions(
    cases: tuple[str, ...], ways: tuple[str, ...], seed: int, runs: int, fleets: int, logs: str, as_json: bool
) -> None:
    """Five managers and six engines in three zones as processes, and faults between them; loopback only."""
    import ujson

    from decklb.lab.checks.zone_verdict import table
    from decklb.lab.fault_runs import zone_run

    log.set_up("ERROR", "text")
    check_cases(cases, zone_run.CASES)

    def print_run(verdict: ZoneVerdict) -> None:
        if not as_json:
            click.echo(_zone_run_line(verdict))

    seeds = list(range(seed, seed + runs))
    decision_modes = list(ways or ("alone", "common"))
    verdicts = _run_campaign(
        zone_run.campaign(list(cases or zone_run.CASES), seeds, decision_modes, fleets, print_run, logs)
    )
    rows = table(verdicts)
    if as_json:
        return click.echo(ujson.dumps(rows))
    for row in rows:
        click.echo("  ".join(f"{name} {value}" for name, value in row.items()))


@click.command()
@click.option("--case", "cases", multiple=True, help="Only these; all by default.")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=1, show_default=True, type=click.IntRange(1, 100), help="Seeds, from --seed on.")
@click.option("--fleets", default=1, show_default=True, type=click.IntRange(1, 8), help="Fleets side by side.")
@click.option("--logs", default="", help="Folder for the logs of all managers.")
def upkeep(cases: tuple[str, ...], seed: int, runs: int, fleets: int, logs: str) -> None:
    """Machines taken out by the fleet's plan, as processes, and faults between them; loopback only."""
    import asyncio

    from decklb.lab.fault_runs import maintenance_run

    log.set_up("ERROR", "text")
    check_cases(cases, maintenance_run.CASES)

    def print_run(run: MaintenanceResult) -> None:
        click.echo(_maintenance_run_line(run))

    seeds = list(range(seed, seed + runs))
    results = asyncio.run(
        maintenance_run.campaign(list(cases or maintenance_run.CASES), seeds, fleets, print_run, logs)
    )
    click.echo(
        f"{len(results)} runs, {sum(run.clean for run in results)} clean, "
        f"{sum(run.requests for run in results)} requests"
    )
    if not all(run.clean for run in results):
        raise SystemExit(1)


class _HandoffOutput:
    """Prints the runs of the command `faults`, and collects those that were not clean."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self.unclean_runs: list[dict[str, Any]] = []

    def add(self, seed: int, verdict: Verdict, faults: list[FleetFault]) -> None:
        """Print one run, and collect it if it was not clean."""
        result: Any = "clean"
        if not verdict.clean:
            result = _unclean_run(seed, verdict, faults)
            self.unclean_runs.append(result)
        if not self.as_json:
            kinds = ",".join(fault.kind.value for fault in faults[::2])  # each fault is followed by its end
            click.echo(f"seed {seed:5} {kinds:12} {verdict.requests} requests, {verdict.came_back} came back, {result}")

    def print_totals(self, managers: int, verdicts: list[Verdict], log_counts: dict[str, int]) -> None:
        """Print the totals of all runs."""
        import ujson

        from decklb.lab.checks.execution_verdict import total

        totals = total(verdicts) | {"log": log_counts}
        if self.as_json:
            click.echo(ujson.dumps(totals | {"managers": managers, "unclean": self.unclean_runs}))
            return
        for name, value in totals.items():
            click.echo(f"{name:14} {value}")


def _unclean_run(seed: int, verdict: Verdict, faults: list[FleetFault]) -> dict[str, Any]:
    from decklb.lab.fault_runs import handoff_run

    return {
        "seed": seed,
        "faults": handoff_run.describe_faults(faults),
        "lost": verdict.lost,
        "doubled": verdict.doubled,
        "repeated": verdict.repeated,
        "overlapping": verdict.overlapping,
    }


def _zone_run_line(verdict: ZoneVerdict) -> str:
    return (
        f"{verdict.case:7} {verdict.way:6} seed {verdict.seed:3}: {verdict.requests} requests, {verdict.lost} lost, "
        f"{verdict.errors} errors, {100 * verdict.left_share:.2f}% left, {verdict.wrong} wrong, "
        f"{verdict.changes} changes, flood {verdict.flood:g}, late {verdict.late_ms:.0f} ms"
    )


def _maintenance_run_line(run: MaintenanceResult) -> str:
    return (
        f"{run.case:11} seed {run.seed:3}: {run.seconds:5.1f} s, {run.requests} requests, {run.lost} lost, "
        f"{run.errors} errors, {run.over_budget} over budget, {len(run.doubled)} doubled, "
        f"{run.unsafe} unsafe, "
        f"{run.overlapping} overlapping, {run.again} ran again, late {run.late_ms:.0f} ms, "
        f"{'clean' if run.clean else 'NOT CLEAN'} {run.doubled or ''} {run.seen}"
    )


def _run_campaign(campaign: Coroutine[Any, Any, T]) -> T:
    """Run the campaign and return its result.

    Raises:
        click.ClickException: A process could not be started, or failed.
    """
    import asyncio

    try:
        return asyncio.run(campaign)
    except (OSError, RuntimeError) as error:
        raise click.ClickException(str(error)) from error
