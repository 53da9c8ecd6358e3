"""Reads the configuration that a command's options name, for the commands `serve` and `check`."""

from __future__ import annotations

import click

from decklb import config as configuration


def load_config(path: str | None, settings: str | None) -> configuration.Config:
    """Read the configuration of a process.

    Args:
        path: The platform's JSON file, None for the one that the environment names.
        settings: The operators' XML file, None for the one that the environment names.

    Raises:
        click.ClickException: With every fault of the files, or the extra requirement that they need.
    """
    try:
        return configuration.load(path, settings)
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
    except ImportError as error:
        raise click.ClickException(f"{error}; settings in XML need `pip install decklb[cluster]`") from error
