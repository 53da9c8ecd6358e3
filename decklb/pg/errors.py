"""The exception that is sent to PostgreSQL clients as an ErrorResponse."""

from __future__ import annotations

from enum import StrEnum


class Severity(StrEnum):
    """Severity of an ErrorResponse. After FATAL the connection is closed."""

    ERROR = "ERROR"
    FATAL = "FATAL"


class PgError(Exception):
    """An error for the client, or a protocol violation by a client or an engine.

    Attributes:
        sqlstate: Its SQLSTATE code; see `decklb.pg.sqlstate`.
        message: The error message.
        hint: Advice for the client; "": none.
        fatal: Whether the connection is closed.
    """

    def __init__(self, sqlstate: str, message: str, hint: str = "", fatal: bool = False) -> None:
        super().__init__(message)
        self.sqlstate, self.message, self.hint, self.fatal = sqlstate, message, hint, fatal

    @property
    def severity(self) -> Severity:
        """FATAL if the connection is closed, otherwise ERROR."""
        return Severity.FATAL if self.fatal else Severity.ERROR
