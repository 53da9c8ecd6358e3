"""What a running instance says of itself, over its control socket."""

from __future__ import annotations

from typing import Any

import click

from decklb import config as configuration
from decklb.cli.serve import SETTINGS

SOCKET = click.option("--socket", help="The instance's control socket; the settings name it otherwise.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")


def _ask(path: str | None, settings: str | None, what: str, **more: Any) -> Any:
    from decklb.management.control_client import ControlError, query

    if path is None:
        try:
            path = configuration.load(None, settings).control
        except configuration.ConfigError as error:
            raise click.ClickException(f"{error}; --socket names a running instance too") from error
    if not path:
        raise click.ClickException("the settings have no <control>; give one, or --socket")
    try:
        return query(path, what, **more)
    except ControlError as error:
        raise click.ClickException(str(error)) from error


def _table(rows: list[list[str]]) -> None:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def _ago(ms: float | None) -> str:
    if ms is None:
        return "-"
    return f"{ms / 1000:.1f}s" if ms < 60_000 else f"{ms / 60_000:.0f}min"


@click.command()
@SOCKET
@SETTINGS
@JSON
def members(socket: str | None, settings: str | None, as_json: bool) -> None:
    """The members of the cluster, as one running instance sees them."""
    import ujson

    found = _ask(socket, settings, "members")
    if as_json:
        return click.echo(ujson.dumps(found))
    _table(
        [["MEMBER", "ADDRESS", "STATE", "SETTLED", "WEIGHT", "SINCE"]]
        + [
            [
                m["name"] + (" *" if m["self"] else ""),
                m["address"],
                m["state"],
                "yes" if m["settled"] else "no",
                f"{m['weight']:g}",
                _ago(m["since_ms"]),
            ]
            for m in found["members"]
        ]
    )
    health = found["health"]
    if health["minority"]:
        click.echo("this side sees under half of the members known lately: periods are stretched")
    if health["yielding"]:
        click.echo("another instance has this one's name: it does nothing until that is settled")


@click.command()
@SOCKET
@SETTINGS
@JSON
@click.option("--own", is_flag=True, help="Only those that this instance owns.")
def duties(socket: str | None, settings: str | None, as_json: bool, own: bool) -> None:
    """The periodic duties: owner, term, last result and its age."""
    import ujson

    rows = [r for r in _ask(socket, settings, "duties") if r["own"] or not own]
    if as_json:
        return click.echo(ujson.dumps(rows))
    result = {True: "up", False: "failed", None: "-"}
    _table(
        [["KIND", "SUBJECT", "OWNER", "TERM", "RESULT", "AGE", "PASSED"]]
        + [
            [
                r["kind"],
                r["subject"],
                (r["owner"] or "-") + (" *" if r["own"] else ""),
                str(r["term"] or "-"),
                "down" if r["down"] else result[r["up"]],
                _ago(r["age_ms"]),
                ",".join(r["passed"]) or "-",
            ]
            for r in rows
        ]
    )


@click.command()
@SOCKET
@SETTINGS
@JSON
def handoff(socket: str | None, settings: str | None, as_json: bool) -> None:
    """The requests in hand that this instance holds for itself and for others."""
    import ujson

    found = _ask(socket, settings, "handoff")
    if as_json:
        return click.echo(ujson.dumps(found))
    if not found:
        return click.echo("the handoff is off here: its settings have no <handoff>")
    counts = found.pop("counts")
    _table(
        [["HELD", "VALUE"]]
        + [[name, str(value)] for name, value in found.items()]
        + [[f"count {name}", str(value)] for name, value in sorted(counts.items())]
    )


@click.command()
@SOCKET
@SETTINGS
@JSON
def zones(socket: str | None, settings: str | None, as_json: bool) -> None:
    """The zones as the members have decided on them, and where this instance's requests go."""
    import ujson

    found = _ask(socket, settings, "zones")
    if as_json:
        return click.echo(ujson.dumps(found))
    if not found:
        return click.echo("traffic is not kept near here: the settings have no <locality>")
    _table(
        [["ZONE", "REGION", "STATE", "TERM", "SINCE", "UP", "LOAD", "OPEN VOTES"]]
        + [
            [
                z["zone"] + (" *" if z["home"] else ""),
                z["region"],
                z["state"],
                str(z["term"] or "-"),
                _ago(z["since_ms"]),
                f"{100 * z['up']:.0f}%",
                f"{z['load_cores']:g}",
                " ".join(f"{m}:{v}" for m, v in z["votes"].items()) or "-",
            ]
            for z in found["zones"]
        ]
    )
    click.echo(
        f"{found['near']} requests to the own zone, {found['away']} to others; "
        f"{found['members']} members known, {found['quorum']} decide"
    )
    if found["unreached"]:
        click.echo("not reached from here: " + ", ".join(found["unreached"]))
    if found["alone"]:
        click.echo("this instance goes by its own judgement: no quorum reaches it, or its settings say so")
