"""Experiments on simulated time."""

from __future__ import annotations

from typing import Any

import click

from decklb import log


@click.group()
def lab() -> None:
    """Experiments on simulated time, with the real modules."""


@lab.command()
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
        found = run(Experiment(instances, engines, periods, loss, kill, partition, seed, join=join))
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    if as_json:
        return click.echo(ujson.dumps(found))
    for name, value in found.items():
        click.echo(f"{name:32} {value}")


@lab.command(name="run")
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
        x = experiment_file.load(path)
    except ConfigError as error:
        raise click.ClickException(str(error)) from error
    log.set_up("ERROR", "text")
    with Progress(TextColumn(x.name), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn(), disable=quiet) as bar:
        task = bar.add_task(x.name, total=None)
        try:
            found = cell_runner.run_all(
                x,
                out,
                workers or os.cpu_count() or 1,
                lambda done, total: bar.update(task, completed=done, total=total),
            )
        except ValueError as error:
            raise click.ClickException(str(error)) from error
    broken = sum(s["broken"] for s in found)
    click.echo(
        f"{len(found)} cells, {sum(s['requests'] for s in found)} requests, {broken} rules broken; tables in {out}"
    )


@lab.command()
@click.argument("folder")
def report(folder: str) -> None:
    """Tables and plots of what has run: one HTML page."""
    from decklb.lab.experiments import report as page

    try:
        click.echo(page.make(folder))
    except (OSError, IndexError) as error:
        raise click.ClickException(f"{folder}: nothing to report: {error}") from error


@lab.command()
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
        left = [s for s in read_table(a, "summaries") if policy_a in (None, s["policy"])]
        right = [s for s in read_table(b, "summaries") if policy_b in (None, s["policy"])]
    except OSError as error:
        raise click.ClickException(str(error)) from error
    found = statistics.compare(left, right, list(what), Streams(1).get("bootstrap"))
    if not found:
        raise click.ClickException("no cells with the same factors and seed on both sides")
    for d in found:
        click.echo(
            f"{d.group:14} {d.what:20} A {d.a:.4f}  B {d.b:.4f}  B-A {d.mean:+.4f}  "
            f"[{d.low:+.4f}, {d.high:+.4f}]{' *' if d.clear else ''}  {d.pairs} pairs"
        )


@lab.command()
@click.option("--managers", default=3, show_default=True, type=click.IntRange(1))
@click.option("--engines", default=8, show_default=True, type=click.IntRange(1))
@click.option("--rate", default=0.0, help="Requests a second; 25 an engine by default.", show_default=False)
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(1))
@click.option("--profile", is_flag=True, help="Where the time goes.")
def bench(managers: int, engines: int, rate: float, seconds: float, profile: bool) -> None:
    """What a run costs: events and requests a second on one core, for a world of a size."""
    import cProfile
    import pstats

    from decklb.lab.emulation.emulator import Run
    from decklb.lab.experiments.bundled import world

    log.set_up("ERROR", "text")
    run = Run(world(managers, engines, rate or 25.0 * engines, 1000.0 * seconds), 1)
    if profile:
        profiler = cProfile.Profile()
        s = profiler.runcall(run.run)
        pstats.Stats(profiler).sort_stats("tottime").print_stats(14)
    else:
        s = run.run()
    took = s["cost_run_s"]
    click.echo(
        f"{managers} x {engines}: {s['requests']} requests and {s['events']} events in {took:.2f} s: "
        f"{s['requests'] / took:.0f} requests/s, {s['events'] / took:.0f} events/s; "
        f"a step {s['cost_step_us']:.0f} us, steps {100 * s['cost_steps_s'] / took:.0f}% of the run; "
        f"worth {s['worth']:.3f}, {s['broken']} rules broken"
    )


@lab.command()
@click.option("--arrivals", default=400_000, show_default=True, type=click.IntRange(1000))
@click.option("--seed", default=1, show_default=True)
def theory(arrivals: int, seed: int) -> None:
    """The engine's model against queueing theory: M/M/1-PS, M/M/c, Erlang's loss."""
    from decklb.lab.experiments import queueing_theory as known

    for line in known.table(arrivals, seed):
        click.echo(line)


