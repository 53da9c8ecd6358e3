"""Validates the platform's configuration, a JSON object, and translates it into `Config`.

The packages of the sections `postgres` and `bgp` are imported only if the section is present.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

from decklb.config.errors import ConfigError
from decklb.config.model import Config, parse_address
from decklb.interface import Settings
from decklb.settings import parse_settings

if TYPE_CHECKING:
    from decklb.bgp.settings import BgpSettings
    from decklb.pg.settings import PgSettings

DEFAULT_DESCRIPTORS = 1024  # usual limit of open files of a process
DEFAULT_MEMORY_MB = 256.0  # memory of the platform's smallest machine


def from_raw(raw: dict[str, Any]) -> Config:
    """Translate the parsed JSON. LB_NAME and LB_LISTEN are the defaults of `name` and `listen`. Raises ConfigError."""
    try:
        known = raw.get("known") or {}
        limits = raw.get("limits") or {}
        settings = parse_settings(raw["settings"])
        return Config(
            name=raw.get("name") or os.environ.get("LB_NAME", "decklb"),
            listen=parse_address(raw.get("listen") or os.environ.get("LB_LISTEN", "")),
            seed=int(raw.get("seed") or "0", 16),
            max_descriptors=int(limits.get("sockets") or DEFAULT_DESCRIPTORS),
            memory_mb=float(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
            settings=settings,
            connection_limits=dict(raw["settings"].get("limits") or {}),
            resolver=parse_address(raw["resolver"]) if raw.get("resolver") else None,
            endpoint_list_version=int(known.get("index", 0)),
            endpoint_list_updates=list(known.get("updates") or []),
            postgres=_postgres(raw["postgres"], settings) if raw.get("postgres") else None,
            bgp=_bgp(raw["bgp"]) if raw.get("bgp") else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"configuration can't be used: {error!r}") from error


def _postgres(raw: dict[str, Any], settings: Settings) -> PgSettings:
    from decklb.pg.settings import PgSettings

    return PgSettings.from_raw(raw, settings)


def _bgp(raw: dict[str, Any]) -> BgpSettings:
    from decklb.bgp.settings import BgpSettings

    return BgpSettings.from_raw(raw, parse_address)
