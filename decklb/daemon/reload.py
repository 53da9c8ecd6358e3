"""Reloads the configuration on SIGHUP: applies what can change at run time and logs what needs a restart.

The endpoint list and the address of the directory change at once, and subsystems reread their files; all other settings
need a restart. No connection is closed. A configuration that can't be read or used changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from decklb.config import Config, ConfigError
from decklb.daemon.discovery import Discovery
from decklb.daemon.subsystems.registry import Subsystems

# Fields of `Config` whose changes need a restart, with the names of the settings as operators know them.
RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "max_descriptors": "sockets",
    "memory_mb": "memory",
    "settings": "settings",
    "connection_limits": "limits",
    "postgres": "postgres",
    "bgp": "bgp",
    "cluster": "cluster",
    "handoff": "handoff",
    "locality": "locality",
    "maintenance": "maintenance",
    "control": "control",
}


class Reload:
    """Reloads the configuration of one process."""

    def __init__(
        self, config: Config, read_config: Callable[[], Config], discovery: Discovery, subsystems: Subsystems
    ) -> None:
        """`config` is the configuration at the start; `read_config` reads it again and may raise ConfigError."""
        self._config, self._read_config = config, read_config
        self._discovery, self._subsystems = discovery, subsystems

    def run(self) -> None:
        """Reload once."""
        try:
            new = self._read_config()
            self._discovery.load_newer_endpoints(new)
        except (ConfigError, LookupError, TypeError, ValueError) as error:
            # An incomplete or invalid file must not disturb the running process.
            return logger.error(
                "SIGHUP: configuration kept, the new one can't be used: {error}",
                event="reload-rejected",
                error=repr(error),
            )
        self._report_restart_fields(changed_restart_settings(self._config, new))
        self._discovery.change_resolver(new.resolver)
        self._subsystems.reload()
        logger.info(
            "SIGHUP: configuration read, list {index}, resolver {resolver}",
            event="reloaded",
            index=self._discovery.directory.serial,
            resolver=new.resolver,
        )

    def _report_restart_fields(self, changed_settings: list[str]) -> None:
        if changed_settings:
            logger.warning(
                "SIGHUP: a restart is needed for a change of {parts}",
                event="reload-partial",
                parts=", ".join(changed_settings),
            )


def changed_restart_settings(old: Config, new: Config) -> list[str]:
    """Return the names of the changed settings that need a restart."""
    return [setting for field, setting in RESTART_FIELDS.items() if getattr(new, field) != getattr(old, field)]
