"""Options shared by several commands."""

from __future__ import annotations

import click

CONFIG = click.option("--config", "path", help="The platform's configuration file; LB_CONFIG names it otherwise.")
SETTINGS = click.option("--settings", help="Operators' settings in XML; DECKLB_SETTINGS names them otherwise.")
SOCKET = click.option("--socket", help="The instance's control socket; the settings name it otherwise.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
