"""The commands `serve`, which runs the manager, `schema` and `version`."""

from __future__ import annotations

from importlib import metadata

import click

from decklb import config as configuration
from decklb import log
from decklb.cli.config_files import load_config
from decklb.cli.options import CONFIG, SETTINGS


@click.command()
@CONFIG
@SETTINGS
@click.option("--log-level", default="INFO", show_default=True, help="Least level that is logged.")
@click.option(
    "--log-format",
    type=click.Choice(log.FORMATS),
    default="text",
    show_default=True,
    help="Lines for people, or one JSON object a line.",
)
def serve(path: str | None, settings: str | None, log_level: str, log_format: str) -> None:
    """Serve until SIGTERM, then drain and exit."""
    log.set_up(log_level, log_format)
    from decklb.wire.reactor import install

    reactor = install()  # before any import installs Twisted's default reactor
    log.redirect_twisted()
    from decklb.daemon.service import Service
    from decklb.wire.clock import use_monotonic_time

    try:
        use_monotonic_time(reactor)
        service = Service(reactor, load_config(path, settings), lambda: configuration.load(path, settings))
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
    service.run()


@click.command()
def schema() -> None:
    """Print the schema (XSD) of the operators' settings."""
    from decklb.config.xml import schema_text

    click.echo(schema_text(), nl=False)


@click.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("decklb"))
    except metadata.PackageNotFoundError:  # not installed: run from a checkout
        click.echo("decklb, from a checkout")
