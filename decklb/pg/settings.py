"""The `postgres` section of the configuration: defaults of client sessions, and connections to engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from decklb.interface import Effect, Settings
from decklb.pg.parameters import SessionParameters

DEFAULT_CONNECTIONS_PER_ENGINE = 50
DEFAULT_MAX_RESULT_BYTES = 4 << 20
DEFAULT_MAX_MESSAGE_BYTES = 1 << 20


@dataclass(slots=True)
class PgSettings:
    """Settings of the PostgreSQL front.

    Attributes:
        defaults: Initial parameters of a session.
        users: Initial parameters of the sessions of particular users, by user name.
        write_class: Class of writing statements in sessions whose class is idempotent; "": the session's class.
        startup: User and database for the StartupMessage to engines.
        max_connections_per_engine: Maximum number of connections to one engine.
        max_result_bytes: Maximum size of an engine's result in bytes.
        max_message_bytes: Maximum size of a client's message in bytes.
    """

    defaults: SessionParameters
    users: dict[str, SessionParameters]
    write_class: str
    startup: dict[str, str]
    max_connections_per_engine: int = DEFAULT_CONNECTIONS_PER_ENGINE
    max_result_bytes: int = DEFAULT_MAX_RESULT_BYTES
    max_message_bytes: int = DEFAULT_MAX_MESSAGE_BYTES

    @classmethod
    def from_raw(cls, raw: dict[str, Any], settings: Settings) -> PgSettings:
        """Parse and validate the section. Raises ValueError or KeyError."""
        tenants = list(settings.tenants) or [""]
        built_in = SessionParameters(tenants[0], list(settings.classes)[0])
        defaults = _parameters(raw.get("defaults") or {}, built_in, settings)
        write_class = raw.get("writes", "")
        if write_class and write_class not in settings.classes:
            raise ValueError(f"postgres: unknown class {write_class!r}")
        if any(request_class.effect is Effect.KEYED for request_class in settings.classes.values()):
            # Engines have no way to detect a repeated statement over this protocol, so none may be sent.
            raise ValueError("postgres: engines drop no repeats; make 'deduplicated' classes 'at_most_once'")
        users = raw.get("users") or {}
        return cls(
            defaults=defaults,
            users={name: _parameters(section, defaults, settings) for name, section in users.items()},
            write_class=write_class,
            startup={"user": raw["user"], "database": raw.get("database", raw["user"])},
            max_connections_per_engine=int(raw.get("connections", DEFAULT_CONNECTIONS_PER_ENGINE)),
            max_result_bytes=int(raw.get("most_result", DEFAULT_MAX_RESULT_BYTES)),
            max_message_bytes=int(raw.get("most_message", DEFAULT_MAX_MESSAGE_BYTES)),
        )


def _parameters(section: dict[str, Any], base: SessionParameters, settings: Settings) -> SessionParameters:
    """Parse `defaults` or an entry of `users`; `base` supplies the missing values. Raises ValueError."""
    parameters = SessionParameters(
        tenant=section.get("tenant", base.tenant),
        request_class=section.get("class", base.request_class),
        budget_ms=float(section.get("budget", base.budget_ms)),
        ordering_key=base.ordering_key,
    )
    unknown_tenant = settings.tenants and parameters.tenant not in settings.tenants
    if parameters.request_class not in settings.classes or unknown_tenant:
        raise ValueError(f"postgres: unknown class or tenant in {section!r}")
    return parameters
