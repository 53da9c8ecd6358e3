"""The commands `maint ...`: request, cancel and inspect maintenance of machines, through any running process."""

from __future__ import annotations

import os
import time
from typing import Any

import click

from decklb.cli.control import query_process
from decklb.cli.options import JSON, SETTINGS, SOCKET
from decklb.cli.tables import format_age, print_table

STATUS_HEADERS = ["JOB", "MACHINE", "ZONE", "STAGE", "SINCE", "REASON"]
PLAN_HEADERS = ["", "MACHINE", "ZONE", "STAGE", "JOB"]
MS_PER_S = 1000
FINISHED_STAGES = ("done", "cancelled")


@click.group()
def maint() -> None:
    """Take engines and managers out for work, in an order that the managers settle."""


@maint.command()
@SOCKET
@SETTINGS
@click.argument("machines", nargs=-1, required=True)
@click.option("--job", help="The job's name; asked again under the same name it is the same job. Made up by default.")
@click.option("--reason", default="", help="Told to whoever looks.")
@click.option("--window", type=click.FloatRange(1), help="Seconds for the work on one machine, then it is overdue.")
def request(
    socket: str | None,
    settings: str | None,
    machines: tuple[str, ...],
    job: str | None,
    reason: str,
    window: float | None,
) -> None:
    """Ask for MACHINES to be taken out: engines by id, zone or pattern, managers as manager:NAME."""
    name = job or f"job-{int(time.time())}-{os.getpid()}"
    query_process(
        socket,
        settings,
        "plan-request",
        job=name,
        machines=list(machines),
        reason=reason,
        window=MS_PER_S * window if window else 0,
    )
    click.echo(f"{name}: taken into the plan")


@maint.command()
@SOCKET
@SETTINGS
@click.argument("job")
def cancel(socket: str | None, settings: str | None, job: str) -> None:
    """End JOB at once: what waits or drains takes work again, and so does what is out and up."""
    query_process(socket, settings, "plan-cancel", job=job)
    click.echo(f"{job}: cancelled")


@maint.command()
@SOCKET
@SETTINGS
@click.argument("machine")
def back(socket: str | None, settings: str | None, machine: str) -> None:
    """Say that the work on MACHINE is done, where the members can't see it: one that went down and came up is seen."""
    query_process(socket, settings, "plan-back", machine=machine)
    click.echo(f"{machine}: back")


@maint.command()
@SOCKET
@SETTINGS
@JSON
def status(socket: str | None, settings: str | None, as_json: bool) -> None:
    """The plan as this instance knows it: each machine's stage, and why nothing goes on."""
    import ujson

    answer = query_process(socket, settings, "plan")
    if as_json:
        return click.echo(ujson.dumps(answer))
    if not answer:
        return click.echo("no plan here: the settings have no <maintenance>")
    rows = [_status_row(job, machine) for job in answer["jobs"] for machine in job["machines"]]
    print_table([STATUS_HEADERS, *rows])
    _print_hold_reason(answer)
    click.echo(f"{answer['steps']} steps done so far; the next is {answer['driver']}'s to do")
    if not answer["remembers"]:
        click.echo("this instance has started and does not know the plan yet")


@maint.command()
@SOCKET
@SETTINGS
def plan(socket: str | None, settings: str | None) -> None:
    """What is still to go, in the order in which it will: those under way first."""
    answer = query_process(socket, settings, "plan") or {"jobs": [], "hold": ""}
    machines = [
        (job["job"], machine)
        for job in answer["jobs"]
        for machine in job["machines"]
        if machine["stage"] not in FINISHED_STAGES
    ]
    machines.sort(key=lambda pair: pair[1]["stage"] == "waiting")
    if not machines:
        return click.echo("nothing is to go")
    rows = [
        [str(position), machine["machine"], machine["zone"], machine["stage"], job]
        for position, (job, machine) in enumerate(machines, 1)
    ]
    print_table([PLAN_HEADERS, *rows])
    _print_hold_reason(answer)


def _status_row(job: dict[str, Any], machine: dict[str, Any]) -> list[str]:
    return [
        job["job"],
        machine["machine"],
        machine["zone"],
        machine["stage"] + (" (overdue)" if machine["overdue"] else ""),
        format_age(machine["since_ms"]),
        job["reason"] or "-",
    ]


def _print_hold_reason(answer: dict[str, Any]) -> None:
    """Print why the plan is on hold, if it is."""
    if answer["hold"]:
        click.echo(f"waiting: {answer['hold']}")
