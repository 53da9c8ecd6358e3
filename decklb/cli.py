"""The command line."""

from __future__ import annotations

import sys
from importlib import metadata

import click
from loguru import logger

from decklb import config as configuration


@click.group()
def main() -> None:
    """A workload manager in front of query engines."""


@main.command()
@click.option("--config", "path", help="Configuration file; LB_CONFIG names it otherwise.")
@click.option("--log-level", default="INFO", show_default=True, help="Least level that is logged.")
def serve(path: str | None, log_level: str) -> None:
    """Serve until SIGTERM, then drain and exit."""
    logger.remove()
    logger.add(sys.stderr, level=log_level.upper(), format="{time:HH:mm:ss.SSS} {level} {message}",
               backtrace=False, diagnose=False)
    from twisted.internet import reactor

    from decklb.daemon.service import Service

    Service(reactor, _load(path), lambda: configuration.load(path)).run()


@main.command()
@click.option("--config", "path", help="Configuration file; LB_CONFIG names it otherwise.")
def check(path: str | None) -> None:
    """Read a configuration and say what it holds, or why it can't be used."""
    c = _load(path)
    click.echo(f"{c.name}: listens on {c.listen[0]}:{c.listen[1]}, {len(c.settings.classes)} classes, "
               f"{len(c.settings.tenants)} tenants, {c.most_clients} clients at most")


@main.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("decklb"))
    except metadata.PackageNotFoundError:  # run from a checkout
        click.echo("decklb, from a checkout")


def _load(path: str | None) -> configuration.Config:
    try:
        return configuration.load(path)
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
