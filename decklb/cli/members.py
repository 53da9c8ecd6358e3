"""The command `members`: the members of the cluster as one running process sees them."""

from __future__ import annotations

from typing import Any

import click

from decklb.cli.control import query_process
from decklb.cli.options import JSON, SETTINGS, SOCKET
from decklb.cli.tables import format_age, print_table

HEADERS = ["MEMBER", "ADDRESS", "STATE", "SETTLED", "WEIGHT", "SINCE"]


@click.command()
@SOCKET
@SETTINGS
@JSON
def members(socket: str | None, settings: str | None, as_json: bool) -> None:
    """The members of the cluster, as one running instance sees them."""
    import ujson

    answer = query_process(socket, settings, "members")
    if as_json:
        return click.echo(ujson.dumps(answer))
    print_table([HEADERS, *map(_row, answer["members"])])
    health = answer["health"]
    if health["minority"]:
        click.echo("this side sees under half of the members known lately: periods are stretched")
    if health["yielding"]:
        click.echo("another instance has this one's name: it does nothing until that is settled")


def _row(member: dict[str, Any]) -> list[str]:
    return [
        member["name"] + (" *" if member["self"] else ""),
        member["address"],
        member["state"],
        "yes" if member["settled"] else "no",
        f"{member['weight']:g}",
        format_age(member["since_ms"]),
    ]
