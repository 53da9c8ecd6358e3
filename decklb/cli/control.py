"""Sends queries and commands of the command line to a running process over its control socket."""

from __future__ import annotations

from typing import Any

import click

from decklb import config as configuration


def query_process(socket: str | None, settings: str | None, name: str, **arguments: Any) -> Any:
    """Send a query or command and return its result.

    Args:
        socket: Path of the control socket; if None, the one that the settings name.
        settings: The operators' XML file; if None, the one that DECKLB_SETTINGS names.
        name: Name of the query or command.
        arguments: Arguments of the command.

    Raises:
        click.ClickException: No socket is named, or the query or command failed.
    """
    from decklb.management.control_client import ControlError, query

    path = socket if socket is not None else _socket_from_settings(settings)
    if not path:
        raise click.ClickException("the settings have no <control>; give one, or --socket")
    try:
        return query(path, name, **arguments)
    except ControlError as error:
        raise click.ClickException(str(error)) from error


def _socket_from_settings(settings: str | None) -> str:
    try:
        return configuration.load(None, settings).control
    except configuration.ConfigError as error:
        raise click.ClickException(f"{error}; --socket names a running instance too") from error
