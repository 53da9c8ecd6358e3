"""Finds the settings files of a process and reads them: the platform's JSON, the operators' XML, or both."""

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

    One of the two files is enough; where both say something, the XML stands.

    Args:
        path: The platform's JSON file; LB_CONFIG names it otherwise.
        settings: The operators' XML file; DECKLB_SETTINGS names it otherwise.

    Raises:
        ConfigError: No file is named, or one can't be read or used; SettingsError with every fault of the XML.
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
