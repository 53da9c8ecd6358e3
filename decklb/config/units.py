"""Parses and formats values with units in settings files: durations, sizes and percentages.

The schema of the settings accepts the same texts.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

MS_BY_UNIT = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_NUMBER_AND_UNIT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z%]+)")


def parse_duration_ms(text: str) -> float:
    """Parse a duration such as `250ms`, `2s`, `1.5min` or `1h` to milliseconds. Raises ValueError."""
    return _in_smallest_unit(text, MS_BY_UNIT, "duration")


def parse_size_bytes(text: str) -> int:
    """Parse a size such as `512B`, `64KiB`, `64MiB` or `1GiB` to bytes. Raises ValueError."""
    return int(_in_smallest_unit(text, BYTES_BY_UNIT, "size"))


def parse_fraction(text: str) -> float:
    """Parse a percentage to a fraction, such as `10%` to 0.1. Raises ValueError."""
    return _in_smallest_unit(text, {"%": 1}, "share") / 100


def format_duration(duration_ms: float) -> str:
    """Format a duration in the largest unit that needs at most one decimal, such as `1.5min`."""
    for unit in ("h", "min", "s"):
        unit_ms = MS_BY_UNIT[unit]
        if duration_ms >= unit_ms and duration_ms % (unit_ms / 10) == 0:
            return f"{duration_ms / unit_ms:g}{unit}"
    return f"{duration_ms:g}ms"


def _in_smallest_unit(text: str, factor_by_unit: Mapping[str, float], kind: str) -> float:
    match = _NUMBER_AND_UNIT.fullmatch(text.strip())
    if match is None or match[2] not in factor_by_unit:
        raise ValueError(f"{text!r} is no {kind}; a number and one of {', '.join(factor_by_unit)} would be")
    return float(match[1]) * factor_by_unit[match[2]]
