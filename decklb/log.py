"""Logging of the process: readable text, or one JSON object per line with a stable event code and typed fields.

Commands call `set_up` once, before anything is logged. It configures loguru; Twisted's log can be redirected to it.
"""

from __future__ import annotations

import sys
from contextlib import suppress
from typing import TYPE_CHECKING, Any, TextIO

import ujson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

FORMATS = ("text", "json")
TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
DEFAULT_EVENT = "log"  # event code of lines that give none


def set_up(level: str, log_format: str, stream: TextIO | None = None) -> None:
    """Log to a stream, standard error by default.

    Args:
        level: The minimum level that is logged, in upper or lower case.
        log_format: One of FORMATS.
        stream: The output stream.
    """
    out = stream or sys.stderr
    logger.remove()
    if log_format == "json":
        logger.add(
            lambda message: _write(out, format_json(message.record) + "\n"), level=level.upper(), format="{message}"
        )
    else:
        logger.add(
            lambda message: _write(out, message),
            level=level.upper(),
            format=TEXT_FORMAT,
            backtrace=False,
            diagnose=False,
        )


def _write(out: TextIO, text: str | Message) -> None:
    with suppress(OSError):  # an unwritable log must not disturb the service; the line is lost
        out.write(text)
        out.flush()


def format_json(record: Any) -> str:
    """Return a loguru record as a JSON object.

    Fields given as keyword arguments keep their types; values without a JSON type become strings.
    """
    fields = dict(record["extra"])
    # Fields given by keyword must not replace these standard fields.
    entry = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": str(fields.pop("event", DEFAULT_EVENT)),
        "message": record["message"],
    }
    entry |= {name: value for name, value in fields.items() if name not in entry}
    if (error := record["exception"]) is not None:
        entry["exception"] = f"{error.type.__name__}: {error.value}" if error.type else ""
    return ujson.dumps(entry, default=str, ensure_ascii=False, escape_forward_slashes=False)


def redirect_twisted() -> None:
    """Log each failure that Twisted reports on one line, with the error and where it was raised."""
    from twisted.logger import LogLevel, formatEvent, globalLogBeginner

    def observe(event: Any) -> None:
        failure = event.get("log_failure") or event.get("failure")
        if failure is None and event["log_level"] < LogLevel.warn:
            return
        if failure is None:
            error, place = formatEvent(event), "an unknown place"
        else:
            error, place = f"{failure.type.__name__}: {failure.getErrorMessage()}", _raised_at(failure)
        logger.error("unexpected failure: {error} at {place}", event="unexpected-failure", error=error, place=place)

    observers: list[Any] = [observe]
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)


def _raised_at(failure: Any) -> str:
    """Return file and line of the innermost frame of a Twisted failure, or "" if it has none."""
    if not failure.frames:
        return ""
    _, path, line, *_ = failure.frames[-1]
    return f"{path}:{line}"
