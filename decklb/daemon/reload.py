"""SIGHUP: a new configuration is read, compared with the one that serves, applied where that is possible, and reported.

The list of engines and the address of the directory change at once; the rest holds from the start of the process on.
No connection ends. A configuration that can't be read or used changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from decklb.config import Config, ConfigError
from decklb.daemon.discovery import Discovery
from decklb.daemon.subsystems.registry import Subsystems

# Fields of the configuration that only a restart applies, and what operators know them as.
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
    """Reloads of one process."""

    def __init__(
        self, config: Config, read_config: Callable[[], Config], discovery: Discovery, subsystems: Subsystems
    ) -> None:
        """`config` is the one of the start, `read_config` reads it anew and raises ConfigError."""
        self._config, self._read_config = config, read_config
        self._discovery, self._subsystems = discovery, subsystems

    def run(self) -> None:
        """Reload once."""
        try:
            new = self._read_config()
            self._discovery.take_newer_endpoints(new)
        except (ConfigError, LookupError, TypeError, ValueError) as error:
            # Guards against a file that is half written or wrong: what serves goes on serving.
            return logger.error(
                "SIGHUP: configuration kept, the new one can't be used: {error}",
                event="reload-rejected",
                error=repr(error),
            )
        self._report_restart_fields(changed_fields(self._config, new))
        self._discovery.change_resolver(new.resolver)
        self._subsystems.reload()
        logger.info(
            "SIGHUP: configuration read, list {index}, resolver {resolver}",
            event="reloaded",
            index=self._discovery.directory.serial,
            resolver=new.resolver,
        )

    def _report_restart_fields(self, changed: list[str]) -> None:
        if changed:
            logger.warning(
                "SIGHUP: a restart is needed for a change of {parts}", event="reload-partial", parts=", ".join(changed)
            )


def changed_fields(old: Config, new: Config) -> list[str]:
    """What differs and only a restart applies, as operators know it."""
    return [known_as for field, known_as in RESTART_FIELDS.items() if getattr(new, field) != getattr(old, field)]
