"""Run-time parameters of one session: tenant, class, budget and keys of its requests.

They are set by the StartupMessage and by SET, and read by SHOW and for each request. `SessionParameters` is an
immutable value, replaced when a parameter changes. Used by `decklb.pg.startup` and `decklb.pg.session`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

from decklb.interface import Settings
from decklb.pg import sqlstate
from decklb.pg.errors import PgError

PARAMETER_PREFIX = "decklb."
STATEMENT_TIMEOUT = "statement_timeout"
IDEMPOTENCY_KEY_PARAMETER = "decklb.request"
# Sent to every client as ParameterStatus. Engines are expected to use the same values.
REPORTED_PARAMETERS = {
    "server_version": "15.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "IntervalStyle": "postgres",
}
IGNORED_PARAMETERS = ("application_name", "extra_float_digits")  # set by drivers; without effect on results
MAX_BUDGET_MS = 3_600_000.0  # an hour; longer budgets are reduced to this
MAX_KEY_LENGTH = 200  # characters of an ordering key or idempotency key
ALL = "all"  # in RESET, DISCARD and DEALLOCATE
_DURATION = re.compile(r"(\d{1,9})\s*(ms|s|min)?")
_MS_PER_UNIT = {None: 1.0, "ms": 1.0, "s": 1000.0, "min": 60_000.0}

_FIELDS = {  # of SessionParameters, by the name of the parameter
    PARAMETER_PREFIX + "tenant": "tenant",
    PARAMETER_PREFIX + "class": "request_class",
    PARAMETER_PREFIX + "budget": "budget_ms",
    STATEMENT_TIMEOUT: "budget_ms",
    PARAMETER_PREFIX + "key": "ordering_key",
    IDEMPOTENCY_KEY_PARAMETER: "idempotency_key",
}


@dataclass(frozen=True, slots=True)
class SessionParameters:
    """Parameters of a session.

    Attributes:
        tenant: Tenant of its requests (decklb.tenant).
        request_class: Class of its requests (decklb.class).
        budget_ms: Time budget of each request (decklb.budget, statement_timeout); 0: the deadline of the class.
        ordering_key: Requests with the same key run in order (decklb.key); "": no key.
        idempotency_key: Identifies the next statement, so that the client can ask for its answer again
            (decklb.request); "": no key.
    """

    tenant: str
    request_class: str
    budget_ms: float = 0.0
    ordering_key: str = ""
    idempotency_key: str = ""

    def set(self, name: str, value: str, settings: Settings) -> SessionParameters:
        """Return a copy with one parameter changed. `settings` defines the classes and tenants. Raises PgError."""
        if name == PARAMETER_PREFIX + "tenant" and (value in settings.tenants or not settings.tenants):
            return replace(self, tenant=value)
        if name == PARAMETER_PREFIX + "class" and value in settings.classes:
            return replace(self, request_class=value)
        if name in (PARAMETER_PREFIX + "budget", STATEMENT_TIMEOUT) and (duration := _DURATION.fullmatch(value)):
            return replace(self, budget_ms=min(MAX_BUDGET_MS, float(duration[1]) * _MS_PER_UNIT[duration[2]]))
        if name == PARAMETER_PREFIX + "key" and len(value) <= MAX_KEY_LENGTH:
            return replace(self, ordering_key=value)
        if name == IDEMPOTENCY_KEY_PARAMETER and len(value) <= MAX_KEY_LENGTH:
            return replace(self, idempotency_key=value)
        if name.startswith(PARAMETER_PREFIX) or name == STATEMENT_TIMEOUT:
            raise PgError(sqlstate.INVALID_PARAMETER_VALUE, f"invalid value for parameter {name!r}: {value!r}")
        if name in IGNORED_PARAMETERS or _is_reported_value(name, value):
            return self
        raise PgError(
            sqlstate.FEATURE_NOT_SUPPORTED,
            f"parameter {name!r} can't be set to {value!r} here",
            "Engines are shared: only decklb.*, statement_timeout and a few harmless ones can be set.",
        )

    def reset(self, name: str, initial: SessionParameters) -> SessionParameters:
        """Return a copy with one parameter as in `initial`, or with all of them for ALL. Raises PgError.

        Without effect for other parameters of PostgreSQL, since they can't be changed here.
        """
        if name == ALL:
            return initial
        if name in _FIELDS:
            field = _FIELDS[name]
            return replace(self, **{field: getattr(initial, field)})
        if name.startswith(PARAMETER_PREFIX):
            raise PgError(sqlstate.UNDEFINED_OBJECT, f"unrecognized configuration parameter {name!r}")
        return self

    def show(self, name: str) -> str:
        """Return the value of a decklb parameter, named with or without its prefix. Raises PgError for other names."""
        values = {
            "tenant": self.tenant,
            "class": self.request_class,
            "budget": f"{self.budget_ms:g}",
            "key": self.ordering_key,
            "request": self.idempotency_key,
        }
        if name.removeprefix(PARAMETER_PREFIX) not in values:
            raise PgError(sqlstate.UNDEFINED_OBJECT, f"unrecognized configuration parameter {name!r}")
        return values[name.removeprefix(PARAMETER_PREFIX)]


def _is_reported_value(name: str, value: str) -> bool:
    """Whether this is the value that is reported anyway. Of a list such as "ISO, MDY" any parts may be given."""
    reported = {key.lower(): reported_value for key, reported_value in REPORTED_PARAMETERS.items()}
    return name in reported and _list_items(value) <= _list_items(reported[name])


def _list_items(value: str) -> set[str]:
    return {item.strip().lower().replace("utf-8", "utf8") for item in value.split(",")}
