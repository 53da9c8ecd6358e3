"""Commands that run fleets of real processes under faults drawn by seed, on loopback."""

from __future__ import annotations

from typing import Any

import click

from decklb import log


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
    import asyncio

    import ujson

    from decklb.lab.checks.execution_verdict import Verdict, total
    from decklb.lab.fault_runs import handoff_run as outage
    from decklb.lab.faults.fault_schedule import FleetFault, FleetFaultKind

    log.set_up("ERROR", "text")
    setup = outage.Setup(
        managers,
        count,
        rate,
        1000.0 * seconds,
        strikes,
        kinds=tuple(FleetFaultKind(x) for x in only) or outage.KINDS,
        data=data,
        work=work or outage.WORK,
    )
    unclean: list[dict[str, Any]] = []

    def told(number: int, v: Verdict, struck: list[FleetFault]) -> None:
        if not v.clean:
            unclean.append(
                {
                    "seed": number,
                    "faults": outage.described(struck),
                    "lost": v.lost,
                    "doubled": v.doubled,
                    "repeated": v.repeated,
                    "overlapping": v.overlapping,
                }
            )
        if not as_json:
            kinds = ",".join(f.kind.value for f in struck[::2])
            click.echo(
                f"seed {number:5} {kinds:12} {v.requests} requests, {v.came_back} came back, "
                f"{'clean' if v.clean else unclean[-1]}"
            )

    try:
        verdicts, counts = asyncio.run(outage.campaign(setup, list(range(seed, seed + runs)), fleets, told, logs))
    except (OSError, RuntimeError) as error:
        raise click.ClickException(str(error)) from error
    found = total(verdicts) | {"log": counts}
    if as_json:
        click.echo(ujson.dumps(found | {"managers": managers, "unclean": unclean}))
    else:
        for name, value in found.items():
            click.echo(f"{name:14} {value}")
    if unclean:
        raise SystemExit(1)


@click.command()
@click.option("--managers", default=3, show_default=True, type=click.IntRange(3, 9))
@click.option("--requests", default=2000, show_default=True, type=click.IntRange(10, 100_000), help="Of each kind.")
@click.option("--at-once", default=4, show_default=True, type=click.IntRange(1, 64), help="Sessions side by side.")
@click.option("--seed", default=1, show_default=True)
def copies(managers: int, requests: int, at_once: int, seed: int) -> None:
    """What protecting a statement costs: time to its answer with a key and without, between real processes."""
    import asyncio

    from decklb.lab.fault_runs import handoff_run as outage

    log.set_up("ERROR", "text")
    found = asyncio.run(outage.cost(outage.Setup(managers), requests, at_once, seed))
    for kind, figures in found.items():
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
    import asyncio

    import ujson

    from decklb.lab.checks.zone_verdict import ZoneVerdict, table
    from decklb.lab.fault_runs import zone_run as lab

    log.set_up("ERROR", "text")
    if strange := set(cases) - set(lab.CASES):
        raise click.ClickException(f"no case {min(strange)!r}; one of {', '.join(lab.CASES)}")

    def told(r: ZoneVerdict) -> None:
        if not as_json:
            click.echo(
                f"{r.case:7} {r.way:6} seed {r.seed:3}: {r.requests} requests, {r.lost} lost, {r.errors} errors,"
                f" {100 * r.left_share:.2f}% left, {r.wrong} wrong, {r.changes} changes, flood {r.flood:g}, "
                f"late {r.late_ms:.0f} ms"
            )

    try:
        made = asyncio.run(
            lab.campaign(
                list(cases or lab.CASES),
                list(range(seed, seed + runs)),
                list(ways or ("alone", "common")),
                fleets,
                told,
                logs,
            )
        )
    except (OSError, RuntimeError) as error:
        raise click.ClickException(str(error)) from error
    rows = table(made)
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

    from decklb.lab.fault_runs import maintenance_run as lab

    log.set_up("ERROR", "text")
    if strange := set(cases) - set(lab.CASES):
        raise click.ClickException(f"no case {min(strange)!r}; one of {', '.join(lab.CASES)}")

    def told(r: lab.Told) -> None:
        click.echo(
            f"{r.case:11} seed {r.seed:3}: {r.seconds:5.1f} s, {r.requests} requests, {r.lost} lost, "
            f"{r.errors} errors, {r.over_budget} over budget, {len(r.doubled)} doubled, {r.unsafe} unsafe, "
            f"{r.overlapping} overlapping, {r.again} ran again, late {r.late_ms:.0f} ms, "
            f"{'clean' if r.clean else 'NOT CLEAN'} {r.doubled or ''} {r.seen}"
        )

    made = asyncio.run(lab.campaign(list(cases or lab.CASES), list(range(seed, seed + runs)), fleets, told, logs))
    click.echo(f"{len(made)} runs, {sum(r.clean for r in made)} clean, {sum(r.requests for r in made)} requests")
    if not all(r.clean for r in made):
        raise SystemExit(1)
