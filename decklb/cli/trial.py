"""One command for a newcomer."""

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
    from twisted.internet import reactor as real

    from decklb.lab.emulation.emulator import Run
    from decklb.lab.experiments import local_trial as trial
    from decklb.lab.experiments.bundled import world

    log.set_up("ERROR", "text")
    reactor: Any = real
    w = world(1, engines, rate, 1000.0 * seconds)
    left = set(trial.FRONTS)
    failed: list[str] = []

    def told(s: dict[str, Any]) -> None:
        left.discard(s["front"])
        if "error" in s:
            failed.append(s["error"])
        else:
            _tell(s["front"], s)
            if s["unanswered"]:
                failed.append(f"{s['front']}: {s['unanswered']} requests without an answer")
        if not left:
            reactor.stop()

    click.echo(f"{engines} engines and one program for each front; {rate:g} requests a second for {seconds:g} s ...")
    for front in trial.FRONTS:
        trial.play(reactor, w, front, 1, told)
    reactor.run()
    _tell("emulated", Run(w, 1).run())
    if failed:
        raise click.ClickException("; ".join(failed))


def _tell(name: str, s: dict[str, object]) -> None:
    p50 = "  ".join(
        f"{k.removeprefix('p50_')} {v:.0f}/{s['p95_' + k.removeprefix('p50_')]:.0f}"
        for k, v in s.items()
        if k.startswith("p50_") and isinstance(v, float)
    )
    click.echo(
        f"{name:9} {s['requests']} requests: {s['served']} served, {s['refused']} refused, "
        f"{s['failed']} failed; worth {s['worth']:.3f} of 1; p50/p95 in ms: {p50}"
    )