@lab.command()
@click.option("--count", default=4, show_default=True, type=click.IntRange(1, 64))
@click.option(
    "--front",
    type=click.Choice(["frames", "pg"]),
    default="frames",
    show_default=True,
    help="RESP for frames, PostgreSQL for pg.",
)
@click.option("--cores", default=8, show_default=True, type=click.IntRange(1))
@click.option("--first-port", default=0, help="Ports follow one another; ephemeral by default.", show_default=False)
def engines(count: int, front: str, cores: int, first_port: int) -> None:
    """Stand-in engines on loopback that follow the emulator's model in real time, until interrupted."""
    from twisted.internet import reactor as real

    from decklb.lab.emulation.engine_model import EngineSpec
    from decklb.lab.standins import engine_server as live

    log.set_up("INFO", "text")
    reactor: Any = real
    for engine, port in live.listen(reactor, count, EngineSpec(cores=cores), front, first_port):
        click.echo(f"{engine.name} 127.0.0.1:{port}")
    reactor.run()


@lab.command()
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


@lab.command()
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


@lab.command()
@click.option("--writes", default=5000, show_default=True, type=click.IntRange(100, 1_000_000))
@click.option("--keys", default=4, show_default=True, type=click.IntRange(1, 1000), help="In one write.")
@click.option("--size", default=600, show_default=True, type=click.IntRange(1, 1 << 20), help="Bytes of a record.")
@click.option("--seed", default=1, show_default=True)
def stores(writes: int, keys: int, size: int, seed: int) -> None:
    """Embedded stores for the handoff's records: what one write costs, with syncs and without."""
    from decklb.lab.experiments.store_benchmark import measure

    for row in measure(writes, keys, size, seed):
        click.echo("  ".join(f"{name} {value}" for name, value in row.items()))


@lab.command()
@click.option("--managers", default=12, show_default=True, type=click.IntRange(2, 1000))
@click.option("--zones", "count", default=4, show_default=True, type=click.IntRange(2, 100))
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 1000))
@click.option("--case", "cases", multiple=True, help="Only these; all by default.")
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes side by side.")
@click.option("--plot", "picture", default="", help="File for a plot of the load on the zone that is struck (PNG).")
def zones(managers: int, count: int, seeds: int, cases: tuple[str, ...], workers: int, picture: str) -> None:
    """Zones judged in common against each manager judging alone, over paired seeds, on a simulated network."""
    from decklb.lab.experiments.zone_agreement import CASES, campaign, plot, table

    if strange := set(cases) - set(CASES):
        raise click.ClickException(f"no case {min(strange)!r}; one of {', '.join(CASES)}")
    runs = campaign(list(cases or CASES), list(range(1, seeds + 1)), managers, count, workers)
    for row in table(runs):
        click.echo("  ".join(f"{name} {value}" for name, value in row.items()))
    if picture:
        plot(runs, picture)


@lab.command()
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


@lab.command()
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


@lab.command()
@click.argument("path")
@click.option("--target", "where", required=True, help="HOST:PORT on loopback.")
@click.option("--front", type=click.Choice(["frames", "pg"]), default="frames", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", help="Folder for the same tables as `lab run` writes.")
def load(path: str, where: str, front: str, seed: int, out: str | None) -> None:
    """Send an experiment's workload to a running program: open loop, latencies from when a request was due."""
    from twisted.internet import reactor as real

    from decklb.config import ConfigError
    from decklb.lab.experiments import cell_runner, experiment_file
    from decklb.lab.experiments.experiment import Cell
    from decklb.lab.experiments.load_generator import Load, target

    try:
        x, address = experiment_file.load(path), target(where)
    except (ConfigError, ValueError) as error:
        raise click.ClickException(str(error)) from error
    log.set_up("ERROR", "text")
    reactor: Any = real
    run = Load(reactor, address, front, x.world.workload, x.world.duration_ms, seed)
    run.done = reactor.stop
    reactor.callWhenRunning(run.start)
    reactor.run()
    s = run.summary()
    for name, value in s.items():
        click.echo(f"{name:24} {value if not isinstance(value, float) else round(value, 4)}")
    if out:
        cell = Cell(f"{front}_seed={seed}", front, (), seed, x.world)
        rows = {"requests": run.rows, "attempts": [], "engines": [], "seconds": []}
        cell_runner.store(cell, out, x.name, x.digest, {"cell": cell.name} | s, rows)
