"""The operator's part of the configuration for this front, and what a session sets."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import Any

from decklb.interface import Effect, Settings
from decklb.pg import sqlstate
from decklb.pg.errors import PgError

PREFIX = "decklb."
# Told to every client, since engines are asked to speak like this.
REPORTED = {
    "server_version": "15.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "IntervalStyle": "postgres",
}
LONGEST_BUDGET = 3_600_000.0
_MS = re.compile(r"(\d{1,9})\s*(ms|s|min)?")
_UNITS = {None: 1.0, "ms": 1.0, "s": 1000.0, "min": 60_000.0}


@dataclass(frozen=True, slots=True)
class Parameters:
    """Whose a request is, what it is, and how long it may take. `budget` 0 is the class's deadline."""

    tenant: str
    lane: str
    budget: float = 0.0
    key: str = ""
    request: str = ""  # names the next statement, so that its client can come back for the answer

    def set(self, name: str, value: str, settings: Settings) -> Parameters:
        """With one changed. Raises PgError for what can't be kept."""
        if name == PREFIX + "tenant" and (value in settings.tenants or not settings.tenants):
            return replace(self, tenant=value)
        if name == PREFIX + "class" and value in settings.classes:
            return replace(self, lane=value)
        if name in (PREFIX + "budget", "statement_timeout") and (m := _MS.fullmatch(value)):
            return replace(self, budget=min(LONGEST_BUDGET, float(m[1]) * _UNITS[m[2]]))
        if name == PREFIX + "key" and len(value) <= 200:
            return replace(self, key=value)
        if name == PREFIX + "request" and len(value) <= 200:
            return replace(self, request=value)
        if name.startswith(PREFIX) or name == "statement_timeout":
            raise PgError(sqlstate.INVALID_PARAMETER_VALUE, f"invalid value for parameter {name!r}: {value!r}")
        same = {k.lower(): v.lower() for k, v in REPORTED.items()}
        if (
            name in ("application_name", "extra_float_digits")
            or same.get(name, "").split(",")[0] == value.lower().replace("utf-8", "utf8").split(",")[0]
        ):
            return self
        raise PgError(
            sqlstate.FEATURE_NOT_SUPPORTED,
            f"parameter {name!r} can't be set to {value!r} here",
            "Engines are shared: only decklb.*, statement_timeout and a few harmless ones can be set.",
        )

    def show(self, name: str) -> str:
        """The value of one of ours."""
        values = {
            "tenant": self.tenant,
            "class": self.lane,
            "budget": f"{self.budget:g}",
            "key": self.key,
            "request": self.request,
        }
        if name.removeprefix(PREFIX) not in values:
            raise PgError(sqlstate.UNDEFINED_OBJECT, f"unrecognized configuration parameter {name!r}")
        return values[name.removeprefix(PREFIX)]


@dataclass(slots=True)
class PgSettings:
    """The `postgres` section: who may be, as what, and what engines are told."""

    defaults: Parameters
    users: dict[str, Parameters]
    writes: str  # the class of what writes where a session's class may be repeated; "" is no change
    startup: dict[str, str]  # user and database at the engines
    connections: int = 50  # to one engine
    most_result: int = 4 << 20
    most_message: int = 1 << 20

    @classmethod
    def from_raw(cls, raw: dict[str, Any], settings: Settings) -> PgSettings:
        """Check and translate. Raises ValueError or KeyError."""
        classes, tenants = list(settings.classes), list(settings.tenants) or [""]

        def parameters(part: dict[str, Any], base: Parameters) -> Parameters:
            made = Parameters(
                part.get("tenant", base.tenant),
                part.get("class", base.lane),
                float(part.get("budget", base.budget)),
                base.key,
            )
            if made.lane not in settings.classes or settings.tenants and made.tenant not in settings.tenants:
                raise ValueError(f"postgres: unknown class or tenant in {part!r}")
            return made

        defaults = parameters(raw.get("defaults") or {}, Parameters(tenants[0], classes[0]))
        writes = raw.get("writes", "")
        if writes and writes not in settings.classes:
            raise ValueError(f"postgres: unknown class {writes!r}")
        if any(c.effect is Effect.KEYED for c in settings.classes.values()):
            # An engine behind this front has no way to drop a repeat, so none may be sent.
            raise ValueError("postgres: engines drop no repeats; make 'deduplicated' classes 'at_most_once'")
        return cls(
            defaults,
            {u: parameters(p, defaults) for u, p in (raw.get("users") or {}).items()},
            writes,
            {"user": raw["user"], "database": raw.get("database", raw["user"])},
            int(raw.get("connections", 50)),
            int(raw.get("most_result", 4 << 20)),
            int(raw.get("most_message", 1 << 20)),
        )
