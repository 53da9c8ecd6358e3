"""Commands that work in real time on loopback: stand-in engines, and load on a running manager."""

from __future__ import annotations

from typing import Any

import click

from decklb import log


@click.command()
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
    from twisted.internet import reactor as installed_reactor

    from decklb.lab.emulation.engine_model import EngineSpec
    from decklb.lab.standins import engine_server

    log.set_up("INFO", "text")
    reactor: Any = installed_reactor
    for engine, port in engine_server.listen(reactor, count, EngineSpec(cores=cores), front, first_port):
        click.echo(f"{engine.name} 127.0.0.1:{port}")
    reactor.run()


@click.command()
@click.argument("path")
@click.option("--target", "where", required=True, help="HOST:PORT on loopback.")
@click.option("--front", type=click.Choice(["frames", "pg"]), default="frames", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", help="Folder for the same tables as `lab run` writes.")
def load(path: str, where: str, front: str, seed: int, out: str | None) -> None:
    """Send an experiment's workload to a running program: open loop, latencies from when a request was due."""
    from twisted.internet import reactor as installed_reactor

    from decklb.config import ConfigError
    from decklb.lab.experiments import cell_runner, experiment_file
    from decklb.lab.experiments.experiment import Cell
    from decklb.lab.experiments.load_generator import LoadRun, target

    try:
        experiment, address = experiment_file.load(path), target(where)
    except (ConfigError, ValueError) as error:
        raise click.ClickException(str(error)) from error
    log.set_up("ERROR", "text")
    reactor: Any = installed_reactor
    run = LoadRun(reactor, address, front, experiment.world.workload, experiment.world.duration_ms, seed)
    run.on_done = reactor.stop
    reactor.callWhenRunning(run.start)
    reactor.run()
    summary = run.summary()
    for name, value in summary.items():
        click.echo(f"{name:24} {value if not isinstance(value, float) else round(value, 4)}")
    if out:
        cell = Cell(f"{front}_seed={seed}", front, (), seed, experiment.world)
        rows = {"requests": run.rows, "attempts": [], "engines": [], "seconds": []}
        cell_runner.store(cell, out, experiment.name, experiment.digest, {"cell": cell.name} | summary, rows)
