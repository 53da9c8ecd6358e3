"""Commands that measure the speed of the emulator, the accuracy of the engine model, and embedded stores."""

from __future__ import annotations

import click

from decklb import log


@click.command()
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
        summary = profiler.runcall(run.run)
        pstats.Stats(profiler).sort_stats("tottime").print_stats(14)
    else:
        summary = run.run()
    run_seconds = summary["cost_run_s"]
    requests, events = summary["requests"], summary["events"]
    click.echo(
        f"{managers} x {engines}: {requests} requests and {events} events in {run_seconds:.2f} s: "
        f"{requests / run_seconds:.0f} requests/s, {events / run_seconds:.0f} events/s; "
        f"a step {summary['cost_step_us']:.0f} us, "
        f"steps {100 * summary['cost_steps_s'] / run_seconds:.0f}% of the run; "
        f"worth {summary['worth']:.3f}, {summary['broken']} rules broken"
    )


@click.command()
@click.option("--arrivals", default=400_000, show_default=True, type=click.IntRange(1000))
@click.option("--seed", default=1, show_default=True)
def theory(arrivals: int, seed: int) -> None:
    """The engine's model against queueing theory: M/M/1-PS, M/M/c, Erlang's loss."""
    from decklb.lab.experiments import queueing_theory

    for line in queueing_theory.table(arrivals, seed):
        click.echo(line)


@click.command()
@click.option("--writes", default=5000, show_default=True, type=click.IntRange(100, 1_000_000))
@click.option("--keys", default=4, show_default=True, type=click.IntRange(1, 1000), help="In one write.")
@click.option("--size", default=600, show_default=True, type=click.IntRange(1, 1 << 20), help="Bytes of a record.")
@click.option("--seed", default=1, show_default=True)
def stores(writes: int, keys: int, size: int, seed: int) -> None:
    """Embedded stores for the handoff's records: what one write costs, with syncs and without."""
    from decklb.lab.experiments.store_benchmark import measure

    for row in measure(writes, keys, size, seed):
        click.echo("  ".join(f"{name} {value}" for name, value in row.items()))
