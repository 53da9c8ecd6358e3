"""The command `duties`: the owner and the last result of each periodic duty."""

from __future__ import annotations

from typing import Any

import click

from decklb.cli.control import query_process
from decklb.cli.options import JSON, SETTINGS, SOCKET
from decklb.cli.tables import format_age, print_table

HEADERS = ["KIND", "SUBJECT", "OWNER", "TERM", "RESULT", "AGE", "PASSED"]
RESULTS = {True: "up", False: "failed", None: "-"}


@click.command()
@SOCKET
@SETTINGS
@JSON
@click.option("--own", is_flag=True, help="Only those that this instance owns.")
def duties(socket: str | None, settings: str | None, as_json: bool, own: bool) -> None:
    """The periodic duties: owner, term, last result and its age."""
    import ujson

    listed = [duty for duty in query_process(socket, settings, "duties") if duty["own"] or not own]
    if as_json:
        return click.echo(ujson.dumps(listed))
    print_table([HEADERS, *map(_row, listed)])


def _row(duty: dict[str, Any]) -> list[str]:
    return [
        duty["kind"],
        duty["subject"],
        (duty["owner"] or "-") + (" *" if duty["own"] else ""),
        str(duty["term"] or "-"),
        "down" if duty["down"] else RESULTS[duty["up"]],
        format_age(duty["age_ms"]),
        ",".join(duty["passed"]) or "-",
    ]
