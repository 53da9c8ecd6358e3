"""Commands that play crowds of clients against real manager processes, and measure memory and usual clients."""

from __future__ import annotations

from pathlib import Path

import click

from decklb import log


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
