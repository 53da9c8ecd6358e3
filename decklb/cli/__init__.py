"""The command line: one file for each group of commands. A command imports what it needs when it is called."""

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
