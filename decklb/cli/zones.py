"""The command `zones`: the states of the zones, and the zones to which a running process sends its requests."""

from __future__ import annotations

from typing import Any

import click

from decklb.cli.control import query_process
from decklb.cli.options import JSON, SETTINGS, SOCKET
from decklb.cli.tables import format_age, print_table

HEADERS = ["ZONE", "REGION", "STATE", "TERM", "SINCE", "UP", "LOAD", "OPEN VOTES"]


@click.command()
@SOCKET
@SETTINGS
@JSON
def zones(socket: str | None, settings: str | None, as_json: bool) -> None:
    """The zones as the members have decided on them, and where this instance's requests go."""
    import ujson

    answer = query_process(socket, settings, "zones")
    if as_json:
        return click.echo(ujson.dumps(answer))
    if not answer:
        return click.echo("traffic is not kept near here: the settings have no <locality>")
    print_table([HEADERS, *map(_row, answer["zones"])])
    click.echo(
        f"{answer['near']} requests to the own zone, {answer['away']} to others; "
        f"{answer['members']} members known, {answer['quorum']} decide"
    )
    if answer["unreached"]:
        click.echo("not reached from here: " + ", ".join(answer["unreached"]))
    if answer["alone"]:
        click.echo("this instance goes by its own judgement: no quorum reaches it, or its settings say so")


def _row(zone: dict[str, Any]) -> list[str]:
    return [
        zone["zone"] + (" *" if zone["home"] else ""),
        zone["region"],
        zone["state"],
        str(zone["term"] or "-"),
        format_age(zone["since_ms"]),
        f"{100 * zone['up']:.0f}%",
        f"{zone['load_cores']:g}",
        " ".join(f"{member}:{vote}" for member, vote in zone["votes"].items()) or "-",
    ]
