"""Experiments on simulated time."""

from __future__ import annotations

import click


@click.group()
def lab() -> None:
    """Experiments on simulated time, with the real modules."""


@lab.command()
@click.option("--instances", default=3, show_default=True, type=click.IntRange(1))
@click.option("--engines", default=100, show_default=True, type=click.IntRange(1))
@click.option("--periods", default=20, show_default=True, type=click.IntRange(8), help="In four phases alike.")
@click.option("--loss", default=0.0, show_default=True, type=click.FloatRange(0, 0.9), help="Share of datagrams lost.")
@click.option("--kill", default=1, show_default=True, type=click.IntRange(0), help="Instances ended in phase two.")
@click.option("--partition", default=0.0, show_default=True, type=click.FloatRange(0, 1),
              help="Share of instances cut off in the third phase.")
@click.option("--seed", default=1, show_default=True)
@click.option("--join", is_flag=True, help="Start from nothing, not from a cluster that has formed.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def duties(instances: int, engines: int, periods: int, loss: float, kill: int, partition: float, seed: int, join: bool,
           as_json: bool) -> None:
    """Shared duties: how evenly, how soon taken over, how soon settled after a partition."""
    import ujson

    from decklb.lab.duties import Experiment, run

    try:
        found = run(Experiment(instances, engines, periods, loss, kill, partition, seed, join=join))
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    if as_json:
        return click.echo(ujson.dumps(found))
    for name, value in found.items():
        click.echo(f"{name:32} {value}")
