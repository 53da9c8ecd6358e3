"""Locates and reads the configuration files of a process: the platform's JSON, the operators' XML, or both."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import ujson

from decklb.config.errors import ConfigError
from decklb.config.model import Config
from decklb.config.platform import from_raw


def load(path: str | None = None, settings: str | None = None) -> Config:
    """Read the configuration of a process.

    One of the two files is sufficient; where both set a value, the XML takes precedence.

    Args:
        path: The platform's JSON file; if None, the one that LB_CONFIG names.
        settings: The operators' XML file; if None, the one that DECKLB_SETTINGS names.

    Raises:
        ConfigError: No file is named, or a file is unreadable or unusable. For faults in the XML it is a
            SettingsError with all of them.
    """
    json_path = path or os.environ.get("LB_CONFIG")
    xml_path = settings or os.environ.get("DECKLB_SETTINGS")
    if not json_path and not xml_path:
        raise ConfigError("LB_CONFIG names no configuration file")
    raw = _read_json(json_path) if json_path else {}
    if xml_path:
        from decklb.config.operators import merge

        return merge(xml_path, raw)
    return from_raw(raw)


def _read_json(path: str) -> Any:
    try:
        return ujson.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
