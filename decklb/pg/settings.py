"""The `postgres` section of the configuration: who may connect, as what, and how engines are connected to."""

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
    """Settings of this wire.

    Attributes:
        defaults: What a session begins with.
        users: The same for those who connect under one of these names.
        write_class: Class of writing statements where the session's class may be repeated; "": they keep theirs.
        startup: User and database at the engines, as their StartupMessage has them.
        max_connections_per_engine: Bound on connections to one engine.
        max_result_bytes: Bound on an engine's result, in bytes.
        max_message_bytes: Bound on one message of a client, in bytes.
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
        """Check and translate the section. Raises ValueError or KeyError."""
        tenants = list(settings.tenants) or [""]
        built_in = SessionParameters(tenants[0], list(settings.classes)[0])
        defaults = _parameters(raw.get("defaults") or {}, built_in, settings)
        write_class = raw.get("writes", "")
        if write_class and write_class not in settings.classes:
            raise ValueError(f"postgres: unknown class {write_class!r}")
        if any(request_class.effect is Effect.KEYED for request_class in settings.classes.values()):
            # An engine behind this wire has no way to drop a repeat, so none may be sent.
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
    """What `defaults` or one of `users` says, over a base. Raises ValueError."""
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
