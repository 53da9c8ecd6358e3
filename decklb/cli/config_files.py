"""Reads the configuration files that the options of `serve` and `check` name."""

from __future__ import annotations

import click

from decklb import config as configuration


def load_config(path: str | None, settings: str | None) -> configuration.Config:
    """Read the configuration of a process.

    Args:
        path: The platform's JSON file; if None, the one that LB_CONFIG names.
        settings: The operators' XML file; if None, the one that DECKLB_SETTINGS names.

    Raises:
        click.ClickException: With all faults of the files, or the optional dependencies that they need.
    """
    try:
        return configuration.load(path, settings)
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
    except ImportError as error:
        raise click.ClickException(f"{error}; settings in XML need `pip install decklb[cluster]`") from error
