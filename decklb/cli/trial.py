"""The command `try`: runs the program with each front on loopback, with stand-in engines and a load generator.

The same world is then run in the emulator, so that its figures can be compared with the program's.
"""

from __future__ import annotations

from typing import Any

import click

from decklb import log


@click.command(name="try")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(1, 600), help="Of load.")
@click.option(
    "--rate", default=60.0, show_default=True, type=click.FloatRange(1, 1000), help="Requests a second, on each front."
)
@click.option("--engines", default=4, show_default=True, type=click.IntRange(1, 64))
def try_(seconds: float, rate: float, engines: int) -> None:
    """Start stand-in engines, the program on both fronts and some load, and tell what happened."""
    from twisted.internet import reactor as installed_reactor

    from decklb.lab.emulation.emulator import Run
    from decklb.lab.experiments import local_trial
    from decklb.lab.experiments.bundled import world

    log.set_up("ERROR", "text")
    reactor: Any = installed_reactor
    trial_world = world(1, engines, rate, 1000.0 * seconds)
    running_fronts = set(local_trial.FRONTS)
    failures: list[str] = []

    def on_front_done(summary: dict[str, Any]) -> None:
        running_fronts.discard(summary["front"])
        failures.extend(_report_front(summary))
        if not running_fronts:
            reactor.stop()

    click.echo(f"{engines} engines and one program for each front; {rate:g} requests a second for {seconds:g} s ...")
    for front in local_trial.FRONTS:
        local_trial.play(reactor, trial_world, front, 1, on_front_done)
    reactor.run()
    _print_summary("emulated", Run(trial_world, 1).run())
    if failures:
        raise click.ClickException("; ".join(failures))


def _report_front(summary: dict[str, Any]) -> list[str]:
    """Print the summary of a front unless its run failed; return a message for each failure."""
    if "error" in summary:
        return [summary["error"]]
    front = summary["front"]
    _print_summary(front, summary)
    return [f"{front}: {summary['unanswered']} requests without an answer"] if summary["unanswered"] else []


def _print_summary(name: str, summary: dict[str, object]) -> None:
    latencies = "  ".join(
        f"{key.removeprefix('p50_')} {p50:.0f}/{summary['p95_' + key.removeprefix('p50_')]:.0f}"
        for key, p50 in summary.items()
        if key.startswith("p50_") and isinstance(p50, float)
    )
    click.echo(
        f"{name:9} {summary['requests']} requests: {summary['served']} served, {summary['refused']} refused, "
        f"{summary['failed']} failed; worth {summary['worth']:.3f} of 1; p50/p95 in ms: {latencies}"
    )
