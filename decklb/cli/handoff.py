"""The command `handoff`: counts of the records of in-flight requests that a running process keeps, own and replicas."""

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

    answer = query_process(socket, settings, "handoff")
    if as_json:
        return click.echo(ujson.dumps(answer))
    if not answer:
        return click.echo("the handoff is off here: its settings have no <handoff>")
    counts = answer.pop("counts")
    print_table(
        [["HELD", "VALUE"]]
        + [[name, str(value)] for name, value in answer.items()]
        + [[f"count {name}", str(value)] for name, value in sorted(counts.items())]
    )
