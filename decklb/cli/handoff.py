"""The command `handoff`: the requests in flight that a running process holds for itself and for others."""

from __future__ import annotations

import click

from decklb.cli.control import query_process
from decklb.cli.options import JSON, SETTINGS, SOCKET
from decklb.cli.tables import print_table


@click.command()
@SOCKET
@SETTINGS
@JSON
def handoff(socket: str | None, settings: str | None, as_json: bool) -> None:
    """The requests in hand that this instance holds for itself and for others."""
    import ujson

    found = query_process(socket, settings, "handoff")
    if as_json:
        return click.echo(ujson.dumps(found))
    if not found:
        return click.echo("the handoff is off here: its settings have no <handoff>")
    counts = found.pop("counts")
    print_table(
        [["HELD", "VALUE"]]
        + [[name, str(value)] for name, value in found.items()]
        + [[f"count {name}", str(value)] for name, value in sorted(counts.items())]
    )
