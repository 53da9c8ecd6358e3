"""Commands that play crowds of clients against real manager processes, and measure memory and usual clients."""

from __future__ import annotations

from pathlib import Path

import click

from decklb import log


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(1, 1000), help="Number of seeds.")
@click.option("--seconds", default=8.0, show_default=True, help="Length of a run.")
@click.option("--managers", default=1, show_default=True, type=click.IntRange(1, 5), help="Managers of each run.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of another version of the program, to compare with.",
)
def soak(first: int, seeds: int, seconds: float, managers: int, program: Path | None) -> None:
    """Play drawn crowds, series of signals and faults of engines, and check memory, answers, attempts and exits."""
    import asyncio

    from decklb.lab.crowds.soak_run import play_soak
    from decklb.lab.crowds.soak_verdict import findings, summary

    log.set_up("ERROR", "text")
    failed = 0
    for seed in range(first, first + seeds):
        record = asyncio.run(play_soak(seed, seconds, managers, program))
        found = findings(record)
        failed += bool(found)
        click.echo(f"seed {seed}: {summary(record)}: {'; '.join(found) or 'holds'}")
    click.echo(f"{seeds} seeds, {failed} with findings")
    if failed:
        raise SystemExit(1)


@click.command()
@click.option("--picture", "chosen", multiple=True, help="Name of a picture; repeat for more. Default: all.")
@click.option("--seconds", default=8.0, show_default=True, help="How long the crowd lasts.")
@click.option("--seed", default=1, show_default=True)
@click.option("--memory", default=192.0, show_default=True, help="Memory in the settings, in MB.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of another version of the program, to compare with.",
)
def crowds(chosen: tuple[str, ...], seconds: float, seed: int, memory: float, program: Path | None) -> None:
    """Play crowds that send large, slow or very many requests, and print a row of a table for each."""
    import asyncio

    from decklb.cli.lab.cases import check_cases
    from decklb.lab.crowds.picture_run import TABLE_HEADER, play_picture, table_row
    from decklb.lab.crowds.shapes import PICTURES

    log.set_up("ERROR", "text")
    check_cases(chosen, [picture.name for picture in PICTURES])
    click.echo(TABLE_HEADER)
    for picture in PICTURES:
        if not chosen or picture.name in chosen:
            result = asyncio.run(play_picture(picture, seconds, seed, program, memory))
            click.echo(table_row(result))
