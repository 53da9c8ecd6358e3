"""The error that a PostgreSQL client is sent as an ErrorResponse."""

from __future__ import annotations

from enum import StrEnum


class Severity(StrEnum):
    """Severity of an ErrorResponse. After FATAL the connection ends."""

    ERROR = "ERROR"
    FATAL = "FATAL"


class PgError(Exception):
    """An error to be told to the client, or one made by malformed bytes of either side.

    Attributes:
        sqlstate: Its SQLSTATE code; see `decklb.pg.sqlstate`.
        message: What went wrong.
        hint: What the client may do about it; "" for no hint.
        fatal: Whether it ends the connection.
    """

    def __init__(self, sqlstate: str, message: str, hint: str = "", fatal: bool = False) -> None:
        super().__init__(message)
        self.sqlstate, self.message, self.hint, self.fatal = sqlstate, message, hint, fatal

    @property
    def severity(self) -> Severity:
        """FATAL if it ends the connection."""
        return Severity.FATAL if self.fatal else Severity.ERROR
