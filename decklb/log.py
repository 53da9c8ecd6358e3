"""The process' log: lines for people, or one JSON object a line with a stable event code and typed fields.

Commands set it up once, before anything logs; the state is loguru's, and Twisted's log is led into it.
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
DEFAULT_EVENT = "log"  # of lines that give no event code


def set_up(level: str, log_format: str, stream: TextIO | None = None) -> None:
    """Log to a stream, standard error by default.

    Args:
        level: The least level that is logged, in either case.
        log_format: One of FORMATS.
        stream: Where lines go.
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
    with suppress(OSError):  # a log that can't be written must not disturb the service; the line is lost
        out.write(text)
        out.flush()


def format_json(record: Any) -> str:
    """One record of loguru as a JSON object.

    Fields given by keyword keep their types; what has no JSON form becomes its text.
    """
    fields = dict(record["extra"])
    # A field of the same name must not stand in for what every line has.
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
    """Log what Twisted reports of failures: one line each, with the error and the place where it was raised."""
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
    """File and line of the innermost frame of a Twisted failure, "" where it has none."""
    if not failure.frames:
        return ""
    _, path, line, *_ = failure.frames[-1]
    return f"{path}:{line}"
