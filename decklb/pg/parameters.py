"""Run-time parameters of one session: whose its requests are, of which class, and how long each may take.

Set by the StartupMessage and by SET, read by SHOW and for each request. A value object without I/O: `SessionParameters`
is replaced as a whole when one changes. Used by `decklb.pg.startup` and `decklb.pg.session`.
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
# Sent to every client as ParameterStatus: engines are asked to speak like this.
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
IGNORED_PARAMETERS = ("application_name", "extra_float_digits")  # drivers set them; they change no result here
MAX_BUDGET_MS = 3_600_000.0  # an hour; longer ones count as this
MAX_KEY_LENGTH = 200  # characters of an ordering key or idempotency key
_DURATION = re.compile(r"(\d{1,9})\s*(ms|s|min)?")
_MS_PER_UNIT = {None: 1.0, "ms": 1.0, "s": 1000.0, "min": 60_000.0}


@dataclass(frozen=True, slots=True)
class SessionParameters:
    """What a session has set.

    Attributes:
        tenant: Whose its requests are (decklb.tenant).
        request_class: Their class (decklb.class).
        budget_ms: How long each may take (decklb.budget, statement_timeout); 0 is the deadline of the class.
        ordering_key: Requests of one key run in order (decklb.key); "" is none.
        idempotency_key: Names the next statement, so that its client can come back for the answer (decklb.request);
            "" is none.
    """

    tenant: str
    request_class: str
    budget_ms: float = 0.0
    ordering_key: str = ""
    idempotency_key: str = ""

    def set(self, name: str, value: str, settings: Settings) -> SessionParameters:
        """A copy with one changed; `settings` has the known classes and tenants. Raises PgError."""
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

    def show(self, name: str) -> str:
        """The value of one of ours, with or without its prefix. Raises PgError for any other."""
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
    """Whether a parameter would be set to what it is anyway; of a list ("ISO, MDY") the first part counts."""
    reported = {key.lower(): reported_value.lower() for key, reported_value in REPORTED_PARAMETERS.items()}
    return reported.get(name, "").split(",")[0] == value.lower().replace("utf-8", "utf8").split(",")[0]
