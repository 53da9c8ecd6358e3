"""The command line, with one module per group of commands. A command imports the code that it needs when it is run."""

from __future__ import annotations

import click

from decklb.cli import check, duties, handoff, keys, lab, maint, members, serve, trial, zones


@click.group()
def main() -> None:
    """A workload manager in front of query engines."""


for command in (
    serve.serve,
    check.check,
    serve.schema,
    serve.version,
    members.members,
    duties.duties,
    handoff.handoff,
    zones.zones,
    maint.maint,
    keys.keys,
    lab.lab,
    trial.try_,
):
    main.add_command(command)

__all__ = ["main"]
